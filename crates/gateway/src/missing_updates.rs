//! Detection of configurations and servers that peers have and this daemon lacks, and selection of
//! the peer to request them from.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::store_reachability::Subject;
use apricothall_decide::update_source::{PeersAhead, Source, select_source};
use apricothall_types::{ConfigurationRevision, Role, StoreRevision, Timestamp};
use rand::seq::IndexedRandom;

use crate::Context;

/// Time for a reader's own watch to deliver a configuration that peers already have.
const WATCH_GRACE: Duration = Duration::from_millis(200);

/// Tracks since when peers have had a newer configuration than this daemon.
#[derive(Default)]
pub struct ConfigurationLag {
    since: Option<Timestamp>,
}

impl ConfigurationLag {
    /// Whether to request the configuration from a peer, as this daemon's own watch has not
    /// delivered it.
    #[must_use]
    pub fn is_missing(&mut self, context: &Context, now: Timestamp) -> bool {
        let held = context.published.revision();
        let mut newer = false;
        context
            .peers
            .each(now, |peer| newer |= peer.revision > held);
        let since = self.since.filter(|_| newer).unwrap_or(now);
        self.since = newer.then_some(since);
        let reads = context.reads_store(Subject::Operators, now)
            && !context.published.is_store_lost(Subject::Operators)
            && held > ConfigurationRevision::default();
        let watch_may_deliver = reads && now.since(since) < WATCH_GRACE;
        newer && !watch_may_deliver
    }
}

/// Tracks since when peers have had a newer server list than this daemon.
#[derive(Default)]
pub struct ServerListLag {
    behind: Option<Behind>,
}

/// Time since which the local server list has been older than that of a peer.
#[derive(Clone, Copy)]
struct Behind {
    /// Revision of the local server list.
    revision: StoreRevision,
    since: Timestamp,
}

impl ServerListLag {
    /// Peers from which to request the server list.
    #[must_use]
    pub fn source(&mut self, context: &Context, now: Timestamp) -> Source {
        let role = context.reader_role(Subject::Servers, now);
        let store_lost = context.published.is_store_lost(Subject::Servers);
        let settings = context.settings();
        let revision = context.published.servers_revision();
        let (mut same_zone, mut other_zones) = (false, false);
        context.peers.each(now, |peer| {
            let is_ahead = peer.servers > revision && peer.is_healthy(Subject::Servers, now);
            if peer.hello.role != Role::Entry || !is_ahead {
                return;
            }
            let own_zone = peer.hello.zone == settings.zone;
            same_zone |= own_zone;
            other_zones |= !own_zone;
        });
        // Progress in the meantime shows that a closer source delivers the updates, so the lag
        // starts anew.
        let before = self.behind.filter(|l| l.revision == revision);
        let since = before.map_or(now, |l| l.since);
        self.behind = (same_zone || other_zones).then_some(Behind { revision, since });
        let ahead = PeersAhead {
            same_zone,
            other_zones,
            since: now.since(since),
        };
        select_source(role, store_lost, ahead)
    }
}

/// Selects a peer in `source` that has a newer server list, preferably in the same zone. If there is
/// none, a daemon that cannot reach the store selects a peer whose list has the same revision.
#[must_use]
pub fn choose_servers_peer(
    context: &Context,
    source: Source,
    now: Timestamp,
) -> Option<SocketAddr> {
    let zone = context.settings().zone.clone();
    let revision = context.published.servers_revision();
    let store_lost = context.published.is_store_lost(Subject::Servers);
    let (mut same_zone, mut all, mut equal) = (Vec::new(), Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        let own_zone = peer.hello.zone == zone;
        let in_scope = match source {
            Source::Nobody => false,
            Source::Zone => own_zone,
            Source::Anywhere => true,
        };
        if !in_scope || peer.hello.role != Role::Entry || peer.lost.servers {
            return;
        }
        if peer.servers > revision && own_zone {
            same_zone.push(peer.hello.address);
        } else if peer.servers > revision {
            all.push(peer.hello.address);
        } else if store_lost && peer.servers == revision {
            equal.push(peer.hello.address);
        }
    });
    pick_peer(&same_zone, &all).or_else(|| pick_peer(&equal, &[]))
}

/// Selects a peer that has a newer configuration, preferably in the same zone. Entries are asked
/// before agents, whose links are slow.
#[must_use]
pub fn choose_configuration_peer(context: &Context, now: Timestamp) -> Option<SocketAddr> {
    let zone = context.settings().zone.clone();
    let held = context.published.revision();
    let (mut near, mut entries) = (Vec::new(), Vec::new());
    let (mut near_agents, mut agents) = (Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        if peer.revision <= held {
            return;
        }
        let group = match (peer.hello.role, peer.hello.zone == zone) {
            (Role::Entry, true) => &mut near,
            (Role::Entry, false) => &mut entries,
            (Role::Agent, true) => &mut near_agents,
            (Role::Agent, false) => &mut agents,
        };
        group.push(peer.hello.address);
    });
    let by_zone = if near.is_empty() { near_agents } else { near };
    let elsewhere = if entries.is_empty() { agents } else { entries };
    pick_peer(&by_zone, &elsewhere)
}

/// Draws any of `near`, or of `all` if `near` is empty.
#[must_use]
pub fn pick_peer(same_zone: &[SocketAddr], all: &[SocketAddr]) -> Option<SocketAddr> {
    let mut rng = rand::rng();
    same_zone
        .choose(&mut rng)
        .or_else(|| all.choose(&mut rng))
        .copied()
}

//! Detection of configurations and servers that peers have and this daemon lacks, and selection of
//! the peer to request them from.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::readers::Subject;
use apricothall_decide::update_source::{PeersAhead, Source, select_source};
use apricothall_types::{Revision, Role, Timestamp};
use rand::seq::IndexedRandom;

use crate::Context;

/// Time for a reader's own watch to deliver a configuration that peers already have.
const WATCH_GRACE: Duration = Duration::from_millis(200);

/// Updates to request from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingUpdates {
    /// Whether to request the configuration.
    pub configuration: bool,
    /// Peers from which the server list may be requested.
    pub servers: Source,
}

impl MissingUpdates {
    /// No updates are missing.
    pub const NONE: Self = Self {
        configuration: false,
        servers: Source::Nobody,
    };
}

/// Tracks since when peers have had newer revisions than this daemon.
#[derive(Default)]
pub struct UpdateLag {
    configuration: Option<Timestamp>,
    servers: Option<ServersLag>,
}

/// Time since which the local server list has been older than that of a peer.
#[derive(Clone, Copy)]
struct ServersLag {
    /// Revision of the local server list.
    revision: Revision,
    since: Timestamp,
}

impl UpdateLag {
    /// Updates that peers have and this daemon lacks, unless a closer source is expected to deliver
    /// them.
    #[must_use]
    pub fn missing(&mut self, context: &Context, now: Timestamp) -> MissingUpdates {
        let held = context.published.revision();
        let mut newer = false;
        context
            .peers
            .each(now, |peer| newer |= peer.revision > held);
        let since = self.configuration.filter(|_| newer).unwrap_or(now);
        self.configuration = newer.then_some(since);
        let reads = context.reads_store(Subject::Operators, now)
            && !context.published.is_store_lost(Subject::Operators)
            && held > Revision::default();
        let watch_may_deliver = reads && now.since(since) < WATCH_GRACE;
        MissingUpdates {
            configuration: newer && !watch_may_deliver,
            servers: self.servers(context, now),
        }
    }

    /// Peers from which to request the server list; none for agents, which do not need it.
    fn servers(&mut self, context: &Context, now: Timestamp) -> Source {
        let role = context.reader_role(Subject::Servers, now);
        let store_lost = context.published.is_store_lost(Subject::Servers);
        let settings = context.settings();
        if settings.role == Role::Agent {
            return Source::Nobody;
        }
        let revision = context.published.servers_revision();
        let (mut same_zone, mut other_zones) = (false, false);
        context.peers.each(now, |peer| {
            if peer.hello.role != Role::Entry
                || !peer.is_healthy(Subject::Servers, now)
                || peer.servers <= revision
            {
                return;
            }
            let own_zone = peer.hello.zone == settings.zone;
            same_zone |= own_zone;
            other_zones |= !own_zone;
        });
        // Progress in the meantime shows that a closer source delivers the updates, so the lag
        // starts anew.
        let before = self.servers.filter(|l| l.revision == revision);
        let since = before.map_or(now, |l| l.since);
        self.servers = (same_zone || other_zones).then_some(ServersLag { revision, since });
        let since = now.since(since);
        select_source(
            role,
            store_lost,
            PeersAhead {
                same_zone,
                other_zones,
                since,
            },
        )
    }
}

/// Selects a peer that has the missing updates, preferably in the same zone. If there is none, a
/// daemon that cannot reach the store selects a peer whose server list has the same revision.
#[must_use]
pub fn choose_peer(
    context: &Context,
    missing: MissingUpdates,
    now: Timestamp,
) -> Option<SocketAddr> {
    let zone = context.settings().zone.clone();
    let held = context.published.revision();
    let revision = context.published.servers_revision();
    let store_lost = context.published.is_store_lost(Subject::Servers);
    let (mut same_zone, mut all, mut equal) = (Vec::new(), Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        let own_zone = peer.hello.zone == zone;
        let in_scope = match missing.servers {
            Source::Nobody => false,
            Source::Zone => own_zone,
            Source::Anywhere => true,
        };
        let may_request = in_scope && peer.hello.role == Role::Entry && !peer.lost.servers;
        let ahead =
            may_request && peer.servers > revision || missing.configuration && peer.revision > held;
        if ahead && own_zone {
            same_zone.push(peer.hello.address);
        } else if ahead {
            all.push(peer.hello.address);
        } else if may_request && store_lost && peer.servers == revision {
            equal.push(peer.hello.address);
        }
    });
    pick_peer(&same_zone, &all).or_else(|| pick_peer(&equal, &[]))
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

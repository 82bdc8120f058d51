//! What peers know of configurations and servers that this daemon does not, and whom it asks.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::readers::ReaderRole;
use apricothall_decide::update_source::{PeersAhead, Source, select_source};
use apricothall_types::{Revision, Role, Timestamp};
use rand::seq::IndexedRandom;

use crate::Context;

/// Time for which a reader's own watch may still bring a configuration that peers have.
const WATCH_GRACE: Duration = Duration::from_millis(200);

/// What is asked of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingUpdates {
    /// The configuration.
    pub configuration: bool,
    /// Servers, and of whom.
    pub servers: Source,
}

impl MissingUpdates {
    /// Nothing.
    pub const NONE: Self = Self {
        configuration: false,
        servers: Source::Nobody,
    };
}

/// Since when peers have known what this daemon does not.
#[derive(Default)]
pub struct UpdateLag {
    configuration: Option<Timestamp>,
    servers: Option<ServersLag>,
}

/// Servers that lag behind what peers know.
#[derive(Clone, Copy)]
struct ServersLag {
    /// Revision up to which they are known here.
    seen: Revision,
    since: Timestamp,
}

impl UpdateLag {
    /// What peers know that this daemon does not, once nobody closer is expected to bring it.
    #[must_use]
    pub fn missing(&mut self, context: &Context, now: Timestamp) -> MissingUpdates {
        let role = context.reader_role(now);
        let lost = context.published.is_store_lost();
        let held = context.published.revision();
        let mut newer = false;
        context
            .peers
            .each(now, |peer| newer |= peer.revision > held);
        let since = self.configuration.filter(|_| newer).unwrap_or(now);
        self.configuration = newer.then_some(since);
        let waits = role.reads() && !lost && now.since(since) < WATCH_GRACE;
        MissingUpdates {
            configuration: newer && !waits,
            servers: self.servers(context, role, lost, now),
        }
    }

    /// Whom to ask for servers; agents need none.
    fn servers(
        &mut self,
        context: &Context,
        role: ReaderRole,
        lost: bool,
        now: Timestamp,
    ) -> Source {
        let settings = context.settings();
        if settings.role == Role::Agent {
            return Source::Nobody;
        }
        let seen = context.published.servers_seen();
        let (mut near, mut far) = (false, false);
        context.peers.each(now, |peer| {
            if peer.hello.role != Role::Entry || !peer.is_healthy(now) || peer.servers <= seen {
                return;
            }
            let own_zone = peer.hello.zone == settings.zone;
            near |= own_zone;
            far |= !own_zone;
        });
        // News that comes meanwhile shows that somebody closer brings them.
        let before = self.servers.filter(|l| l.seen == seen);
        let since = before.map_or(now, |l| l.since);
        self.servers = (near || far).then_some(ServersLag { seen, since });
        let since = now.since(since);
        select_source(
            role,
            lost,
            PeersAhead {
                same_zone: near,
                other_zones: far,
                since,
            },
        )
    }
}

/// A daemon that knows what is lacking, of the own zone if there is one. Without one, a daemon that
/// the store does not answer asks others that know as much.
#[must_use]
pub fn choose_peer(
    context: &Context,
    missing: MissingUpdates,
    now: Timestamp,
) -> Option<SocketAddr> {
    let zone = context.settings().zone.clone();
    let held = context.published.revision();
    let seen = context.published.servers_seen();
    let lost = context.published.is_store_lost();
    let (mut near, mut all, mut equal) = (Vec::new(), Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        let own_zone = peer.hello.zone == zone;
        let asked = match missing.servers {
            Source::Nobody => false,
            Source::Zone => own_zone,
            Source::Anywhere => true,
        };
        let tells = asked && peer.hello.role == Role::Entry && !peer.away;
        let ahead = tells && peer.servers > seen || missing.configuration && peer.revision > held;
        if ahead && own_zone {
            near.push(peer.hello.address);
        } else if ahead {
            all.push(peer.hello.address);
        } else if tells && lost && peer.servers == seen {
            equal.push(peer.hello.address);
        }
    });
    pick_peer(&near, &all).or_else(|| pick_peer(&equal, &[]))
}

/// Any of `near`, or of `all` if there is none.
#[must_use]
pub fn pick_peer(near: &[SocketAddr], all: &[SocketAddr]) -> Option<SocketAddr> {
    let mut rng = rand::rng();
    near.choose(&mut rng)
        .or_else(|| all.choose(&mut rng))
        .copied()
}

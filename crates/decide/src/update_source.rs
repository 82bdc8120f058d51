//! Choice of the peers that a daemon asks for updates of the server list.
//!
//! A few daemons of each zone read the store and the others follow them. A reader whose watch is
//! silently broken notices that only after some seconds, so a daemon that hears of peers with newer
//! state fetches it from them: first the readers, from any zone, then their followers.

use std::time::Duration;

use crate::readers::ReaderRole;

/// Time for which a reader waits for its own watch to deliver what peers already have. The watch
/// spends part of this time batching changes.
const OWN_WATCH_DELAY: Duration = Duration::from_millis(500);

/// Time for which a follower waits for the readers of its zone to deliver what other zones have.
const ZONE_READERS_DELAY: Duration = Duration::from_secs(1);

/// Which peers have newer state than this daemon, and for how long that has been known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeersAhead {
    /// Whether entries of the same zone have newer state.
    pub same_zone: bool,
    /// Whether entries of other zones have newer state.
    pub other_zones: bool,
    /// Time since the first of them was heard, or since this daemon's last update if that is later.
    pub since: Duration,
}

/// Peers to ask for updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No peer for now.
    Nobody,
    /// An entry of the same zone.
    Zone,
    /// An entry of any zone.
    Anywhere,
}

/// Selects the peers that a daemon with `role` asks. `lost` means that its calls to the store fail.
#[must_use]
pub fn select_source(role: ReaderRole, lost: bool, ahead: PeersAhead) -> Source {
    let reads = role.reads() && !lost;
    if ahead.same_zone && (!reads || ahead.since >= OWN_WATCH_DELAY) {
        return Source::Zone;
    }
    let delay = if role.reads() {
        OWN_WATCH_DELAY
    } else {
        ZONE_READERS_DELAY
    };
    if ahead.other_zones && ahead.since >= delay {
        return Source::Anywhere;
    }
    Source::Nobody
}

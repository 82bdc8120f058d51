//! Selection of the peers that a daemon requests updates of the server list from.
//!
//! A few daemons of each zone read the store and the others follow them. A reader detects a watch
//! that failed silently only after some seconds, so a daemon that receives reports of newer state
//! fetches it from the peers that have it: first the readers, from any zone, then their followers.

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
    /// Time since the first report of newer state arrived, or since this daemon's last update if
    /// that is later.
    pub since: Duration,
}

/// Peers to request updates from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No peer for now.
    Nobody,
    /// An entry of the same zone.
    Zone,
    /// An entry of any zone.
    Anywhere,
}

/// Selects the peers that a daemon with `role` requests updates from. `lost` is true if its calls
/// to the store fail.
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

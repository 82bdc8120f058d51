//! Whom a daemon asks for news of the servers that it does not have.
//!
//! A few daemons of each zone read the store and the rest learn from them. A reader whose watch
//! hears nothing notices that only after some seconds, so whoever hears that others know more asks
//! them: readers first, of any zone, then those that learn from them.

use std::time::Duration;

use crate::readers::ReaderRole;

/// Time for which a reader's own watch may still bring what others have. It gathers changes for a
/// part of that.
const OWN_WATCH_DELAY: Duration = Duration::from_millis(500);

/// Time for which the readers of the zone may still bring what other zones have.
const ZONE_READERS_DELAY: Duration = Duration::from_secs(1);

/// Who knows of changes that this daemon does not, and for how long it has heard so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeersAhead {
    /// Whether entries of the zone do.
    pub same_zone: bool,
    /// Whether entries of other zones do.
    pub other_zones: bool,
    /// Time since the first of them was heard, or since this daemon had news.
    pub since: Duration,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Nobody now.
    Nobody,
    /// An entry of the zone.
    Zone,
    /// An entry of any zone.
    Anywhere,
}

/// Whom a daemon with `turn` asks. `lost` says that the store does not answer it.
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

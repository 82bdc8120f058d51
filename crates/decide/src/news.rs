//! Whom a daemon asks for news of the servers that it does not have.
//!
//! A few daemons of each zone read the store and the rest learn from them. A reader whose watch
//! hears nothing notices that only after some seconds, so whoever hears that others know more asks
//! them: readers first, of any zone, then those that learn from them.

use std::time::Duration;

use crate::readers::Turn;

/// Time for which a reader's own watch may still bring what others have. It gathers changes for a
/// part of that.
const OWN_WATCH: Duration = Duration::from_millis(500);

/// Time for which the readers of the zone may still bring what other zones have.
const OWN_READERS: Duration = Duration::from_secs(1);

/// Who knows of changes that this daemon does not, and for how long it has heard so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// Whether entries of the zone do.
    pub near: bool,
    /// Whether entries of other zones do.
    pub far: bool,
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
pub fn source(turn: Turn, lost: bool, ahead: Ahead) -> Source {
    let reads = turn.reads() && !lost;
    if ahead.near && (!reads || ahead.since >= OWN_WATCH) {
        return Source::Zone;
    }
    let patience = if turn.reads() { OWN_WATCH } else { OWN_READERS };
    if ahead.far && ahead.since >= patience {
        return Source::Anywhere;
    }
    Source::Nobody
}

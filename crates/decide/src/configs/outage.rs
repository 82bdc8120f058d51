//! Settings of [`crate::outage`].

use std::time::Duration;

use apricothall_types::Interval;

/// Settings of [`crate::outage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageConfig {
    /// Minimum time without an answer to any daemon that counts as an outage.
    pub silence: Interval,
    /// Time after an outage within which expired entries are written again.
    pub restore: Interval,
    /// Interval at which a live server writes its entry.
    pub heartbeat: Interval,
}

/// Minimum number of heartbeats that an outage suppresses before an entry expires. Entries expire
/// after three heartbeat intervals, one of which may have passed before the outage.
const MIN_MISSED_HEARTBEATS: u32 = 2;

/// Usual time between two answers to any daemon while the store is available.
const USUAL_ANSWER_INTERVAL: Interval = Interval::millis(2_600);

impl OutageConfig {
    /// Settings for servers that write their entries at the interval `heartbeat`.
    #[must_use]
    pub fn for_heartbeat(heartbeat: Duration) -> Self {
        Self {
            silence: USUAL_ANSWER_INTERVAL.max(Interval(heartbeat * MIN_MISSED_HEARTBEATS)),
            heartbeat: Interval(heartbeat),
            ..Self::default()
        }
    }
}

impl Default for OutageConfig {
    fn default() -> Self {
        Self {
            silence: USUAL_ANSWER_INTERVAL,
            restore: Interval::secs(2),
            heartbeat: Interval::millis(1_200),
        }
    }
}

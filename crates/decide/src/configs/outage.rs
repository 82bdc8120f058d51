//! Settings of [`crate::outage`].

use std::time::Duration;

use apricothall_types::Interval;

/// Settings of [`crate::outage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageConfig {
    /// Shortest time without an answer to any daemon that counts as an outage.
    pub silence: Interval,
    /// Time after an outage in which entries that lapsed come back.
    pub restore: Interval,
    /// Time between two writes of a living server's entry.
    pub heartbeat: Interval,
}

/// Heartbeats that an outage cuts off at least before an entry lapses: entries lapse after three
/// intervals of silence, one of which may have passed before.
const MIN_MISSED_HEARTBEATS: u32 = 2;

/// Time between two answers to daemons that is usual while the store answers any of them.
const USUAL_ANSWER_INTERVAL: Interval = Interval::millis(2_600);

impl OutageConfig {
    /// Settings for servers that write their entries every `heartbeat`.
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

//! Rate limiter for fetches from outside the region, which slows down when live requests do.

use std::time::Duration;

use apricothall_types::{Bytes, Rate, Timestamp};

/// Highest rate of fetches, in percent of the permitted rate.
const FULL_PERCENT: u32 = 100;

/// Lowest rate of fetches, in percent of the permitted rate.
const MIN_PERCENT: u32 = 10;

/// Increase of the rate while live requests are not slow, in percent of the permitted rate.
const STEP_PERCENT: u32 = 5;

/// Fetches slow down when the latency of live requests exceeds this percentage of its base.
const SLOW_DOWN_PERCENT: u32 = 120;

/// Minimum time between two rate changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Rate limiter that determines when the next outside fetch may start.
#[derive(Clone, Debug)]
pub struct Pacer {
    next: Timestamp,
    percent: u32,
    changed: Timestamp,
}

impl Pacer {
    /// Creates a rate limiter that permits the first fetch at `first`.
    #[must_use]
    pub fn new(first: Timestamp) -> Self {
        Self {
            next: first,
            percent: FULL_PERCENT,
            changed: Timestamp::default(),
        }
    }

    /// Returns whether a fetch may start at `now`.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next
    }

    /// Records a fetch that starts at `now`. The next one may start one interval later.
    ///
    /// At most one interval of unused time is carried over, which limits the burst after the
    /// process was suspended to two chunks.
    pub fn start(&mut self, interval: Duration, now: Timestamp) {
        let interval = interval * FULL_PERCENT / self.percent;
        self.next = self.next.max(now - interval) + interval;
    }

    /// Reverts the start of a fetch that was refused or failed.
    pub fn refund(&mut self, interval: Duration) {
        self.next = self.next - interval;
    }

    /// Adjusts the rate to the latency of live requests on the link relative to its base.
    ///
    /// The rate is halved while latency is high and otherwise increases in fixed steps.
    pub fn observe(&mut self, latency: Duration, base: Duration, now: Timestamp) {
        if now.since(self.changed) < MIN_CHANGE_INTERVAL {
            return;
        }
        self.changed = now;
        self.percent = if latency * FULL_PERCENT > base * SLOW_DOWN_PERCENT {
            (self.percent / 2).max(MIN_PERCENT)
        } else {
            (self.percent + STEP_PERCENT).min(FULL_PERCENT)
        };
    }
}

/// Returns the time between two fetches of an agent that owns `owned` of `count` chunks.
///
/// The rates of all agents of a region add up to `rate`, and all agents finish at the same time.
#[must_use]
pub fn interval(rate: Rate, chunk: Bytes, owned: u32, count: u32) -> Duration {
    rate.time_for(chunk).saturating_mul(count.max(1)) / owned.max(1)
}

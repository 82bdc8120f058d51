//! The pace of fetches from outside the region, and how it yields to live requests.

use std::time::Duration;

use apricothall_types::{Bytes, Rate, Timestamp};

const FULL_PERCENT: u32 = 100;
const MIN_PERCENT: u32 = 10;
const STEP_PERCENT: u32 = 5;
/// Live latency above this percentage of its base makes chunks yield.
const SLOW_DOWN_PERCENT: u32 = 120;
/// Shortest time between two changes of the pace.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// When the next fetch from outside may start.
#[derive(Clone, Debug)]
pub struct Pacer {
    next: Timestamp,
    percent: u32,
    changed: Timestamp,
}

impl Pacer {
    /// A pace whose first fetch may start at `first`.
    #[must_use]
    pub fn new(first: Timestamp) -> Self {
        Self {
            next: first,
            percent: FULL_PERCENT,
            changed: Timestamp::default(),
        }
    }

    /// Whether a fetch may start.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next
    }

    /// Counts a fetch that starts `now`; the next one may start an interval later.
    ///
    /// Unused time is carried over for at most one interval, which bounds the burst after a
    /// freeze to two chunks.
    pub fn start(&mut self, interval: Duration, now: Timestamp) {
        let interval = interval * FULL_PERCENT / self.percent;
        self.next = self.next.max(now - interval) + interval;
    }

    /// Takes back a start whose fetch was refused or failed.
    pub fn refund(&mut self, interval: Duration) {
        self.next = self.next - interval;
    }

    /// Reports the latency of live requests over the link against its base.
    ///
    /// The pace halves while latency is high and grows by steps when it is not.
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

/// Time between two fetches of an agent that draws `owned` of `count` chunks.
///
/// The rates of all agents of a region add up to `rate`, and all end at the same time.
#[must_use]
pub fn interval(rate: Rate, chunk: Bytes, owned: u32, count: u32) -> Duration {
    rate.time_for(chunk).saturating_mul(count.max(1)) / owned.max(1)
}

//! Token buckets: a plain bucket, and one that is shared fairly among callers.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{CallerId, Timestamp};

use super::{MILLI, Quota};

/// Time without requests after which the level of a caller is dropped.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Burst of requests that each caller may send independently of other callers.
const CALLER_BURST: u64 = 4;
/// Longest retry delay that a refused caller is given.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A token bucket. Levels are in thousandths of a request.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: u64,
    remainder: u64,
    last: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket filled with `burst` thousandths of a request.
    #[must_use]
    pub fn new(burst: u64, now: Timestamp) -> Self {
        Self {
            level: burst,
            remainder: 0,
            last: now,
        }
    }

    /// Adds the tokens accrued at `rate` since the last call, up to `burst`, and returns the
    /// overflow.
    pub fn refill(&mut self, rate: Quota, burst: u64, now: Timestamp) -> u64 {
        let gain = self.elapse(rate, now);
        let level = self.level.saturating_add(gain);
        self.level = level.min(burst.max(MILLI));
        level - self.level
    }

    /// Takes the tokens of one request. Returns false if the level is too low.
    pub fn take(&mut self) -> bool {
        if self.level < MILLI {
            return false;
        }
        self.level -= MILLI;
        true
    }

    /// Whether the level suffices for one request.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.level >= MILLI
    }

    /// Time until the level suffices for one request at `rate`.
    #[must_use]
    pub fn wait(&self, rate: Quota) -> Duration {
        let missing = MILLI.saturating_sub(self.level);
        time_to_yield(missing, rate)
    }

    /// Returns the whole thousandths accrued since the last call and keeps the fraction for the next
    /// one.
    fn elapse(&mut self, rate: Quota, now: Timestamp) -> u64 {
        let span = now.since(self.last);
        self.last = self.last.max(now);
        let nanos = u128::from(rate.0) * span.as_nanos() + u128::from(self.remainder);
        self.remainder = u64::try_from(nanos % super::NANOS).unwrap_or(0);
        u64::try_from(nanos / super::NANOS).unwrap_or(u64::MAX)
    }
}

/// Time in which `missing` thousandths of a request accrue at `rate`.
fn time_to_yield(missing: u64, rate: Quota) -> Duration {
    if missing == 0 {
        return Duration::ZERO;
    }
    let millis = missing.saturating_mul(MILLI).checked_div(rate.0);
    millis.map_or(MAX_WAIT, |ms| Duration::from_millis(ms + 1).min(MAX_WAIT))
}

#[derive(Clone, Copy, Debug)]
struct CallerLevel {
    level: u64,
    /// Thousandths of a request that the caller may still take as debt.
    credit: u64,
    used: Timestamp,
}

impl CallerLevel {
    /// Level of a caller before its first request.
    fn new(now: Timestamp) -> Self {
        Self {
            level: 0,
            credit: CALLER_BURST * MILLI,
            used: now,
        }
    }
}

/// A token bucket that is shared max-min fairly among its callers.
///
/// Each caller has a small level of its own. Accrued tokens are divided equally among the callers
/// whose level is not full, and the remainder goes to a shared level that all callers may use. A
/// caller that uses less than an equal part therefore always finds tokens, whatever the others send.
/// The first `CALLER_BURST` requests of a new caller are granted as debt, up to half the burst, so
/// that heavy callers do not cause refusals for occasional ones. In any window the bucket grants at
/// most `rate * window + burst + CALLER_BURST * callers` requests, and not more than half the burst
/// for the callers where that is larger.
#[derive(Clone, Debug)]
pub struct FairBucket {
    refill_clock: TokenBucket,
    shared: u64,
    debt: u64,
    burst: u64,
    callers: BTreeMap<CallerId, CallerLevel>,
    max_callers: usize,
}

impl FairBucket {
    /// Creates a bucket that tracks up to `max_callers` callers. The shared level starts at half of
    /// `burst`.
    #[must_use]
    pub fn new(burst: u64, max_callers: usize, now: Timestamp) -> Self {
        Self {
            refill_clock: TokenBucket::new(0, now),
            shared: burst / 2,
            debt: 0,
            burst,
            callers: BTreeMap::new(),
            max_callers,
        }
    }

    /// Adds the tokens accrued at `rate` since the last call.
    pub fn refill(&mut self, rate: Quota, burst: u64, now: Timestamp) {
        self.burst = burst;
        let gain = self.refill_clock.elapse(rate, now);
        let paid = gain.min(self.debt);
        self.debt -= paid;
        self.callers
            .retain(|_, caller_level| now.since(caller_level.used) < CALLER_IDLE_TIMEOUT);
        let rest = self.share(gain - paid, burst);
        self.shared = self.shared.saturating_add(rest).min(burst / 2);
    }

    /// Takes the tokens of one request of `caller`. Returns false if none are available.
    pub fn take(&mut self, caller: &CallerId, now: Timestamp) -> bool {
        if self.take_own(caller, now) {
            return true;
        }
        if self.shared >= MILLI {
            self.shared -= MILLI;
            return true;
        }
        self.take_as_debt(caller)
    }

    /// Takes the tokens of one request from the level of `caller`, and tracks a new caller while
    /// there is room for it.
    fn take_own(&mut self, caller: &CallerId, now: Timestamp) -> bool {
        if self.callers.len() >= self.max_callers && !self.callers.contains_key(caller) {
            return false;
        }
        let new = CallerLevel::new(now);
        let own = self.callers.entry(caller.clone()).or_insert(new);
        own.used = now;
        if own.level < MILLI {
            return false;
        }
        own.level -= MILLI;
        true
    }

    /// Takes the tokens of one request from the credit of `caller`; later refills pay for it.
    fn take_as_debt(&mut self, caller: &CallerId) -> bool {
        let fits = self.debt + MILLI <= self.burst / 2;
        let Some(own) = self.callers.get_mut(caller) else {
            return false;
        };
        if !fits || own.credit < MILLI {
            return false;
        }
        own.credit -= MILLI;
        self.debt += MILLI;
        true
    }

    /// Takes the tokens of one request that is never refused. Missing tokens become debt, up to
    /// `burst`, which later refills pay back at the expense of other requests.
    pub fn force(&mut self, burst: u64) {
        let paid = self.shared.min(MILLI);
        self.shared -= paid;
        self.debt = (self.debt + MILLI - paid).min(burst);
    }

    /// Time until `caller` can take the tokens of one request at `rate`.
    #[must_use]
    pub fn wait(&self, caller: &CallerId, rate: Quota) -> Duration {
        let count = u64::try_from(self.callers.len().max(1)).unwrap_or(u64::MAX);
        let level = self
            .callers
            .get(caller)
            .map_or(0, |caller_level| caller_level.level);
        let missing = MILLI.saturating_sub(level) + self.debt / count;
        time_to_yield(missing, Quota(rate.0 / count))
    }

    /// Divides `gain` evenly among the levels of the callers and returns the overflow.
    fn share(&mut self, gain: u64, burst: u64) -> u64 {
        let count = u64::try_from(self.callers.len()).unwrap_or(u64::MAX);
        let Some(equal_part) = (burst / 2).checked_div(count) else {
            return gain;
        };
        let cap = equal_part.max(CALLER_BURST * MILLI);
        let mut room: Vec<_> = self
            .callers
            .values_mut()
            .map(|caller_level| (cap.saturating_sub(caller_level.level), caller_level))
            .collect();
        room.sort_unstable_by_key(|(free, _)| *free);
        let mut rest = gain;
        let mut left = count;
        for (free, caller_level) in room {
            let part = (rest / left).min(free);
            caller_level.level += part;
            rest -= part;
            left -= 1;
        }
        rest
    }
}

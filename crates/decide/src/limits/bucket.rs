//! Token buckets: a plain one, and one that is fair to the callers that share it.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{CallerId, Timestamp};

use super::{MILLI, Quota};

/// Time after which a caller that sends nothing loses its place.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Requests that a caller may send at once whatever others send.
const CALLER_BURST: u64 = 4;
/// Longest time that a refused caller is told to wait.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A token bucket. Levels are in thousandths of a request.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: u64,
    remainder: u64,
    last: Timestamp,
}

impl TokenBucket {
    /// A bucket that starts with `burst` thousandths of a request.
    #[must_use]
    pub fn new(burst: u64, now: Timestamp) -> Self {
        Self {
            level: burst,
            remainder: 0,
            last: now,
        }
    }

    /// Adds what `rate` yielded since the last call, up to `burst`. Returns what did not fit.
    pub fn refill(&mut self, rate: Quota, burst: u64, now: Timestamp) -> u64 {
        let gain = self.elapse(rate, now);
        let level = self.level.saturating_add(gain);
        self.level = level.min(burst.max(MILLI));
        level - self.level
    }

    /// Takes one request.
    pub fn take(&mut self) -> bool {
        if self.level < MILLI {
            return false;
        }
        self.level -= MILLI;
        true
    }

    /// Whether one request may be taken.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.level >= MILLI
    }

    /// Time until one request may be taken at `rate`.
    #[must_use]
    pub fn wait(&self, rate: Quota) -> Duration {
        let missing = MILLI.saturating_sub(self.level);
        time_to_yield(missing, rate)
    }

    /// Whole thousandths gained since the last call; the fraction is kept for the next one.
    fn elapse(&mut self, rate: Quota, now: Timestamp) -> u64 {
        let span = now.since(self.last);
        self.last = self.last.max(now);
        let nanos = u128::from(rate.0) * span.as_nanos() + u128::from(self.remainder);
        self.remainder = u64::try_from(nanos % super::NANOS).unwrap_or(0);
        u64::try_from(nanos / super::NANOS).unwrap_or(u64::MAX)
    }
}

/// Time in which `rate` yields `missing` thousandths of a request.
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
    used: Timestamp,
}

/// A bucket whose yield is split max-min fair among the callers that use it.
///
/// Each caller has a small level of its own. What the rate yields goes in equal parts to the
/// callers whose level is not full, and what is left goes to a spare level that all may take from.
/// A caller that asks for less than an equal part therefore finds its level filled, whatever
/// others ask for. The first request of a caller that has no level yet is granted in advance, up to
/// half the burst, so that a caller that comes seldom is not refused for another's sake. In any
/// window it grants at most `rate * window + burst + CALLER_BURST *
/// callers` requests, and not more than half the burst for the callers where that is larger.
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
    /// A bucket that tells `most` callers apart and starts with half of `burst` as spare.
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

    /// Adds what `rate` yielded since the last call.
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

    /// Takes one request of `caller`.
    pub fn take(&mut self, caller: &CallerId, now: Timestamp) -> bool {
        let full = self.callers.len() >= self.max_callers;
        let known = self.callers.contains_key(caller);
        if !full || known {
            let fresh = CallerLevel {
                level: 0,
                used: now,
            };
            let caller_level = self.callers.entry(caller.clone()).or_insert(fresh);
            caller_level.used = now;
            if caller_level.level >= MILLI {
                caller_level.level -= MILLI;
                return true;
            }
        }
        if self.shared >= MILLI {
            self.shared -= MILLI;
            return true;
        }
        let first = !full && !known;
        let fits = self.debt + MILLI <= self.burst / 2;
        if first && fits {
            self.debt += MILLI;
            return true;
        }
        false
    }

    /// Takes one request that is never refused. What is missing is owed, up to `burst`, so that
    /// other requests make up for it.
    pub fn force(&mut self, burst: u64) {
        let paid = self.shared.min(MILLI);
        self.shared -= paid;
        self.debt = (self.debt + MILLI - paid).min(burst);
    }

    /// Time until `caller` may take one request at `rate`.
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

    /// Fills the levels of the callers evenly. Returns what did not fit.
    fn share(&mut self, gain: u64, burst: u64) -> u64 {
        let count = u64::try_from(self.callers.len()).unwrap_or(u64::MAX);
        let Some(even) = (burst / 2).checked_div(count) else {
            return gain;
        };
        let cap = even.max(CALLER_BURST * MILLI);
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

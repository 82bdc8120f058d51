//! Retry budgets and the rules for retries.

use std::time::Duration;

use apricothall_types::{Outcome, Timestamp};
use rand::Rng;

use crate::configs::RetryConfig;

const PERCENT: f64 = 100.0;
/// Maximum value of `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(5);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Outcome of the attempt, as far as known.
    pub outcome: Outcome,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether a frame of the answer was forwarded to the caller.
    pub answered: bool,
    /// Whether the server crashed while it ran the call; the quarantine then decides.
    pub suspect: bool,
    /// Number of attempts made, including the failed one.
    pub attempts: u32,
}

/// Whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry after this delay.
    Retry(Duration),
    /// A retry could run the call twice or mix two answers.
    Unsafe,
    /// The server crashed; the quarantine decides.
    Suspect,
    /// The maximum number of attempts was made.
    Attempts,
    /// The deadline is before the next attempt.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
}

/// Retry budget of one entry, a token bucket.
///
/// In any time window, the number of retries is at most
/// `saved + ratio * requests + minimum * seconds`.
#[derive(Clone, Debug)]
pub struct Budget {
    config: RetryConfig,
    saved: f64,
    last: Timestamp,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(config: RetryConfig, now: Timestamp) -> Self {
        let saved = f64::from(config.saved);
        Self {
            config,
            saved,
            last: now,
        }
    }

    /// Creates a budget with a single retry. Further retries must be earned first, so that
    /// processes which restart do not exceed their share.
    #[must_use]
    pub fn with_single_retry(config: RetryConfig, now: Timestamp) -> Self {
        Self {
            saved: f64::from(config.saved.min(1)),
            ..Self::new(config, now)
        }
    }

    /// Sets the capacity of the budget.
    pub fn set_limit(&mut self, saved: u32) {
        self.config.saved = saved;
        self.saved = self.saved.min(f64::from(saved));
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn note_request(&mut self, now: Timestamp) {
        let earned = f64::from(self.config.ratio) / PERCENT;
        self.refill(now);
        self.deposit(earned);
    }

    /// Decides whether and after which delay to retry. [`Verdict::Retry`] takes one retry from the
    /// budget.
    pub fn decide(
        &mut self,
        failure: Failure,
        deadline: Timestamp,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Verdict {
        if failure.suspect {
            return Verdict::Suspect;
        }
        if !is_safe(failure) {
            return Verdict::Unsafe;
        }
        if failure.attempts >= self.config.attempts {
            return Verdict::Attempts;
        }
        let pause = self.backoff(failure.attempts, rng);
        if now + pause >= deadline {
            return Verdict::Deadline;
        }
        self.refill(now);
        if self.saved < 1.0 {
            return Verdict::Budget;
        }
        self.saved -= 1.0;
        Verdict::Retry(pause)
    }

    /// Exponential backoff with full jitter: uniform between zero and a bound that doubles with
    /// each attempt.
    fn backoff(&self, attempts: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(attempts.saturating_sub(1));
        let bound = self.config.base.0.saturating_mul(factor);
        let bound = bound.min(self.config.longest.0);
        bound.mul_f64(rng.random::<f64>())
    }

    fn refill(&mut self, now: Timestamp) {
        let span = now.since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.deposit(span * f64::from(self.config.minimum));
    }

    fn deposit(&mut self, earned: f64) {
        self.saved = (self.saved + earned).min(f64::from(self.config.saved));
    }
}

/// Whether a retry can neither run a non-repeatable call twice nor mix two answers.
fn is_safe(failure: Failure) -> bool {
    if failure.answered {
        return false;
    }
    failure.outcome == Outcome::NotRun || failure.repeatable
}

/// Value of `Retry-After` in whole seconds, at least 1: `wait` plus up to half of it as jitter, so
/// that refused callers do not retry at the same time.
#[must_use]
pub fn retry_after(wait: Duration, rng: &mut impl Rng) -> u64 {
    let wait = wait.min(MAX_RETRY_AFTER);
    let spread = wait.mul_f64(rng.random::<f64>() / 2.0);
    let total = (wait + spread).min(MAX_RETRY_AFTER);
    let partial = u64::from(total.subsec_nanos() > 0);
    (total.as_secs() + partial).max(1)
}

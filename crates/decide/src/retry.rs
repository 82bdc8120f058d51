//! Retry budgets and what may be retried.

use std::time::Duration;

use apricothall_types::{Outcome, Timestamp};
use rand::Rng;

use crate::configs::RetryConfig;

const PERCENT: f64 = 100.0;
/// Longest pause that is asked of a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(5);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What is known of the attempt.
    pub outcome: Outcome,
    /// Whether the call may be run more than once.
    pub repeatable: bool,
    /// Whether a frame of the answer was passed on to the caller.
    pub answered: bool,
    /// Whether the server crashed with it, so that the quarantine decides.
    pub suspect: bool,
    /// Attempts made, the failed one included.
    pub attempts: u32,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try again after the pause.
    Retry(Duration),
    /// Repeating could run the call twice, or mix two answers.
    Unsafe,
    /// The server crashed; the quarantine decides.
    Suspect,
    /// All attempts are used.
    Attempts,
    /// The deadline comes before the next attempt.
    Deadline,
    /// The budget is used up.
    Budget,
}

/// Budget of retries of one entry.
///
/// In any window, retries number at most `saved + ratio * requests + minimum * seconds`.
#[derive(Clone, Debug)]
pub struct Budget {
    config: RetryConfig,
    saved: f64,
    last: Timestamp,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(config: RetryConfig, now: Timestamp) -> Self {
        let saved = f64::from(config.saved);
        Self {
            config,
            saved,
            last: now,
        }
    }

    /// A budget of one retry; others have to be earned first, so that processes which start anew
    /// have no more than their share.
    #[must_use]
    pub fn with_single_retry(config: RetryConfig, now: Timestamp) -> Self {
        Self {
            saved: f64::from(config.saved.min(1)),
            ..Self::new(config, now)
        }
    }

    /// Changes the retries that may be saved.
    pub fn set_limit(&mut self, saved: u32) {
        self.config.saved = saved;
        self.saved = self.saved.min(f64::from(saved));
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn note_request(&mut self, now: Timestamp) {
        let earned = f64::from(self.config.ratio) / PERCENT;
        self.refill(now);
        self.deposit(earned);
    }

    /// Whether, and after which pause, a failed attempt is repeated. [`Verdict::Retry`] takes
    /// from the budget.
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

    /// Pause after `attempts` attempts: uniform from zero to a bound that doubles (full jitter).
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

/// Whether running the call again can neither run it twice against its owner's will nor mix two
/// answers.
fn is_safe(failure: Failure) -> bool {
    if failure.answered {
        return false;
    }
    failure.outcome == Outcome::NotRun || failure.repeatable
}

/// Value of `Retry-After`, in whole seconds from 1: `wait` spread upwards by up to a half, so that
/// refused callers don't come back together.
#[must_use]
pub fn retry_after(wait: Duration, rng: &mut impl Rng) -> u64 {
    let wait = wait.min(MAX_RETRY_AFTER);
    let spread = wait.mul_f64(rng.random::<f64>() / 2.0);
    let total = (wait + spread).min(MAX_RETRY_AFTER);
    let partial = u64::from(total.subsec_nanos() > 0);
    (total.as_secs() + partial).max(1)
}

//! Retry budgets: this entry's share of the retries that all entries together may make.

use std::collections::HashMap;

use apricothall_decide::configs::RetryConfig;
use apricothall_decide::retry::{Budget, Failure, Verdict};
use apricothall_types::{Interval, Outcome, Timestamp};
use smol_str::SmolStr;

use crate::settings::Bounds;

/// Minimum number of entries assumed to share the budget, as some may not have been discovered yet.
const MIN_SHARERS: u32 = 8;

/// Number of entries assumed to share the budget by an entry that has discovered no other entry.
const DEFAULT_SHARERS: u32 = 100;

/// Fraction of the limit that is used, so that the total of all entries stays below it.
const BUDGET_FRACTION: f64 = 0.7;

const PERCENT: f64 = 100.0;

/// Retry budgets by service.
pub struct RetryBudgets {
    ratio: f64,
    extra: f64,
    /// Maximum number of entries discovered at any time. It does not decrease, so entries that lose
    /// contact with each other still share the budget.
    sharers: u32,
    budgets: HashMap<SmolStr, Budget>,
}

impl RetryBudgets {
    /// Creates the budgets of an entry that has discovered no other entry.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            sharers: 1,
            budgets: HashMap::new(),
        }
    }

    /// Sets the number of discovered entries, including this one.
    pub fn set_sharers(&mut self, entries: u32) {
        self.sharers = self.sharers.max(entries);
    }

    /// Records the first attempt of a request to `service`.
    pub fn note_request(&mut self, service: &SmolStr, now: Timestamp) {
        self.budget(service, now).note_request(now);
    }

    /// Takes a retry for a request to `service`, if the budget allows one.
    pub fn take_retry(&mut self, service: &SmolStr, deadline: Timestamp, now: Timestamp) -> bool {
        let failure = Failure {
            outcome: Outcome::NotRun,
            repeatable: true,
            answered: false,
            suspect: false,
            attempts: 1,
        };
        let budget = self.budget(service, now);
        let verdict = budget.decide(failure, deadline, now, &mut rand::rng());
        matches!(verdict, Verdict::Retry(_))
    }

    fn budget(&mut self, service: &SmolStr, now: Timestamp) -> &mut Budget {
        let sharers = match self.sharers {
            1 => DEFAULT_SHARERS,
            count => count.max(MIN_SHARERS),
        };
        let saved = floor_to_u32(self.extra * BUDGET_FRACTION / f64::from(sharers)).max(1);
        let retry = RetryConfig {
            ratio: floor_to_u32(self.ratio * BUDGET_FRACTION * PERCENT),
            minimum: 0,
            saved,
            attempts: u32::MAX,
            base: Interval::default(),
            longest: Interval::default(),
            ..RetryConfig::default()
        };
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| Budget::with_single_retry(retry, now));
        budget.set_limit(saved);
        budget
    }
}

fn floor_to_u32(value: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "configured values are small and positive"
    )]
    let number = value.max(0.0) as u32;
    number
}

//! Rate limits of log lines about requests. Failures and successes have separate limits, so that
//! successes never displace failures.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::log_rate_limit::{LogRateLimiter, Verdict};
use apricothall_types::Timestamp;

/// Maximum number of log lines per second about successful requests.
const SUCCESSES: u32 = 40;

/// Maximum number of log lines per second about refused or failed requests.
const FAILURES: u32 = 150;

/// Rate limiters of log lines about requests.
pub struct LogBudgets {
    successes: Mutex<LogRateLimiter>,
    failures: Mutex<LogRateLimiter>,
}

impl Default for LogBudgets {
    fn default() -> Self {
        Self {
            successes: Mutex::new(LogRateLimiter::new(SUCCESSES)),
            failures: Mutex::new(LogRateLimiter::new(FAILURES)),
        }
    }
}

impl LogBudgets {
    /// Whether to log a successful request.
    #[must_use]
    pub fn allow_success(&self, now: Timestamp) -> bool {
        allow(&self.successes, "success", now)
    }

    /// Whether to log a refused or failed request.
    #[must_use]
    pub fn allow_failure(&self, now: Timestamp) -> bool {
        allow(&self.failures, "failure", now)
    }
}

/// Converts a duration to milliseconds for logs.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn allow(budget: &Mutex<LogRateLimiter>, kind: &'static str, now: Timestamp) -> bool {
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    match budget.decide(now) {
        Verdict::Write { left_out } => {
            if left_out > 0 {
                tracing::info!(kind, left_out, "lines left out in the last second");
                metrics::counter!("apricothall_log_lines_left_out_total", "kind" => kind)
                    .increment(u64::from(left_out));
            }
            true
        }
        Verdict::Suppress => false,
    }
}

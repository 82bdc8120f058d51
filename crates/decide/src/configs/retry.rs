//! Settings of [`crate::retry`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::retry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {
    /// Retries added to the budget per request, in percent.
    pub ratio: u32,
    /// Retries added to the budget per second, regardless of the number of requests.
    pub minimum: u32,
    /// Capacity of the retry budget.
    pub saved: u32,
    /// Maximum number of attempts per request, including the first.
    pub attempts: u32,
    /// Maximum backoff after the first attempt.
    pub base: Interval,
    /// Maximum backoff between attempts.
    pub longest: Interval,
    /// Time without a frame from an agent after which an attempt there is abandoned. Agents send a
    /// heartbeat every 500 ms.
    pub silence: Interval,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            ratio: 10,
            minimum: 5,
            saved: 20,
            attempts: 3,
            base: Interval::millis(20),
            longest: Interval::millis(500),
            silence: Interval::secs(2),
        }
    }
}

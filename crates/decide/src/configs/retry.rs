//! Settings of [`crate::retry`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::retry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {
    /// Retries earned by requests, in percent of them.
    pub ratio: u32,
    /// Retries a second that are always granted.
    pub minimum: u32,
    /// Most retries that may be saved up.
    pub saved: u32,
    /// Attempts at one request, the first included.
    pub attempts: u32,
    /// Upper end of the first pause.
    pub base: Interval,
    /// Longest pause between attempts.
    pub longest: Interval,
    /// Silence of an agent after which an attempt there is given up. Agents send a sign of life
    /// every 500 ms.
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

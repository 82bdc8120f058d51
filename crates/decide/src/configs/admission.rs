//! Settings of [`crate::admission`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::admission`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Maximum number of queued batch requests.
    pub batch: usize,
    /// Maximum number of queued interactive requests.
    pub interactive: usize,
    /// Queue places reserved for critical requests.
    pub critical: usize,
    /// Execution slots reserved for critical requests. At least one slot remains for the other
    /// classes.
    pub reserve: u32,
    /// Queueing time after which a batch request may start before interactive ones.
    pub aging: Interval,
    /// Number of interactive requests that start between two aged batch requests.
    pub turns: u32,
    /// Initial estimate of the service time, used until one is measured.
    pub service: Interval,
    /// Minimum retry delay that a refused caller is given.
    pub soonest: Interval,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            batch: 32,
            interactive: 64,
            critical: 32,
            reserve: 1,
            aging: Interval::secs(10),
            turns: 4,
            service: Interval::millis(500),
            soonest: Interval::millis(500),
        }
    }
}

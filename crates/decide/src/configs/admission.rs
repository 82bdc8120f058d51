//! Settings of [`crate::admission`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::admission`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Requests of class batch that may wait.
    pub batch: usize,
    /// Requests of class interactive that may wait.
    pub interactive: usize,
    /// Places in the queue that only class critical may take.
    pub critical: usize,
    /// Slots that only class critical may take; at least one slot is left to the others.
    pub reserve: u32,
    /// Wait after which a batch request may go before interactive ones.
    pub aging: Interval,
    /// Interactive requests that start between two aged batch requests.
    pub turns: u32,
    /// Service time assumed before any was measured.
    pub service: Interval,
    /// Shortest time after which a refused caller is told to come back.
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

//! Settings of [`crate::limits`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::limits`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// Time for which a lent share stays valid after the request of its borrower.
    pub term: Interval,
    /// Maximum time for which a starting entry waits until the others count it.
    pub join: Interval,
    /// Part of its own share that an idle entry does not lend, in percent.
    pub reserve: u32,
    /// Maximum number of demands in one record.
    pub demands: usize,
    /// Maximum number of loans in one record.
    pub loans: usize,
    /// Number of callers of a catalogue entry that are tracked individually. The others share one
    /// level.
    pub callers: usize,
    /// Time constant of the demand estimate.
    pub window: Interval,
    /// Maximum number of tokens of a critical request. Larger requests count as interactive.
    pub tokens: u32,
    /// Maximum body size of a critical request, in bytes. Larger requests count as interactive.
    pub body: u32,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            term: Interval::secs(3),
            join: Interval::secs(10),
            reserve: 10,
            demands: 16,
            loans: 16,
            callers: 256,
            window: Interval::secs(1),
            tokens: 512,
            body: 16_384,
        }
    }
}

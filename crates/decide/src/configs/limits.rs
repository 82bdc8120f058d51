//! Settings of [`crate::limits`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::limits`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// Time for which a lent part of a limit holds after its borrower last asked.
    pub term: Interval,
    /// Longest time that a starting entry waits for the others to count it.
    pub join: Interval,
    /// Part of its own share that an idle entry keeps, in percent.
    pub reserve: u32,
    /// Demands that one record carries at most.
    pub demands: usize,
    /// Loans that one record carries at most.
    pub loans: usize,
    /// Callers of a catalogue entry that are told apart; the rest share one place.
    pub callers: usize,
    /// Time constant of the estimate of demand.
    pub window: Interval,
    /// Most tokens that a critical request may ask for; above it counts as interactive.
    pub tokens: u32,
    /// Largest body of a critical request, in bytes; above it counts as interactive.
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

//! Settings of [`crate::drain`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::drain`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {
    /// Time after the drain trigger during which an entry still forwards new requests of callers that
    /// have cached its address. Values above 3 s count as 3 s.
    pub grace: Interval,
    /// Time for which callers cache the addresses of entries.
    pub keep: Interval,
    /// Maximum time after the drain trigger for which transfers to peers delay the exit if no request
    /// is running.
    pub transfer: Interval,
    /// Time after which the process exits even if work remains. Must exceed the longest deadline.
    pub limit: Interval,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self {
            grace: Interval::secs(2),
            keep: Interval::secs(30),
            transfer: Interval::secs(20),
            limit: Interval::secs(3_600),
        }
    }
}

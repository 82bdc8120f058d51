//! Settings of [`crate::drain`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::drain`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {
    /// Time after the first sign in which an entry still forwards new requests of callers that
    /// have kept its address. Values above 3 s count as 3 s.
    pub grace: Interval,
    /// Time for which callers keep the addresses that they were given.
    pub keep: Interval,
    /// Longest time that transfers to peers hold up the end once no request runs.
    pub transfer: Interval,
    /// Time after which the process ends whatever runs. It must exceed the longest deadline.
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

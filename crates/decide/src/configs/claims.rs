//! Settings of [`crate::claims`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::claims`]. They must be equal at all agents of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimsConfig {
    /// Time for which an agent may start calls after it last read itself in the VM list.
    pub lease: Interval,
    /// Bound on the age of a VM list that a read returns.
    pub lag: Interval,
    /// Bound on the difference between the wall clocks of two VMs.
    pub skew: Interval,
    /// Time after its creation for which a key is accepted.
    pub horizon: Interval,
    /// Keys remembered at once.
    pub max_marks: usize,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            lease: Interval::secs(15),
            lag: Interval::secs(30),
            skew: Interval::secs(2),
            horizon: Interval::secs(3_600),
            max_marks: 200_000,
        }
    }
}

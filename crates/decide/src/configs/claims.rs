//! Settings of [`crate::claims`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// What becomes of a key that is no version 7 UUID and comes without a ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpaqueKeys {
    /// Taken as possibly as old as [`ClaimsConfig::opaque_horizon`].
    #[default]
    Accept,
    /// Refused.
    Refuse,
}

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
    /// Whether keys without a time in them are accepted.
    pub opaque: OpaqueKeys,
    /// Time for which callers retry a key without a time in it.
    pub opaque_horizon: Interval,
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
            opaque: OpaqueKeys::Accept,
            opaque_horizon: Interval::secs(120),
            max_marks: 200_000,
        }
    }
}

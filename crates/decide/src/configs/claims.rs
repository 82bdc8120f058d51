//! Settings of [`crate::claims`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Handling of a key that is not a version 7 UUID and has no ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpaqueKeys {
    /// Accepted, assuming that it may be as old as [`ClaimsConfig::opaque_horizon`].
    #[default]
    Accept,
    /// Rejected.
    Refuse,
}

/// Settings of [`crate::claims`]. They must be the same on all agents of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimsConfig {
    /// Time for which an agent may start calls after it last found itself in the VM list.
    pub lease: Interval,
    /// Maximum age of a VM list returned by a read.
    pub lag: Interval,
    /// Maximum difference between the wall clocks of two VMs.
    pub skew: Interval,
    /// Time for which a key is accepted after its creation.
    pub horizon: Interval,
    /// Whether keys without an encoded time are accepted.
    pub opaque: OpaqueKeys,
    /// Time for which callers retry a key without an encoded time.
    pub opaque_horizon: Interval,
    /// Maximum number of retained keys.
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

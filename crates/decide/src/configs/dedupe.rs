//! Settings of [`crate::dedupe`].

use apricothall_types::{Bytes, Interval};
use serde::{Deserialize, Serialize};

/// Settings of [`crate::dedupe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DedupeConfig {
    /// Maximum lifetime of a ticket or key. It must be at least [`super::ClaimsConfig::horizon`]
    /// plus the clock skew.
    pub horizon: Interval,
    /// Maximum number of retained calls, not counting tombstones.
    pub max_calls: usize,
    /// Maximum number of retained tombstones.
    pub max_tombstones: usize,
    /// Memory limit for stored answers. Above it, only the fact that a call ran is kept.
    pub answer_memory: Bytes,
}

impl Default for DedupeConfig {
    fn default() -> Self {
        Self {
            horizon: Interval::secs(3_660),
            max_calls: 100_000,
            max_tombstones: 50_000,
            answer_memory: Bytes::mib(16),
        }
    }
}

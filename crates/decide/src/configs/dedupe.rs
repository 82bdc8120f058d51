//! Settings of [`crate::dedupe`].

use apricothall_types::{Bytes, Interval};
use serde::{Deserialize, Serialize};

/// Settings of [`crate::dedupe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DedupeConfig {
    /// Longest life of a ticket or key: at least that of [`super::ClaimsConfig::horizon`] and skew.
    pub horizon: Interval,
    /// Calls remembered at once, besides tombstones.
    pub max_calls: usize,
    /// Tombstones remembered at once.
    pub max_tombstones: usize,
    /// Memory for kept answers; beyond it only the fact that a call ran is kept.
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

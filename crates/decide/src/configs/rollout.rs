//! Settings of [`crate::rollout`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::rollout`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutConfig {
    /// Age above which a report no longer counts as proof that a replica is serving.
    pub stale: Interval,
    /// Maximum time to wait for running requests before an engine is reloaded.
    pub drain: Interval,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            stale: Interval::secs(10),
            drain: Interval::secs(120),
        }
    }
}

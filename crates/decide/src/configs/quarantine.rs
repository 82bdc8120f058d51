//! Settings of [`crate::quarantine`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::quarantine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineConfig {
    /// Time for which a record is kept after its last change.
    pub horizon: Interval,
    /// Maximum number of retained fingerprints. Condemned ones are evicted last.
    pub max_records: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            horizon: Interval::secs(3_600),
            max_records: 4_096,
        }
    }
}

//! Settings of [`crate::drain`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::drain`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {
    /// Shortest time between the sign to leave and the end of the process.
    pub grace: Interval,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self {
            grace: Interval::secs(2),
        }
    }
}

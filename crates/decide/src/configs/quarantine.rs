//! Settings of [`crate::quarantine`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::quarantine`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineConfig {}

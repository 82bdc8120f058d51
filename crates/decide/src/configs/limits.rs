//! Settings of [`crate::limits`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::limits`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {}

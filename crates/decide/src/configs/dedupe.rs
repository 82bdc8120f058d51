//! Settings of [`crate::dedupe`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::dedupe`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DedupeConfig {}

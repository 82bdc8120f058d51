//! Settings of [`crate::claims`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::claims`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimsConfig {}

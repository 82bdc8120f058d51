//! Settings of [`crate::drain`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::drain`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {}

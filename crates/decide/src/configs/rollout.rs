//! Settings of [`crate::rollout`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::rollout`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutConfig {}

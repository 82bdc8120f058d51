//! Settings of [`crate::routing`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::routing`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {}

//! Settings of [`crate::membership`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::membership`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {}

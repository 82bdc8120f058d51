//! Settings of [`crate::retry`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::retry`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {}

//! Settings of [`crate::transfer`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::transfer`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferConfig {}

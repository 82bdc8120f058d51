//! Settings of [`crate::outlier`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::outlier`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutlierConfig {}

//! Settings of [`crate::admission`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::admission`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {}

//! Settings of [`crate::revision`].

use serde::{Deserialize, Serialize};

/// Settings of [`crate::revision`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RevisionConfig {}

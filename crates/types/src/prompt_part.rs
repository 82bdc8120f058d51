//! Parts of prompts, which requests may share.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::PartId;

/// A part of prompts that a model reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptPart {
    /// Name of the model.
    pub model: SmolStr,
    /// Id of the part, as callers name it.
    pub id: PartId,
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.id)
    }
}

//! What daemons tell each other of parts of prompts.

use std::collections::BTreeSet;

use apricothall_types::PromptPart;
use serde::{Deserialize, Serialize};

use crate::quarantine::Record;

/// Suspect parts that requests were answered with, at any entry.
pub type AnsweredSuspects = BTreeSet<PromptPart>;

/// What a daemon tells of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// Its crashes.
    pub record: Record,
    /// Whether any request with it was ever answered.
    pub answered: bool,
}

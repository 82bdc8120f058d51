//! Outcome of a request that did not get a complete answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the caller may conclude from a refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server ran the request, and none will.
    NotRun,
    /// The request ran and ended in an error.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

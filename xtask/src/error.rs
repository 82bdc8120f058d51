//! Errors of tasks.

use apricothall_standin::StandinError;
use smol_str::SmolStr;
use thiserror::Error;

/// An error of a task.
#[derive(Debug, Error)]
pub enum TaskError {
    /// The daemon failed to build.
    #[error("failed to build the daemon")]
    Build,
    /// A program could not be started or a file could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A test double or the harness failed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The figures could not be converted to or from JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("cannot draw plot: {0}")]
    Draw(SmolStr),
    /// A version did not reach all agents in time.
    #[error("timed out waiting for version {version} on all agents; end of an agent's log:\n{log}")]
    VersionTimeout {
        /// The version.
        version: SmolStr,
        /// End of the log of an agent that does not serve it.
        log: String,
    },
}

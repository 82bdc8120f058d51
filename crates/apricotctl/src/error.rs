//! Errors of the command line.

use apricothall_clients::PlatformError;
use apricothall_kernel::SettingsError;
use apricothall_types::CatalogueError;
use smol_str::SmolStr;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A catalogue is invalid.
    #[error("{path}: {source}")]
    Catalogue {
        /// Path of the file.
        path: SmolStr,
        /// The first error in it.
        source: CatalogueError,
    },
    /// A file or stream cannot be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A daemon did not answer.
    #[error("{address}: {source}")]
    Daemon {
        /// Address of the daemon.
        address: SmolStr,
        /// What went wrong.
        source: PlatformError,
    },
    /// An answer or request is not valid JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The command failed for another reason, which the text states.
    #[error("{0}")]
    Refused(SmolStr),
}

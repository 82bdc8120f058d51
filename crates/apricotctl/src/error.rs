//! Errors of the command line.

use apricothall_clients::PlatformError;
use apricothall_kernel::SettingsError;
use apricothall_types::CatalogueError;
use smol_str::SmolStr;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A settings file is refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A catalogue is refused.
    #[error("{path}: {source}")]
    Catalogue {
        /// Path of the file.
        path: SmolStr,
        /// The first fault.
        source: CatalogueError,
    },
    /// A file or stream cannot be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A daemon did not answer.
    #[error("{address}: {source}")]
    Daemon {
        /// Address asked.
        address: SmolStr,
        /// What went wrong.
        source: PlatformError,
    },
    /// An answer or request has no JSON form.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The request has no whole answer; the text says what is known.
    #[error("{0}")]
    Refused(SmolStr),
}

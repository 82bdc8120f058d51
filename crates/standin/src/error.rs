//! Errors of the stand-ins and of the harness.

use std::io;

use http::StatusCode;
use smol_str::SmolStr;
use thiserror::Error;

/// Why a stand-in or the harness could not do what was asked.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A socket, file or process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A connection could not be made, or broke before the head of the answer.
    #[error("{0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    /// The connection broke within the answer.
    #[error("{0}")]
    Body(#[from] hyper::Error),
    /// A request could not be put together.
    #[error("{0}")]
    Request(#[from] http::Error),
    /// The answer has another status than the one needed.
    #[error("{what} answered {status}")]
    Status {
        /// What was asked.
        what: SmolStr,
        /// The status of the answer.
        status: StatusCode,
    },
    /// The answer is not of the documented form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A name is not permitted.
    #[error("{0}")]
    Name(#[from] apricothall_types::TextError),
    /// Settings are no TOML.
    #[error("{0}")]
    Settings(#[from] toml::de::Error),
    /// Something awaited did not come about within the limit.
    #[error("{what} did not come about; last seen: {last}")]
    Timeout {
        /// What was awaited.
        what: SmolStr,
        /// What was seen last.
        last: String,
    },
}

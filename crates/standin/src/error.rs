//! Errors of the test doubles and of the harness.

use std::io;

use http::StatusCode;
use smol_str::SmolStr;
use thiserror::Error;

/// An error of a test double or of the harness.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A socket, file or process operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A connection failed or broke before the response headers.
    #[error("{0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    /// The connection broke while the response body was read.
    #[error("{0}")]
    Body(#[from] hyper::Error),
    /// A request could not be built.
    #[error("{0}")]
    Request(#[from] http::Error),
    /// The response has an unexpected status.
    #[error("{what} answered {status}")]
    Status {
        /// What was requested.
        what: SmolStr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response does not have the documented form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A name is invalid.
    #[error("{0}")]
    Name(#[from] apricothall_types::TextError),
    /// Settings are not valid TOML.
    #[error("{0}")]
    Settings(#[from] toml::de::Error),
    /// An expected condition was not met within the time limit.
    #[error("timed out waiting for {what}; last seen: {last}")]
    Timeout {
        /// The expected condition.
        what: SmolStr,
        /// The last observed state.
        last: String,
    },
}

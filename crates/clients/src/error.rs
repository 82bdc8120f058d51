//! Errors of calls to the platform and to backend servers.

use std::time::Duration;

use smol_str::SmolStr;
use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection was made, so the server did not receive the call.
    #[error("cannot connect: {0}")]
    Connect(SmolStr),
    /// The connection ended before the answer was complete, or the answer has no final status. The
    /// server may have received the call.
    #[error("answer lost: {0}")]
    Lost(SmolStr),
    /// No answer in time. The server may have received the call.
    #[error("no answer in time")]
    Timeout,
    /// The answer was not complete in time, although bytes were received.
    #[error("answer not complete in time")]
    Slow,
    /// The answer is larger than allowed.
    #[error("answer too large")]
    TooLarge,
    /// The server is over its limit.
    #[error("over its limit")]
    Busy {
        /// Retry delay that the server requests, if any.
        retry: Option<Duration>,
    },
    /// An answer with an error status.
    #[error("status {status}: {detail}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the body.
        detail: SmolStr,
    },
    /// An answer that violates the interface.
    #[error("malformed answer: {0}")]
    Malformed(SmolStr),
}

impl PlatformError {
    /// Whether it is certain that the server did not receive the call.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

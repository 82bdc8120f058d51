//! Errors of calls to the platform and to backend servers.

use std::time::Duration;

use smol_str::SmolStr;
use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection was made: the call did not arrive.
    #[error("cannot connect: {0}")]
    Connect(SmolStr),
    /// The connection ended before the answer did: the call may have arrived.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// No answer in time: the call may have arrived.
    #[error("no answer in time")]
    Timeout,
    /// The other side is over its limit.
    #[error("over its limit")]
    Busy {
        /// When to call again, if it said so.
        retry: Option<Duration>,
    },
    /// An answer with a status that means failure.
    #[error("status {status}: {detail}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the body.
        detail: SmolStr,
    },
    /// An answer of another form than the interface states.
    #[error("malformed answer: {0}")]
    Malformed(SmolStr),
}

impl PlatformError {
    /// Whether it is certain that the call did not arrive.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

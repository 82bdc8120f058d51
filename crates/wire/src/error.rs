//! Errors of the protocol between daemons.

use std::io;
use std::net::SocketAddr;

use smol_str::SmolStr;
use thiserror::Error;

/// Why a stream to or from another daemon failed.
#[derive(Debug, Error)]
pub enum WireError {
    /// No connection was made, so no byte of the stream was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Address of the daemon.
        address: SocketAddr,
        /// What went wrong.
        reason: SmolStr,
    },
    /// The other daemon refused the stream.
    #[error("refused with status {status}: {reason}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Its explanation.
        reason: SmolStr,
    },
    /// The connection or stream ended.
    #[error("stream failed: {0}")]
    Stream(#[from] h2::Error),
    /// Reading or writing failed.
    #[error("stream failed: {0}")]
    Io(io::Error),
    /// A frame could not be read.
    #[error("malformed frame: {0}")]
    Frame(SmolStr),
    /// The stream ended before an expected frame.
    #[error("stream ended early")]
    Ended,
    /// The other daemon did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// An RPC failed.
    #[error("call failed: {0}")]
    Call(#[from] tarpc::client::RpcError),
}

impl WireError {
    /// Whether it is certain that the other daemon did not accept the stream.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Refused { .. })
    }
}

impl From<io::Error> for WireError {
    /// Unwraps a [`WireError`] that a stream's reader has wrapped in an I/O error.
    fn from(error: io::Error) -> Self {
        error.downcast::<Self>().unwrap_or_else(Self::Io)
    }
}

//! The port for callers.

use std::net::SocketAddr;

use apricothall_types::{Bytes, Interval};
use serde::{Deserialize, Serialize};

/// Address and limits of the port for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that callers use; `listen` by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// How long callers may cache the answer to `GET /v1/entries`. Callers of a leaving entry are
    /// refused once when it exceeds `drain.grace`.
    #[serde(default = "default_keep")]
    pub keep: Interval,
    /// Maximum size of a request body.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Timeout for reading the headers of a request, and for reading its body.
    #[serde(default = "default_read")]
    pub read: Interval,
    /// Timeout for writing a part of the answer to a caller.
    #[serde(default = "default_write")]
    pub write: Interval,
    /// Default deadline of a request.
    #[serde(default = "default_deadline")]
    pub deadline: Interval,
}

fn default_keep() -> Interval {
    Interval::millis(1_500)
}

fn default_body() -> Bytes {
    Bytes::mib(1)
}

fn default_read() -> Interval {
    Interval::secs(5)
}

fn default_write() -> Interval {
    Interval::secs(30)
}

fn default_deadline() -> Interval {
    Interval::secs(60)
}

impl CallersConfig {
    /// Address that callers use.
    #[must_use]
    pub fn public(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

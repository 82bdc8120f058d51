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
    /// How long callers may keep the answer to `GET /v1/entries`. Callers of a leaving entry are
    /// refused once when it exceeds `drain.grace`.
    #[serde(default = "default_keep")]
    pub keep: Interval,
    /// Largest request body.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Longest wait for the head of a request, and for its body.
    #[serde(default = "default_read")]
    pub read: Interval,
    /// Longest wait for a caller to take a part of its answer.
    #[serde(default = "default_write")]
    pub write: Interval,
    /// Deadline of a request that names none.
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

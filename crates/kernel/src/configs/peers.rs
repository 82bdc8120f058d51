//! The port for other daemons.

use std::net::SocketAddr;

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Address and limits of the port for other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeersConfig {
    /// Address to listen on. Binding it ensures that a VM runs only one daemon.
    pub listen: SocketAddr,
    /// Address that other daemons use; `listen` by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Timeout for connecting to another daemon.
    #[serde(default = "default_connect")]
    pub connect: Interval,
    /// Timeout of an RPC.
    #[serde(default = "default_call")]
    pub call: Interval,
}

fn default_connect() -> Interval {
    Interval::millis(1_000)
}

fn default_call() -> Interval {
    Interval::millis(2_000)
}

impl PeersConfig {
    /// Address that other daemons use.
    #[must_use]
    pub fn public(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

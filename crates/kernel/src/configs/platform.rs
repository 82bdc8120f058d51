//! Addresses of the platform's services.

use std::net::SocketAddr;

use apricothall_types::{Interval, Region};
use serde::{Deserialize, Serialize};

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Configuration service.
    pub configuration: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Weight store.
    pub store: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
    /// Region of the weight store.
    pub region: Region,
    /// Timeout for an answer, in addition to the duration of a watch.
    #[serde(default = "default_answer")]
    pub answer: Interval,
}

fn default_answer() -> Interval {
    Interval::secs(2)
}

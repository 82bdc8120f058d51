//! Weights held in the memory of an agent.

use std::net::SocketAddr;

use apricothall_types::Bytes;
use serde::{Deserialize, Serialize};

/// Where engines read weights and how much memory chunks may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsConfig {
    /// Loopback address from which the engines of this VM read weights.
    pub listen: SocketAddr,
    /// Memory for chunks, including those kept for other agents.
    #[serde(default = "default_memory")]
    pub memory: Bytes,
}

fn default_memory() -> Bytes {
    Bytes::mib(4_096)
}

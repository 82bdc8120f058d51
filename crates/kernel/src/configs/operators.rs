//! The port for operators.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Address of the port for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
}

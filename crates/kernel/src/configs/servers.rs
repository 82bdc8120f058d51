//! Backend servers on the VM of an agent.

use std::net::SocketAddr;
use std::num::NonZeroU32;

use apricothall_types::EntryName;
use serde::{Deserialize, Serialize};

/// Type of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Engine or plain service.
    pub kind: ServerKind,
    /// Address of the server.
    pub address: SocketAddr,
    /// Catalogue entry of a plain service; absent for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<EntryName>,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: NonZeroU32,
}

fn default_slots() -> NonZeroU32 {
    NonZeroU32::new(16).unwrap_or(NonZeroU32::MIN)
}

//! Gateway daemon for VMs of a platform with its own API.
//!
//! An entry accepts requests from callers and forwards them directly to backend servers. An agent
//! fetches weights for the engine on its VM and reports the engine's load to entries. The
//! platform's API is described by a [`dialect::Dialect`].

pub mod agent;
pub mod answers;
pub mod body_budget;
pub mod callers;
pub mod configuration_copies;
pub mod configuration_sync;
pub mod connections;
pub mod context;
pub mod departures;
pub mod dialect;
pub mod directory;
pub mod exchange;
pub mod fleet;
pub mod forward;
pub mod forwarder;
pub mod gossip;
pub mod head_limit;
pub mod in_flight;
pub mod log_budgets;
pub mod missing_updates;
pub mod model;
pub mod peer_sync;
pub mod peers;
pub mod published;
pub mod quarantine;
pub mod repeated_call;
pub mod request;
pub mod resume;
pub mod retry_budgets;
pub mod run;
pub mod server_limits;
pub mod server_stream;
pub mod servers;
pub mod settings;
pub mod store;
pub mod store_calls;
pub mod store_reads;
pub mod stream;
pub mod traffic;
pub mod user_timeout;
pub mod whole_body;

pub use context::Context;

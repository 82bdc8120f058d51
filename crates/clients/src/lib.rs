//! Clients of the external systems that apricothall uses, by their published protocols.
//!
//! docs/INTERFACES.md states the assumptions about them.

pub mod configuration;
pub mod engine;
pub mod error;
pub mod http_client;
pub mod limit;
pub mod service;
pub mod sse;
pub mod vm_list;
pub mod weights;

pub use configuration::{ConfigurationClient, Value, WatchResult};
pub use engine::{EngineClient, EngineEvent, EngineState, LoadOrder, Serving};
pub use error::PlatformError;
pub use http_client::HttpClient;
pub use limit::NamedLimit;
pub use service::{ServiceAnswer, ServiceCall, ServiceClient};
pub use vm_list::VmListClient;
pub use weights::WeightsClient;

//! The daemon on VMs whose platform talks in its own way.
//!
//! An entry takes requests from callers and passes them straight to backend servers. An agent
//! brings weights to the engine of its VM and tells entries how loaded it is. What the platform
//! says comes through a [`dialect::Dialect`].

pub mod agent;
pub mod answers;
pub mod callers;
pub mod channels;
pub mod context;
pub mod dialect;
pub mod directory;
pub mod exchange;
pub mod feed;
pub mod fleet;
pub mod flight;
pub mod forward;
pub mod forwarder;
pub mod gossip;
pub mod head_limit;
pub mod lack;
pub mod lines;
pub mod model;
pub mod peers;
pub mod published;
pub mod quarantine;
pub mod relay;
pub mod repeats;
pub mod request;
pub mod resume;
pub mod run;
pub mod servers;
pub mod settings;
pub mod store;
pub mod stream;

pub use context::Context;

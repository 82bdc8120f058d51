//! Stand-ins for the systems around apricothall, for tests and `xtask`; never shipped.
//!
//! Each stand-in runs as tokio tasks of the calling process, is bound to a given address and has
//! a handle with counters, faults and `close`. What they answer is pinned by docs/INTERFACES.md.

pub mod addresses;
pub mod bucket;
pub mod caller;
pub mod client;
pub mod completion;
pub mod config;
pub mod emulator;
pub mod engine;
pub mod error;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod network;
pub mod node;
pub mod plan;
pub mod platform;
pub mod problem;
pub mod process;
pub mod proxy;
mod pump;
pub mod server;
pub mod service;
pub mod settings;
pub mod sse;
pub mod text;
pub mod vms;
pub mod weights;

pub use error::StandinError;

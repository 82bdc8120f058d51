//! Test doubles for the systems around apricothall, and a harness that starts fleets of real
//! daemons. Used by tests and `xtask`; not part of the released binaries.
//!
//! Each test double runs as tokio tasks in the calling process, listens on a given address and
//! returns a handle with counters, fault injection and `close`. Their responses follow
//! docs/INTERFACES.md.

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

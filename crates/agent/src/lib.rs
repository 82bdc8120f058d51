//! Plug-ins of the agent: model weights in memory, backend servers, and the requests that run on
//! them.

pub mod admission;
pub mod chunks;
pub mod claims;
pub mod completion;
pub mod fetch;
pub mod keyed;
pub mod loader;
pub mod placement;
pub mod refusal;
pub mod register;
pub mod reload;
pub mod run;
pub mod servers;
pub mod service_call;
pub mod suspects;
pub mod swarm;
pub mod transfers;
pub mod upload;
pub mod weights_port;

//! Plug-ins of the entry: the callers' port, rate limits, and routing of requests to agents.

pub mod arrival;
pub mod callers;
pub mod completions;
pub mod demand;
pub mod entries;
pub mod explain;
pub mod forward;
pub mod home;
pub mod limits;
pub mod problem;
pub mod prompt;
pub mod quarantine;
pub mod relay;
pub mod request_meta;
pub mod routing;
pub mod services;
pub mod tickets;

//! Plug-ins of the entry: the port for callers and the way of a request to an agent.

pub mod ask;
pub mod callers;
pub mod choose;
pub mod completions;
pub mod entries;
pub mod forward;
pub mod home;
pub mod problem;
pub mod quarantine;
pub mod services;
pub mod tickets;

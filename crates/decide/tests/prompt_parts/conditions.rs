//! Conditions of a run of the model.

use std::time::Duration;

/// A change of the decisions that the model must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Entries tell each other nothing.
    NoGossip,
    /// Completed requests clear nothing.
    NoClearances,
    /// Crashes are recorded for whole requests, of which no two are alike.
    WholeRequests,
}

/// Conditions of a run.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Number of entries.
    pub entries: usize,
    /// Number of availability zones, each in a region of its own.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Requests per second, over all entries.
    pub requests: f64,
    /// Share of requests with each lethal part.
    pub lethal_shares: Vec<f64>,
    /// Number of parts of which each request begins with one.
    pub first_parts: u32,
    /// Time before the first lethal request.
    pub warm_up: Duration,
    /// Share of lost gossip messages.
    pub loss: f64,
    /// Engines per second that end of themselves.
    pub kills: f64,
    /// Entries per second that restart.
    pub restarts: f64,
    /// Entries per second that are cut off from the others.
    pub cuts: f64,
    /// Change of the decisions.
    pub mutation: Option<Mutation>,
}

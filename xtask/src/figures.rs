//! Measurements of a burst, printed as one line of JSON.

use std::time::Duration;

use apricothall_standin::completion::Verdict;
use apricothall_standin::load::LoadReport;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Latencies within one period, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Live traffic within one period.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of complete responses.
    pub whole: u64,
    /// Number of errors that state an outcome.
    pub refused: u64,
    /// Number of responses that were truncated or never started, without an error.
    pub lost: u64,
    /// Number of responses with tokens of other responses or weights.
    pub mixed: u64,
    /// Time to the first token.
    pub first: Latency,
    /// Time between tokens.
    pub gap: Latency,
}

/// Measurements of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    /// Number of agents.
    pub agents: usize,
    /// Transfer strategy.
    pub strategy: String,
    /// What the transfer optimizes for.
    pub weighting: String,
    /// Injected faults.
    pub faults: Vec<String>,
    /// Seed of weights, load and jitter.
    pub seed: u64,
    /// Size of the weights, in bytes.
    pub size: u64,
    /// Rate of each VM's link, in bits per second.
    pub link: u64,
    /// Rate between two regions, in bits per second.
    pub between: u64,
    /// Time until all agents in the store's region held the version, divided by size / link rate.
    pub near: Option<f64>,
    /// Time until all agents in the other regions held it, divided by size / usable rate between
    /// regions.
    pub far: Option<f64>,
    /// Seconds until all agents held the version.
    pub complete: f64,
    /// Seconds until all agents served the version.
    pub serving: f64,
    /// Bytes fetched from store and origin, divided by size.
    pub origin: f64,
    /// Largest number of bytes sent from one region to another, divided by size.
    pub crossed: f64,
    /// Live traffic before the burst.
    pub before: Traffic,
    /// Live traffic from the publication until all agents served the version.
    pub during: Traffic,
    /// 95th percentile of the time to the first token during the burst, divided by the one before
    /// it.
    pub slowdown: f64,
    /// Largest resident memory of an agent, excluding its chunks, in bytes.
    pub memory: u64,
    /// Highest rate at which a daemon sent gossip, in bytes per second.
    pub control: f64,
}

fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1_000.0
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| millis(histogram.value_at_quantile(quantile));
        Self {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

impl Traffic {
    /// Summarizes a report.
    #[must_use]
    pub fn of(report: &LoadReport) -> Self {
        Self {
            ended: report.ended,
            whole: report.whole(),
            refused: report.refused(),
            lost: report.count(Verdict::Lost) + report.count(Verdict::Truncated),
            mixed: report.count(Verdict::Mixed) + report.count(Verdict::OutOfSequence),
            first: Latency::of(&report.first),
            gap: Latency::of(&report.gaps),
        }
    }
}

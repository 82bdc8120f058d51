//! What a burst measured, as one line of JSON.

use std::time::Duration;

use apricothall_standin::completion::Verdict;
use apricothall_standin::load::LoadReport;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Latencies of one span of time, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
}

/// Live traffic of one span of time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// Requests that ended.
    pub ended: u64,
    /// Whole answers.
    pub whole: u64,
    /// Errors with an outcome.
    pub refused: u64,
    /// Answers cut off or never begun, without an error.
    pub lost: u64,
    /// Answers with tokens of other answers or weights.
    pub mixed: u64,
    /// Time to the first token.
    pub first: Latency,
    /// Time between tokens.
    pub gap: Latency,
}

/// The line of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    /// Agents.
    pub agents: usize,
    /// Strategy of the transfer.
    pub strategy: String,
    /// What the transfer saves first.
    pub weighting: String,
    /// Faults brought about.
    pub faults: Vec<String>,
    /// Seed of weights, load and jitter.
    pub seed: u64,
    /// Size of the weights, in bytes.
    pub size: u64,
    /// Rate of each VM's link, in bits a second.
    pub link: u64,
    /// Rate between two regions, in bits a second.
    pub between: u64,
    /// Time until all agents of the store's region held the version, over size by link.
    pub near: Option<f64>,
    /// Time until all agents of far regions held it, over size by the rate between regions.
    pub far: Option<f64>,
    /// Seconds until all agents held it.
    pub complete: f64,
    /// Seconds until all agents served it.
    pub serving: f64,
    /// Bytes drawn from store and origin, over size.
    pub origin: f64,
    /// Most bytes that crossed from one region to another, over size.
    pub crossed: f64,
    /// Live traffic before the burst.
    pub before: Traffic,
    /// Live traffic until all agents held the version.
    pub during: Traffic,
    /// p95 of the first token during the burst, over before.
    pub slowdown: f64,
    /// Largest resident memory of an agent, less its chunks, in bytes.
    pub memory: u64,
    /// Most gossip that a daemon sent, in bytes a second.
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
    /// Sums up a report.
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

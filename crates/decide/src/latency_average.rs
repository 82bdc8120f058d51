//! Moving average of the latency of a server, which counts less the longer it was not renewed.

use std::time::Duration;

use apricothall_types::Timestamp;

/// Weight of a new sample that follows the one before at once.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time after which an average counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Average latency and the time of its latest sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyAverage {
    mean: Duration,
    renewed: Timestamp,
}

impl LatencyAverage {
    /// The average of a first sample.
    #[must_use]
    pub const fn new(sample: Duration, now: Timestamp) -> Self {
        Self {
            mean: sample,
            renewed: now,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Duration, now: Timestamp) {
        let weight = (1.0 - SAMPLE_WEIGHT) * self.remaining_weight(now);
        self.mean = self.mean.mul_f64(weight) + sample.mul_f64(1.0 - weight);
        self.renewed = now;
    }

    /// Average of the samples.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// The average, which returns to `initial` from above while it is not renewed, so that a server
    /// that was slow is tried again.
    #[must_use]
    pub fn aged(&self, initial: Duration, now: Timestamp) -> Duration {
        let excess = self.mean.saturating_sub(initial);
        self.mean.min(initial) + excess.mul_f64(self.remaining_weight(now))
    }

    fn remaining_weight(&self, now: Timestamp) -> f64 {
        let age = now.since(self.renewed).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

//! Requests that arrive for the first time or are retried.

use std::cmp::Reverse;
use std::time::Duration;

use apricothall_types::Timestamp;
use rand::Rng;

use super::{Request, Simulation};
use crate::emulator::Job;

impl Simulation<'_> {
    /// Returns a refused request whose retry is due.
    pub(super) fn next_retry(&mut self, now: u64) -> Option<usize> {
        let Reverse((at, id)) = *self.retries.peek()?;
        if at > now {
            return None;
        }
        self.retries.pop();
        Some(id)
    }

    /// Adds a request of random kind and size at a random entry.
    pub(super) fn add_request(&mut self, now: u64) {
        let mut draw = self.rng.random::<f64>();
        let kinds = &self.experiment.kinds;
        let found = kinds.iter().position(|kind| {
            draw -= kind.share;
            draw < 0.0
        });
        let kind = found.unwrap_or(kinds.len() - 1);
        // Shifted exponential distribution with a minimum of a quarter of the mean, which keeps
        // very long requests rare.
        let mut size = |mean: f64| {
            let spread = -(1.0 - self.rng.random::<f64>()).ln();
            (mean * (0.25 + 0.75 * spread)).max(1.0)
        };
        let job = Job {
            id: self.requests.len(),
            prompt: size(kinds[kind].prompt),
            answer: size(kinds[kind].answer),
            urgency: kinds[kind].priority.into(),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        self.outcomes[kind].total += 1;
        self.requests.push(Request {
            kind,
            job,
            arrived: now,
            entry,
            engine: 0,
            is_retry: false,
            sent: Timestamp::default(),
            predicted: Duration::ZERO,
            first: None,
        });
        self.place(job.id, false, now);
    }
}

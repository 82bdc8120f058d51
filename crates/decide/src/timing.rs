//! Latency model of a batching inference engine, which predicts the time to the first event.
//!
//! The engine works in passes. A pass first processes prompts (prefill), then generates `stride`
//! tokens for each running request (decode). The parameters are those that the service publishes.

use std::time::Duration;

use apricothall_types::{Timestamp, TokenCount};

const MS_PER_SECOND: f64 = 1_000.0;
const TOKENS_PER_K: f64 = 1_000.0;
const PAIRS_PER_M: f64 = 1e6;

/// Upper bound of predictions. Sums and multiples of them fit into a `Duration`.
const MAX_PREDICTION: Duration = Duration::from_hours(1);

/// Upper bound of the prefill time that is expected at an engine. No caller waits longer.
const MAX_BACKLOG_MS: f64 = 60_000.0;

/// Published timing parameters of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Number of requests that are decoded concurrently.
    pub slots: u32,
    /// Base time of a decode step, in ms.
    pub step: f64,
    /// Additional time of a decode step per request in the batch, in ms.
    pub per_request: f64,
    /// Additional time of a decode step per 1,000 tokens of context, in ms.
    pub per_context: f64,
    /// Prefill rate, in prompt tokens per second.
    pub reading: f64,
    /// Additional prefill time per million pairs of a token and an earlier token, in ms.
    pub per_pairs: f64,
    /// Decode steps per pass.
    pub stride: u32,
    /// Mean prompt length, in tokens.
    pub prompt: f64,
    /// Mean answer length, in tokens.
    pub answer: f64,
}

/// Load of an engine when a request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests in decode or prefill.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Remaining prefill time of the prompts sent before, in ms.
    pub backlog_ms: f64,
    /// Ratio of the engine's actual to its published pass time; 1 if it is as fast as published.
    pub slowdown: f64,
}

impl Timing {
    /// Prefill time of a prompt of `tokens` tokens, in ms.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_M;
        tokens / self.reading.max(1.0) * MS_PER_SECOND + pairs * self.per_pairs
    }

    /// Time of the decode steps of one pass with a batch of `batch` requests, in ms.
    #[must_use]
    pub fn decode_ms(&self, batch: u32) -> f64 {
        let n = f64::from(batch);
        let context = n * (self.prompt + self.answer / 2.0) / TOKENS_PER_K;
        f64::from(self.stride) * (self.step + self.per_request * n + self.per_context * context)
    }

    /// Requests per second that a fully loaded engine completes at the published timing.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        let passes = (self.answer / f64::from(self.stride.max(1)))
            .ceil()
            .max(1.0);
        let slots = f64::from(self.slots.max(1));
        let prefill = slots / passes * self.prefill_ms(self.prompt);
        slots / (passes * (self.decode_ms(self.slots) + prefill)) * MS_PER_SECOND
    }

    /// Longest pause in the streams of running requests if a prompt of `tokens` tokens arrives now.
    /// Prefill runs between the decode steps and delays them.
    #[must_use]
    pub fn pause(&self, work: Work, tokens: f64) -> Duration {
        let batch = work.running.min(self.slots);
        let ms =
            self.decode_ms(batch.saturating_add(1)) + work.backlog_ms + self.prefill_ms(tokens);
        prediction(ms * work.slowdown.max(1.0))
    }

    /// Time until the first event of a request with a prompt of `tokens` tokens.
    #[must_use]
    pub fn first_event(&self, work: Work, tokens: f64) -> Duration {
        let batch = work.running.min(self.slots);
        let pass = self.decode_ms(batch.saturating_add(1));
        let own = self.prefill_ms(tokens);
        let mut ms = pass * 1.5 + own + work.backlog_ms;
        let taken = work.running.saturating_add(work.waiting);
        if taken >= self.slots {
            let behind = f64::from(taken - self.slots) + 0.5;
            ms += behind * self.completion_interval_ms();
        }
        prediction(ms * work.slowdown.max(1.0))
    }

    /// Whether an engine without other work reads a prompt of `tokens` tokens within `limit`.
    #[must_use]
    pub fn can_read_within(&self, tokens: f64, limit: Duration) -> bool {
        prediction(self.prefill_ms(tokens)) <= limit
    }

    /// Mean number of tokens of a request, prompt and answer.
    #[must_use]
    pub fn mean_tokens(&self) -> TokenCount {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive; a cast saturates"
        )]
        let tokens = (self.prompt + self.answer).max(0.0) as u64;
        TokenCount(tokens)
    }

    /// Time in which a fully loaded engine completes requests that hold `tokens` tokens.
    #[must_use]
    pub fn time_to_free(&self, tokens: TokenCount) -> Duration {
        let requests = tokens.as_f64() / self.mean_tokens().as_f64().max(1.0);
        prediction(requests * self.completion_interval_ms())
    }

    /// Mean time between two completions at a fully loaded engine, in ms.
    #[must_use]
    pub fn completion_interval_ms(&self) -> f64 {
        MS_PER_SECOND / self.throughput().max(f64::EPSILON)
    }
}

/// A predicted time of `ms` milliseconds. What is not a number counts as the longest time.
fn prediction(ms: f64) -> Duration {
    if ms <= 0.0 {
        return Duration::ZERO;
    }
    let time = Duration::try_from_secs_f64(ms / MS_PER_SECOND);
    time.map_or(MAX_PREDICTION, |time| time.min(MAX_PREDICTION))
}

/// Share of its time that an engine with pending prompts spends on prefill.
const PREFILL_SHARE: f64 = 0.85;

/// Prefill time of the prompts that were sent to an engine and are not yet processed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    ms: f64,
    at: Timestamp,
}

impl Backlog {
    /// Adds a prompt with a prefill time of `ms` milliseconds.
    pub fn add(&mut self, ms: f64, now: Timestamp) {
        let sum = self.remaining_ms(now) + ms;
        self.ms = if sum < MAX_BACKLOG_MS {
            sum
        } else {
            MAX_BACKLOG_MS
        };
        self.at = now;
    }

    /// Remaining prefill time, in ms.
    #[must_use]
    pub fn remaining_ms(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() * MS_PER_SECOND * PREFILL_SHARE;
        (self.ms - elapsed).max(0.0)
    }
}

/// Upper bound of the requests that are expected in an engine's queue.
const MAX_QUEUED: f64 = 1_000.0;

/// Estimated number of requests in the queue of a full engine, which takes one from it for each that
/// it completes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuedRequests {
    count: f64,
    at: Timestamp,
}

impl QueuedRequests {
    /// Adds `count` requests to the queue of an engine that completes one every `interval_ms`
    /// milliseconds.
    pub fn add(&mut self, count: f64, interval_ms: f64, now: Timestamp) {
        self.count = (self.at_time(interval_ms, now) + count).min(MAX_QUEUED);
        self.at = now;
    }

    /// Remaining number of requests.
    #[must_use]
    pub fn remaining(&self, interval_ms: f64, now: Timestamp) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and MAX_QUEUED"
        )]
        let count = self.at_time(interval_ms, now).round() as u32;
        count
    }

    fn at_time(&self, interval_ms: f64, now: Timestamp) -> f64 {
        let completed = now.since(self.at).as_secs_f64() * MS_PER_SECOND / interval_ms;
        (self.count - completed).max(0.0)
    }
}

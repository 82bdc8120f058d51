//! Timing of a model engine that batches requests: when one more request gets its first event.
//!
//! The engine works in passes. A pass first reads prompts, then makes `stride` tokens for each
//! request that is writing. Figures come from the service's published description.

use std::time::Duration;

use apricothall_types::Timestamp;

const MS_PER_SECOND: f64 = 1_000.0;
const TOKENS_PER_K: f64 = 1_000.0;
const PAIRS_PER_M: f64 = 1e6;

/// Published timing of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Requests written at once.
    pub slots: u32,
    /// A token step, in ms.
    pub step: f64,
    /// Addition to a step for each request that is writing, in ms.
    pub per_request: f64,
    /// Addition to a step for each 1,000 tokens of context, in ms.
    pub per_context: f64,
    /// Prompt tokens read a second.
    pub reading: f64,
    /// Addition to reading for a million pairs of a token and an earlier one, in ms.
    pub per_pairs: f64,
    /// Token steps of a pass.
    pub stride: u32,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
}

/// Work at an engine when a request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests that are writing or being read.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Time that prompts sent before will still take to be read, in ms.
    pub prefill_backlog_ms: f64,
    /// How many times slower than published the engine is; 1 is as published.
    pub slowdown: f64,
}

impl Timing {
    /// Time to read a prompt of `tokens`, in ms.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_M;
        tokens / self.reading.max(1.0) * MS_PER_SECOND + pairs * self.per_pairs
    }

    /// Time of the token steps of one pass with `writers` requests, in ms.
    #[must_use]
    pub fn decode_ms(&self, writers: u32) -> f64 {
        let n = f64::from(writers);
        let context = n * (self.prompt + self.answer / 2.0) / TOKENS_PER_K;
        f64::from(self.stride) * (self.step + self.per_request * n + self.per_context * context)
    }

    /// Requests that a full engine ends in a second, as published.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        let passes = (self.answer / f64::from(self.stride.max(1)))
            .ceil()
            .max(1.0);
        let places = f64::from(self.slots.max(1));
        let reads = places / passes * self.prefill_ms(self.prompt);
        places / (passes * (self.decode_ms(self.slots) + reads)) * MS_PER_SECOND
    }

    /// Longest pause of the requests that are writing, if a prompt of `tokens` is read now: prompts
    /// are read between their steps.
    #[must_use]
    pub fn pause(&self, work: Work, tokens: f64) -> Duration {
        let writers = work.running.min(self.slots);
        let ms = self.decode_ms(writers + 1) + work.prefill_backlog_ms + self.prefill_ms(tokens);
        Duration::from_secs_f64((ms * work.slowdown.max(1.0) / MS_PER_SECOND).max(0.0))
    }

    /// Time until a request with a prompt of `tokens` gets its first event.
    #[must_use]
    pub fn first_event(&self, work: Work, tokens: f64) -> Duration {
        let writers = work.running.min(self.slots);
        let pass = self.decode_ms(writers + 1);
        let own = self.prefill_ms(tokens);
        let mut ms = pass * 1.5 + own + work.prefill_backlog_ms;
        let taken = work.running + work.waiting;
        if taken >= self.slots {
            let behind = f64::from(taken - self.slots) + 0.5;
            ms += behind * self.completion_interval_ms();
        }
        Duration::from_secs_f64((ms * work.slowdown.max(1.0) / MS_PER_SECOND).max(0.0))
    }

    /// Time between two ends of requests at a full engine, in ms.
    #[must_use]
    pub fn completion_interval_ms(&self) -> f64 {
        MS_PER_SECOND / self.throughput().max(f64::EPSILON)
    }
}

/// Part of its time that an engine with unread prompts spends on reading them.
const PREFILL_SHARE: f64 = 0.85;

/// Prompts sent to an engine and not yet read, as time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    ms: f64,
    at: Timestamp,
}

impl Backlog {
    /// Adds a prompt that takes `ms` to read.
    pub fn add(&mut self, ms: f64, now: Timestamp) {
        self.ms = self.remaining_ms(now) + ms;
        self.at = now;
    }

    /// Time that the prompts will still take, in ms.
    #[must_use]
    pub fn remaining_ms(&self, now: Timestamp) -> f64 {
        let read = now.since(self.at).as_secs_f64() * MS_PER_SECOND * PREFILL_SHARE;
        (self.ms - read).max(0.0)
    }
}

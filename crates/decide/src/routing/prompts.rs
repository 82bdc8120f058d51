//! Prompt prefixes that engines probably still hold, and the time that they save.
//!
//! An entry sees only its own requests. It assumes that each of the other entries sends as many
//! prompt tokens to an engine, so a prefix counts as displaced too early rather than too late.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{
    Digest, EntryName, Incarnation, MemberId, PromptCache, Timestamp, TokenCount, Version,
};
use serde::Serialize;

use super::{CacheEvent, PREFIX_BYTES, Prefix};

/// Estimated bytes of text per token. The engines' tokenizers are unknown to an entry.
const BYTES_PER_TOKEN: usize = 4;

/// Factor by which the weight of a sample falls with each later one.
const SAMPLE_DECAY: f64 = 0.98;

/// Total weight of samples below which no prefill rate is stated.
const MIN_WEIGHT: f64 = 5.0;

/// Variance of the samples' tokens below which no prefill rate is stated: a standard deviation of
/// half a shortest prefix.
const MIN_VARIANCE: f64 = 32.0 * 32.0;

/// Weight of a new sample in the mean time that a request takes a slot.
const SLOT_TIME_WEIGHT: f64 = 0.1;

/// A leading part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    prefix: Prefix,
    tokens: TokenCount,
}

/// Leading parts of one prompt, at lengths of 256, 384, 512, 768, 1,024 bytes and so on. The prefix
/// that two prompts share is recognized up to the longest of these lengths within it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPrefixes {
    parts: Vec<Part>,
    tokens: TokenCount,
}

impl PromptPrefixes {
    /// Hashes the leading parts of `prompt`.
    #[must_use]
    pub fn of(prompt: &[u8]) -> Self {
        let mut parts: Vec<Part> = Vec::new();
        let (mut start, mut end) = (0, PREFIX_BYTES);
        while let Some(segment) = prompt.get(start..end) {
            // Each hash covers the one before, so that every byte is hashed once.
            let digest = parts.last().map_or_else(
                || Digest::of(segment),
                |shorter| Digest::of_parts(&[&shorter.prefix.0.0, segment]),
            );
            parts.push(Part {
                prefix: Prefix(digest),
                tokens: tokens_in(end),
            });
            start = end;
            end = if end.is_power_of_two() {
                end + end / 2
            } else {
                end / 3 * 4
            };
        }
        Self {
            parts,
            tokens: tokens_in(prompt.len()),
        }
    }

    /// Tokens in the longest recognized prefix.
    #[must_use]
    pub fn shareable(&self) -> TokenCount {
        self.parts
            .last()
            .map_or(TokenCount::default(), |part| part.tokens)
    }
}

fn tokens_in(bytes: usize) -> TokenCount {
    TokenCount(u64::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX))
}

/// The prompt of a request to a model whose engines retain prompts.
#[derive(Clone, Copy, Debug)]
pub struct PromptQuery<'a> {
    /// Catalogue entry of the model.
    pub model: &'a EntryName,
    /// What its engines retain.
    pub cache: PromptCache,
    /// Leading parts of the prompt.
    pub prompt: &'a PromptPrefixes,
}

/// Identifies a start of an engine with one version; a later start holds no earlier prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStart {
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// Version that the engine serves.
    pub version: Version,
}

/// A request on its way to an engine that retains prompts.
#[derive(Clone, Debug)]
pub struct PromptAttempt {
    model: EntryName,
    member: MemberId,
    prompt: PromptPrefixes,
    cached: TokenCount,
    start: EngineStart,
    sent: Timestamp,
    has_free_slot: bool,
    prefilled: Option<Timestamp>,
}

/// Measured times of a model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Timing {
    /// Prefill time per prompt token, in seconds.
    pub prefill: f64,
    /// Mean time that a request takes a slot.
    pub slot_time: Duration,
}

impl Timing {
    /// Prefill time of `tokens`.
    #[must_use]
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        Duration::try_from_secs_f64(self.prefill * tokens.as_f64()).unwrap_or_default()
    }
}

/// Linear regression of the time to the first token on the number of tokens that are not cached.
/// The slope is the prefill time per token; the intercept covers everything else.
#[derive(Clone, Copy, Debug, Default)]
struct Prefill {
    weight: f64,
    tokens: f64,
    seconds: f64,
    squares: f64,
    products: f64,
}

impl Prefill {
    fn record(&mut self, tokens: TokenCount, latency: Duration) {
        let (tokens, seconds) = (tokens.as_f64(), latency.as_secs_f64());
        let decayed = |sum: f64, sample: f64| sum * SAMPLE_DECAY + sample;
        self.weight = decayed(self.weight, 1.0);
        self.tokens = decayed(self.tokens, tokens);
        self.seconds = decayed(self.seconds, seconds);
        self.squares = decayed(self.squares, tokens * tokens);
        self.products = decayed(self.products, tokens * seconds);
    }

    /// Seconds per token.
    fn slope(&self) -> Option<f64> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean = self.tokens / self.weight;
        let variance = self.squares / self.weight - mean * mean;
        let covariance = self.products / self.weight - mean * self.seconds / self.weight;
        (variance >= MIN_VARIANCE).then(|| (covariance / variance).max(0.0))
    }

    /// Expected seconds to the first token of a prompt of which `tokens` are not cached.
    fn expected(&self, tokens: TokenCount) -> Option<f64> {
        let slope = self.slope()?;
        Some((self.seconds - slope * self.tokens) / self.weight + slope * tokens.as_f64())
    }
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// Tokens that the engine had processed when it last used the prefix.
    position: u64,
    used: Timestamp,
    order: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    start: EngineStart,
    /// Estimated prompt tokens that it has processed for all entries.
    processed: u64,
    held: BTreeMap<Prefix, Held>,
}

#[derive(Clone, Debug, Default)]
struct Model {
    prefill: Prefill,
    slot_time: Option<f64>,
    engines: BTreeMap<MemberId, Engine>,
}

/// Prefixes held by engines, bounded by the least recently used, and measured times per model.
#[derive(Clone, Debug)]
pub struct Prompts {
    capacity: usize,
    entries: u64,
    models: BTreeMap<EntryName, Model>,
    by_use: BTreeMap<u64, (EntryName, MemberId, Prefix)>,
    next_order: u64,
}

impl Prompts {
    /// Creates an empty table of at most `capacity` prefixes.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: 1,
            models: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_order: 0,
        }
    }

    pub fn set_entries(&mut self, count: usize) {
        self.entries = u64::try_from(count).unwrap_or(u64::MAX).max(1);
    }

    /// Measured times of `model`, or `None` before they are known.
    pub fn timing(&self, model: &EntryName) -> Option<Timing> {
        let model = self.models.get(model)?;
        Some(Timing {
            prefill: model.prefill.slope()?,
            slot_time: Duration::try_from_secs_f64(model.slot_time?).ok()?,
        })
    }

    /// Tokens of the prompt that `member` probably holds.
    pub fn cached(&self, query: &PromptQuery<'_>, member: &MemberId, now: Timestamp) -> TokenCount {
        let model = self.models.get(query.model);
        let Some(engine) = model.and_then(|m| m.engines.get(member)) else {
            return TokenCount::default();
        };
        let cache = &query.cache;
        let is_held = |part: &&Part| {
            engine.held.get(&part.prefix).is_some_and(|held| {
                let later = engine.processed.saturating_sub(held.position);
                now.since(held.used) < cache.retention.0
                    && later.saturating_add(part.tokens.0) <= u64::from(cache.tokens.get())
            })
        };
        let held = query.prompt.parts.iter().take_while(is_held);
        held.last()
            .map_or(TokenCount::default(), |part| part.tokens)
    }

    /// Counts the prompt as processed by `member`.
    pub fn start(
        &mut self,
        query: &PromptQuery<'_>,
        member: &MemberId,
        start: EngineStart,
        has_free_slot: bool,
        now: Timestamp,
    ) -> PromptAttempt {
        let is_other_start = |e: &Engine| e.start != start;
        let known = self.models.get(query.model);
        if known
            .and_then(|m| m.engines.get(member))
            .is_some_and(is_other_start)
        {
            self.remove_engine(query.model, member);
        }
        let cached = self.cached(query, member, now);
        let model = self.models.entry(query.model.clone()).or_default();
        let engine = model.engines.entry(member.clone());
        let engine = engine.or_insert_with(|| Engine {
            start: start.clone(),
            processed: 0,
            held: BTreeMap::new(),
        });
        let uncached = query.prompt.tokens.0.saturating_sub(cached.0);
        let by_all = uncached.saturating_mul(self.entries);
        engine.processed = engine.processed.saturating_add(by_all);
        PromptAttempt {
            model: query.model.clone(),
            member: member.clone(),
            prompt: query.prompt.clone(),
            cached,
            start,
            sent: now,
            has_free_slot,
            prefilled: None,
        }
    }

    /// Records that the first token of the answer arrived, so that the engine holds the prompt.
    pub fn prefilled(&mut self, attempt: &mut PromptAttempt, now: Timestamp) {
        attempt.prefilled = Some(now);
        let latency = now.since(attempt.sent);
        let total = attempt.prompt.tokens;
        let uncached = TokenCount(total.0.saturating_sub(attempt.cached.0));
        let Some(model) = self.models.get_mut(&attempt.model) else {
            return;
        };
        // A time that includes a queue says nothing about the prefill.
        if attempt.has_free_slot {
            let without_cache = model.prefill.expected(total);
            let is_miss = attempt.cached.0 > 0
                && without_cache.is_some_and(|time| latency.as_secs_f64() >= time);
            model
                .prefill
                .record(if is_miss { total } else { uncached }, latency);
            if is_miss {
                self.remove_held(&attempt.model, &attempt.member);
            }
        }
        self.store(attempt, now);
    }

    /// Records that the answer is complete.
    pub fn end(&mut self, attempt: &PromptAttempt, now: Timestamp) {
        let Some(prefilled) = attempt.prefilled else {
            return;
        };
        let Some(model) = self.models.get_mut(&attempt.model) else {
            return;
        };
        let uncached = attempt.prompt.tokens.0.saturating_sub(attempt.cached.0);
        let prefill = model.prefill.slope().unwrap_or(0.0) * TokenCount(uncached).as_f64();
        let sample = now.since(prefilled).as_secs_f64() + prefill;
        let known = model.slot_time.unwrap_or(sample);
        model.slot_time = Some(known + (sample - known) * SLOT_TIME_WEIGHT);
    }

    /// Removes what a cache event of `member` reports as gone.
    pub fn apply(&mut self, member: &MemberId, event: CacheEvent) {
        let names: Vec<_> = self.models.keys().cloned().collect();
        for name in names {
            match event {
                CacheEvent::Stored(_) => {}
                CacheEvent::Cleared => self.remove_held(&name, member),
                CacheEvent::Evicted(prefix) => {
                    let model = self.models.get_mut(&name);
                    let engine = model.and_then(|m| m.engines.get_mut(member));
                    if let Some(held) = engine.and_then(|e| e.held.remove(&prefix)) {
                        self.by_use.remove(&held.order);
                    }
                }
            }
        }
    }

    /// Removes the engines of which `is_running` is false.
    pub fn retain_engines(
        &mut self,
        is_running: impl Fn(&EntryName, &MemberId, &EngineStart) -> bool,
    ) {
        let mut stopped = Vec::new();
        for (name, model) in &self.models {
            for (member, engine) in &model.engines {
                if !is_running(name, member, &engine.start) {
                    stopped.push((name.clone(), member.clone()));
                }
            }
        }
        for (name, member) in stopped {
            self.remove_engine(&name, &member);
        }
    }

    /// Removes `member` with all its engines.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.retain_engines(|_, id, _| id != member);
    }

    /// Prefixes in the table.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    fn store(&mut self, attempt: &PromptAttempt, now: Timestamp) {
        let model = self.models.get_mut(&attempt.model);
        let engine = model.and_then(|m| m.engines.get_mut(&attempt.member));
        let Some(engine) = engine.filter(|e| e.start == attempt.start) else {
            return;
        };
        let position = engine.processed;
        // The longest first, so that it is also the first to be removed: a prefix is of use only
        // together with the shorter ones.
        for part in attempt.prompt.parts.iter().rev() {
            self.next_order += 1;
            let order = self.next_order;
            let held = Held {
                position,
                used: now,
                order,
            };
            if let Some(older) = engine.held.insert(part.prefix, held) {
                self.by_use.remove(&older.order);
            }
            let key = (attempt.model.clone(), attempt.member.clone(), part.prefix);
            self.by_use.insert(order, key);
        }
        while self.by_use.len() > self.capacity {
            let Some((_, (name, member, prefix))) = self.by_use.pop_first() else {
                return;
            };
            let model = self.models.get_mut(&name);
            if let Some(engine) = model.and_then(|m| m.engines.get_mut(&member)) {
                engine.held.remove(&prefix);
            }
        }
    }

    fn remove_engine(&mut self, name: &EntryName, member: &MemberId) {
        self.remove_held(name, member);
        if let Some(model) = self.models.get_mut(name) {
            model.engines.remove(member);
        }
    }

    fn remove_held(&mut self, name: &EntryName, member: &MemberId) {
        let model = self.models.get_mut(name);
        let Some(engine) = model.and_then(|m| m.engines.get_mut(member)) else {
            return;
        };
        for held in std::mem::take(&mut engine.held).values() {
            self.by_use.remove(&held.order);
        }
    }
}

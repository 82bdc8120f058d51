//! Replica selection for a request.
//!
//! Nearby replicas are used first, and more distant ones once the nearby ones are loaded. Among the
//! candidates, a replica that probably has the prompt's prefix in its cache is preferred while its
//! load stays close to the mean. Otherwise the less loaded of two random replicas is chosen.
//!
//! For models whose engines retain prompts, the prefill time that a replica saves is weighed against
//! the additional wait there instead, once both have been measured.

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall_types::{
    Digest, EntryName, Load, Member, MemberId, Region, Sequence, Timestamp, Zone,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::configs::{RoutingConfig, RoutingStrategy};
use crate::rank;

mod hints;
mod prompts;
mod savings;
mod score;

pub use hints::{CacheEvent, Hints};
use prompts::Prompts;
pub use prompts::{EngineStart, PromptAttempt, PromptPrefixes, PromptQuery, Timing};
pub use savings::Saving;
use score::Scores;

/// Length in bytes of the leading part of a prompt that is hashed for cache affinity.
pub const PREFIX_BYTES: usize = 256;

/// Hash of the first [`PREFIX_BYTES`] bytes of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prefix(pub Digest);

impl Prefix {
    /// Hashes the prefix of `prompt`.
    #[must_use]
    pub fn of(prompt: &[u8]) -> Self {
        let head = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Self(Digest::of(head))
    }
}

/// A replica that serves the version to which the request is pinned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Member ID of the agent.
    pub id: MemberId,
    /// Distance from this entry.
    pub distance: Distance,
}

/// Topological distance between a replica and the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

impl Distance {
    /// Returns the distance of `member` from a location.
    #[must_use]
    pub fn of(member: &Member, region: &Region, zone: &Zone) -> Self {
        if member.region != *region {
            return Self::Far;
        }
        if member.zone != *zone {
            return Self::Region;
        }
        Self::Zone
    }
}

/// Input of a replica selection.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Replicas of the pinned version.
    pub replicas: &'a [Replica],
    /// Members that must not be selected: leaving, ejected, suspect or already tried.
    pub excluded: &'a BTreeSet<MemberId>,
    /// Prefix of the prompt, if any.
    pub prefix: Option<Prefix>,
    /// The prompt, if the engines of the model retain prompts.
    pub prompt: Option<PromptQuery<'a>>,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A cache event reported the prefix on this replica, and its load is close to the mean.
    Hint,
    /// It ranks first for the prefix by rendezvous hashing, and its load is close to the mean.
    Affinity,
    /// It probably holds a prefix that saves more time than the additional wait there.
    TimeSaved,
    /// It was the less loaded of two random candidates.
    TwoChoices,
    /// Selected in round-robin order.
    RoundRobin,
    /// Selected at random.
    Random,
    /// It was the only candidate.
    Only,
}

impl Cause {
    /// Name in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Hint => "hint",
            Self::Affinity => "affinity",
            Self::TimeSaved => "time_saved",
            Self::TwoChoices => "two_choices",
            Self::RoundRobin => "round_robin",
            Self::Random => "random",
            Self::Only => "only",
        }
    }
}

/// The selected replica, with the data that explains the selection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Member ID of the replica's agent.
    pub member: MemberId,
    /// Why it was chosen.
    pub cause: Cause,
    /// Distance of the replica.
    pub distance: Distance,
    /// Its load, in requests per slot.
    pub load: f64,
    /// Mean load of the candidates.
    pub mean: f64,
    /// The rejected candidate of a two-choices selection, with its load.
    pub rival: Option<(MemberId, f64)>,
    /// Time saved by a replica that probably holds a prefix of the prompt, with the wait there.
    pub saving: Option<Saving>,
    /// Number of candidates.
    pub considered: usize,
    /// Number of replicas skipped because they were excluded.
    pub excluded: usize,
}

impl Choice {
    /// Prefill time that the chosen replica probably saves.
    #[must_use]
    pub fn saved(&self) -> Duration {
        let saving = self.saving.as_ref().filter(|s| s.member == self.member);
        saving.map_or(Duration::ZERO, |s| Duration::from_millis(s.saved_ms))
    }
}

/// Load and cache information with which one entry selects replicas.
#[derive(Clone, Debug)]
pub struct Router {
    config: RoutingConfig,
    scores: Scores,
    hints: Hints,
    prompts: Prompts,
    next_index: usize,
}

impl Router {
    /// Creates a router without load or cache information.
    #[must_use]
    pub fn new(config: RoutingConfig) -> Self {
        let scores = Scores::new(config.halving.0);
        let hints = Hints::new(config.hints, config.expiry.0);
        let prompts = Prompts::new(config.prompts);
        Self {
            config,
            scores,
            hints,
            prompts,
            next_index: 0,
        }
    }

    /// Selects a replica, or `None` when all are excluded.
    pub fn choose(
        &mut self,
        query: Query<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.hints.expire(now);
        let candidates: Vec<_> = query
            .replicas
            .iter()
            .filter(|r| !query.excluded.contains(&r.id))
            .collect();
        let excluded = query.replicas.len() - candidates.len();
        let (nearest, mean) = self.nearest(candidates, now);
        let first = *nearest.first()?;
        let timing = query.prompt.and_then(|p| self.prompts.timing(p.model));
        let holder = query.prompt.zip(timing);
        let holder = holder.and_then(|(p, timing)| self.best_holder(&nearest, &p, &timing, now));
        let (replica, cause, rival) = if nearest.len() == 1 {
            (first, Cause::Only, None)
        } else if self.config.strategy != RoutingStrategy::TwoChoices {
            self.apply_strategy(&nearest, query.prefix, mean, now, rng)
        } else if let Some(holder) = holder.as_ref().filter(|h| h.is_worth_the_wait()) {
            (holder.replica, Cause::TimeSaved, None)
        } else if let Some(timing) = timing {
            self.without_saving(&nearest, query, &timing, mean, now, rng)
        } else {
            self.apply_strategy(&nearest, query.prefix, mean, now, rng)
        };
        let saving = holder.map(|h| h.saving());
        let rival = rival.map(|r| (r.id.clone(), self.scores.load(&r.id, now)));
        Some(Choice {
            member: replica.id.clone(),
            cause,
            distance: replica.distance,
            load: self.scores.load(&replica.id, now),
            mean,
            rival,
            saving,
            considered: nearest.len(),
            excluded,
        })
    }

    /// Records that a request was sent to `id`.
    pub fn note_start(&mut self, id: &MemberId) {
        self.scores.request_started(id);
    }

    /// Records that a request sent to `id` ended, successfully or not.
    pub fn note_end(&mut self, id: &MemberId) {
        self.scores.request_ended(id);
    }

    /// Records a load report of `id` and the time at which it was measured.
    pub fn note_load(&mut self, id: &MemberId, load: Load, measured: Timestamp) {
        self.scores.report(id, load, measured);
    }

    /// Applies a cache event of `id`. Returns false for a late or duplicate event, which is ignored.
    pub fn note_cache_event(
        &mut self,
        id: &MemberId,
        sequence: Sequence,
        event: CacheEvent,
        now: Timestamp,
    ) -> bool {
        let is_new = self.hints.apply(id, sequence, event, now);
        if is_new {
            self.prompts.apply(id, event);
        }
        is_new
    }

    /// Sets the number of entries that send to the replicas, including this one.
    pub fn set_entries(&mut self, count: usize) {
        self.prompts.set_entries(count);
    }

    /// Records that a prompt is sent to an engine of `id`, before [`Self::note_start`].
    pub fn note_prompt(
        &mut self,
        prompt: &PromptQuery<'_>,
        id: &MemberId,
        start: EngineStart,
        now: Timestamp,
    ) -> PromptAttempt {
        let has_free_slot = self.scores.queued(id, now) <= 0.0;
        self.prompts.start(prompt, id, start, has_free_slot, now)
    }

    /// Records that the first token of the answer arrived.
    pub fn note_prefilled(&mut self, attempt: &mut PromptAttempt, now: Timestamp) {
        self.prompts.prefilled(attempt, now);
    }

    /// Records that the answer is complete.
    pub fn note_prompt_end(&mut self, attempt: &PromptAttempt, now: Timestamp) {
        self.prompts.end(attempt, now);
    }

    /// Forgets the prompts of engines of which `is_running` is false, such as restarted ones.
    pub fn retain_engines(
        &mut self,
        is_running: impl Fn(&EntryName, &MemberId, &EngineStart) -> bool,
    ) {
        self.prompts.retain_engines(is_running);
    }

    /// Measured times of a model whose engines retain prompts, or `None` before they are known.
    #[must_use]
    pub fn timing(&self, model: &EntryName) -> Option<Timing> {
        self.prompts.timing(model)
    }

    /// Number of prompt prefixes that engines probably hold.
    #[must_use]
    pub fn held_prefixes(&self) -> usize {
        self.prompts.len()
    }

    /// Requests of this entry in progress at `id`.
    #[must_use]
    pub fn in_flight(&self, id: &MemberId) -> u32 {
        self.scores.in_flight(id)
    }

    /// Estimated load of `id`, in requests per slot.
    #[must_use]
    pub fn load(&self, id: &MemberId, now: Timestamp) -> f64 {
        self.scores.load(id, now)
    }

    /// Removes all members not in `members`, except for their counts of requests in progress.
    pub fn retain(&mut self, members: &BTreeSet<MemberId>) {
        for id in self.scores.retain(members) {
            self.hints.remove_member(&id);
            self.prompts.remove_member(&id);
        }
    }

    /// Returns the replicas up to the first distance with spare capacity, and their mean load.
    /// Returns all replicas when no distance has spare capacity.
    fn nearest<'a>(&self, mut all: Vec<&'a Replica>, now: Timestamp) -> (Vec<&'a Replica>, f64) {
        all.sort_by_key(|r| r.distance);
        let mut end = 0;
        for group in all.chunk_by(|a, b| a.distance == b.distance) {
            end += group.len();
            if self.mean_load(group, now) * PERCENT < f64::from(self.config.spill) {
                break;
            }
        }
        all.truncate(end);
        let mean = self.mean_load(&all, now);
        (all, mean)
    }

    fn mean_load(&self, replicas: &[&Replica], now: Timestamp) -> f64 {
        let count = u32::try_from(replicas.len()).unwrap_or(u32::MAX).max(1);
        let sum: f64 = replicas.iter().map(|r| self.scores.load(&r.id, now)).sum();
        sum / f64::from(count)
    }

    fn apply_strategy<'a>(
        &mut self,
        nearest: &[&'a Replica],
        prefix: Option<Prefix>,
        mean: f64,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (&'a Replica, Cause, Option<&'a Replica>) {
        match self.config.strategy {
            RoutingStrategy::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                (
                    nearest[self.next_index % nearest.len()],
                    Cause::RoundRobin,
                    None,
                )
            }
            RoutingStrategy::Random => {
                let index = rng.random_range(0..nearest.len());
                (nearest[index], Cause::Random, None)
            }
            RoutingStrategy::TwoChoices => {
                if let Some((replica, cause)) = self.preferred(nearest, prefix, mean, now) {
                    return (replica, cause, None);
                }
                self.two_choices(nearest, now, rng)
            }
        }
    }

    /// Returns a replica that probably caches the prefix and stays within the load bound.
    fn preferred<'a>(
        &self,
        nearest: &[&'a Replica],
        prefix: Option<Prefix>,
        mean: f64,
        now: Timestamp,
    ) -> Option<(&'a Replica, Cause)> {
        let prefix = prefix?;
        let is_within_bound = |id: &MemberId| self.is_within_bound(id, mean, now);
        let hinted = self.hints.members(prefix).iter();
        let hinted = hinted.filter_map(|id| nearest.iter().find(|r| r.id == *id));
        if let Some(replica) = hinted.copied().find(|r| is_within_bound(&r.id)) {
            return Some((replica, Cause::Hint));
        }
        let order = rank::order(&prefix.0.0, nearest.iter().map(|r| &r.id));
        let mut first = order.into_iter().take(self.config.preferred);
        let id = first.find(|id| is_within_bound(id))?;
        let replica = nearest.iter().find(|r| r.id == *id)?;
        Some((replica, Cause::Affinity))
    }

    /// Whether one more request keeps `id` within the load bound: `bound` percent of the mean load,
    /// and at least one request, so that an idle replica is always eligible.
    fn is_within_bound(&self, id: &MemberId, mean: f64, now: Timestamp) -> bool {
        let one_request = self.scores.load_per_request(id);
        let bound = (mean + one_request) * f64::from(self.config.bound) / PERCENT;
        self.scores.load(id, now) + one_request <= bound.max(one_request)
    }

    fn two_choices<'a>(
        &self,
        nearest: &[&'a Replica],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (&'a Replica, Cause, Option<&'a Replica>) {
        let first = rng.random_range(0..nearest.len());
        let second = (first + rng.random_range(1..nearest.len())) % nearest.len();
        let (a, b) = (nearest[first], nearest[second]);
        if self.scores.load(&b.id, now) < self.scores.load(&a.id, now) {
            return (b, Cause::TwoChoices, Some(a));
        }
        (a, Cause::TwoChoices, Some(b))
    }
}

const PERCENT: f64 = 100.0;

/// Returns the replicas to which entry `own` keeps connections: up to `size` per distance, ordered
/// by rendezvous hash so that a change in the fleet replaces few of them. A `size` of 0 means all.
#[must_use]
pub fn subset(own: &MemberId, replicas: &[Replica], size: usize) -> Vec<Replica> {
    if size == 0 {
        return replicas.to_vec();
    }
    let mut selected = Vec::new();
    for distance in [Distance::Zone, Distance::Region, Distance::Far] {
        let mut group: Vec<_> = replicas
            .iter()
            .filter(|r| r.distance == distance)
            .map(|r| (rank::weight(own.as_str().as_bytes(), &r.id), r))
            .collect();
        group.sort_unstable_by(|a, b| (b.0, &b.1.id).cmp(&(a.0, &a.1.id)));
        selected.extend(group.into_iter().take(size).map(|(_, r)| r.clone()));
    }
    selected
}

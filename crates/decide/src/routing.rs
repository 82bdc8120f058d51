//! Choice of a replica for a request.
//!
//! The nearest replicas come first, farther ones once those are loaded. Among them a replica that
//! is likely to cache the prompt's prefix is preferred while its load stays near the mean, else the
//! less loaded of two drawn at random is taken.

use std::collections::BTreeSet;

use apricothall_types::{Digest, Load, Member, MemberId, Region, Timestamp, Zone};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::configs::{RoutingConfig, RoutingStrategy};
use crate::rank;

mod hints;
mod score;

pub use hints::{CacheEvent, Hints};
use score::Scores;

/// Bytes of a prompt that make up its prefix.
pub const PREFIX_BYTES: usize = 256;

/// Hash of the first [`PREFIX_BYTES`] bytes of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prefix(pub Digest);

impl Prefix {
    /// Prefix of `prompt`.
    #[must_use]
    pub fn of(prompt: &[u8]) -> Self {
        let head = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Self(Digest::of(head))
    }
}

/// A replica that serves the version that the request is pinned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Its agent.
    pub id: MemberId,
    /// Where it is.
    pub distance: Distance,
}

/// How far a replica is from the entry.
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
    /// Distance of `member` from a place.
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

/// What a replica is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Replicas of the pinned version.
    pub replicas: &'a [Replica],
    /// Members that must not get it: leaving, ejected, suspect or already tried.
    pub excluded: &'a BTreeSet<MemberId>,
    /// Prefix of the prompt, if any.
    pub prefix: Option<Prefix>,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It is said to cache the prefix, and its load is near the mean.
    Hint,
    /// It ranks first for the prefix, and its load is near the mean.
    Affinity,
    /// It was the less loaded of two.
    TwoChoices,
    /// Its turn.
    RoundRobin,
    /// By chance.
    Random,
    /// There was no other.
    Only,
}

/// The choice with what explains it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The replica's agent.
    pub member: MemberId,
    /// Why it was chosen.
    pub cause: Cause,
    /// Distance of the replica.
    pub distance: Distance,
    /// Its load in requests for each slot.
    pub load: f64,
    /// Mean load of the replicas considered.
    pub mean: f64,
    /// The other one of two choices, with its load.
    pub rival: Option<(MemberId, f64)>,
    /// Replicas considered.
    pub considered: usize,
    /// Replicas left out because they were excluded.
    pub excluded: usize,
}

/// Loads and hints by which one entry chooses.
#[derive(Clone, Debug)]
pub struct Router {
    config: RoutingConfig,
    scores: Scores,
    hints: Hints,
    next_index: usize,
}

impl Router {
    /// A router without knowledge.
    #[must_use]
    pub fn new(config: RoutingConfig) -> Self {
        let scores = Scores::new(config.halving.0);
        let hints = Hints::new(config.hints, config.expiry.0);
        Self {
            config,
            scores,
            hints,
            next_index: 0,
        }
    }

    /// Chooses a replica; none when all are excluded.
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
        let (replica, cause, rival) = if nearest.len() == 1 {
            (first, Cause::Only, None)
        } else {
            self.apply_strategy(&nearest, query.prefix, mean, now, rng)
        };
        let rival = rival.map(|r| (r.id.clone(), self.scores.load(&r.id, now)));
        Some(Choice {
            member: replica.id.clone(),
            cause,
            distance: replica.distance,
            load: self.scores.load(&replica.id, now),
            mean,
            rival,
            considered: nearest.len(),
            excluded,
        })
    }

    /// Notes that a request was sent to `id`.
    pub fn note_start(&mut self, id: &MemberId) {
        self.scores.request_started(id);
    }

    /// Notes that a request sent to `id` ended, in whichever way.
    pub fn note_end(&mut self, id: &MemberId) {
        self.scores.request_ended(id);
    }

    /// Notes a load that `id` reported, with the time at which it was measured.
    pub fn note_load(&mut self, id: &MemberId, load: Load, measured: Timestamp) {
        self.scores.report(id, load, measured);
    }

    /// Hints about caches, to be fed with events.
    pub fn hints(&mut self) -> &mut Hints {
        &mut self.hints
    }

    /// Own requests in progress at `id`.
    #[must_use]
    pub fn in_flight(&self, id: &MemberId) -> u32 {
        self.scores.in_flight(id)
    }

    /// Load of `id` as the router sees it, in requests for each slot.
    #[must_use]
    pub fn load(&self, id: &MemberId, now: Timestamp) -> f64 {
        self.scores.load(id, now)
    }

    /// Forgets members other than `members`, but for counts of requests still in progress.
    pub fn retain(&mut self, members: &BTreeSet<MemberId>) {
        for id in self.scores.retain(members) {
            self.hints.remove_member(&id);
        }
    }

    /// The nearest replicas up to the first distance that has room, with their mean load; all when
    /// no distance has room.
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

    /// A replica that likely caches the prefix and stays within the bound on load.
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

    /// Whether one more request keeps `id` within the bound: `bound` times the mean load, but
    /// always one request for each slot-sized part so that idle replicas are eligible.
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

/// The replicas that entry `own` keeps connections to: up to `size` of each distance, by rank, so
/// that a change of the fleet changes few of them. All for a `size` of 0.
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

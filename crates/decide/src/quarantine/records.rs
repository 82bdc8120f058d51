//! Mergeable set of crash records by key: a fingerprint of requests, or a part of their prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use apricothall_types::{Digest, Incarnation, MemberId, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::configs::QuarantineConfig;

/// Number of crashes that condemns a fingerprint if suspects run alone.
const CONDEMN_LIMIT_ISOLATED: usize = 2;
/// Number of crashes that condemns a fingerprint if suspects share batches.
const CONDEMN_LIMIT_SHARED: usize = 3;
/// Minimum number of crashes of a record that is compared between daemons.
const MIN_REPLICATED_CRASHES: usize = 2;
/// Maximum number of crashes kept per key.
const MAX_CRASHES: usize = 8;
/// Maximum number of crashes kept per key if crashes of one key explain those of others.
const MAX_EXPLAINING_CRASHES: usize = 32;

/// One crash of one server. The agent and all entries derive the same value, so it counts once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The server's agent.
    pub id: MemberId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Start of the server, as announced by the agent in the first frame of an answer.
    pub boot: SmolStr,
}

/// Crash record of one key. Each field only grows, except for crashes beyond the limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Crashes while requests with the key ran, with whether it was cleared of each.
    pub crashes: BTreeMap<Crash, bool>,
    /// Whether crashes were dropped; the key then stays a suspect.
    pub saturated: bool,
    /// Whether a server crashed while it tried the key: while the key ran there alone, or on a server
    /// that was selected for the trial.
    pub alone: bool,
    /// Time after which the record is removed.
    pub until: WallTime,
}

/// How a request with a key is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Runs in any batch.
    Clear,
    /// Runs alone.
    Suspect,
    /// Is refused permanently.
    Condemned,
}

impl Record {
    /// Standing that follows from the record alone if `limit` crashes condemn.
    fn standing(&self, limit: usize) -> Standing {
        let open = self.open().count();
        if self.alone || open >= limit {
            return Standing::Condemned;
        }
        if open > 0 || self.saturated {
            return Standing::Suspect;
        }
        Standing::Clear
    }

    /// Crashes that the key was not cleared of.
    pub fn open(&self) -> impl Iterator<Item = &Crash> {
        let open = self.crashes.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(crash, _)| crash)
    }

    /// Merges the record of another daemon. Returns whether crashes or flags of this one changed.
    fn merge(&mut self, other: &Self, max_crashes: usize) -> bool {
        let before = self.clone();
        for (crash, cleared) in &other.crashes {
            *self.crashes.entry(crash.clone()).or_default() |= cleared;
        }
        self.saturated |= other.saturated;
        self.alone |= other.alone;
        self.until = self.until.max(other.until);
        while self.crashes.len() > max_crashes {
            self.crashes.pop_first();
            self.saturated = true;
        }
        let known = |r: &Self| (r.saturated, r.alone);
        known(self) != known(&before) || self.crashes != before.crashes
    }
}

/// Records by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Records<K = Digest> {
    config: QuarantineConfig,
    limit: usize,
    max_crashes: usize,
    known: BTreeMap<K, Record>,
}

impl<K: Clone + Ord + Display> Records<K> {
    /// Creates an empty set for servers on which suspects run alone: the second crash condemns.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self::with_limits(config, CONDEMN_LIMIT_ISOLATED, MAX_CRASHES)
    }

    /// Creates an empty set for servers on which suspects share batches. An innocent request may
    /// then be present at two crashes, so only the third condemns.
    #[must_use]
    pub fn for_shared_batches(config: QuarantineConfig) -> Self {
        Self::with_limits(config, CONDEMN_LIMIT_SHARED, MAX_CRASHES)
    }

    /// Creates such a set for keys of which one is condemned for the crashes that it explains, and
    /// which therefore keeps more of them.
    #[must_use]
    pub fn with_explanations(config: QuarantineConfig) -> Self {
        Self::with_limits(config, CONDEMN_LIMIT_SHARED, MAX_EXPLAINING_CRASHES)
    }

    fn with_limits(config: QuarantineConfig, limit: usize, max_crashes: usize) -> Self {
        Self {
            config,
            limit,
            max_crashes,
            known: BTreeMap::new(),
        }
    }

    /// Record of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&Record> {
        self.known.get(key)
    }

    /// How a request with this key is treated.
    #[must_use]
    pub fn standing(&self, key: &K) -> Standing {
        let record = self.known.get(key);
        record.map_or(Standing::Clear, |r| r.standing(self.limit))
    }

    /// Whether the server of `id` crashed while this key ran, and it was not cleared since.
    /// Another server must then be used, so that no server crashes twice because of it.
    #[must_use]
    pub fn is_barred(&self, key: &K, id: &MemberId) -> bool {
        let record = self.known.get(key);
        record.is_some_and(|r| r.open().any(|crash| crash.id == *id))
    }

    /// Records that a server crashed while these keys ran on it, and returns the changes to
    /// gossip. An entry that infers the crash passes its own requests only; `alone` is true only if
    /// the server tried them (see [`Record::alone`]).
    pub fn crashed(
        &mut self,
        crash: &Crash,
        running: &BTreeSet<K>,
        alone: bool,
        wall: WallTime,
    ) -> Vec<(K, Record)> {
        let changes = running.iter().map(|key| {
            let record = Record {
                crashes: BTreeMap::from([(crash.clone(), false)]),
                saturated: false,
                alone,
                until: self.until(wall),
            };
            (key.clone(), record)
        });
        let changes: Vec<_> = changes.collect();
        let _ = self.merge(&changes, wall);
        changes
    }

    /// Records that a suspect has completed, and returns the changes to gossip. If suspects run
    /// alone, this may be called only after a run alone.
    pub fn completed(&mut self, key: K, wall: WallTime) -> Vec<(K, Record)> {
        let until = self.until(wall);
        let Some(record) = self.known.get_mut(&key) else {
            return Vec::new();
        };
        // Only the crashes recorded so far are cleared; one that is received later counts.
        record
            .crashes
            .values_mut()
            .for_each(|cleared| *cleared = true);
        record.until = record.until.max(until);
        let record = record.clone();
        vec![(key, record)]
    }

    /// Clears `key` of a crash that did not happen, as the server was seen later with the same
    /// start.
    pub fn clear_crash(&mut self, crash: &Crash, key: &K) {
        let record = self.known.get_mut(key);
        if let Some(cleared) = record.and_then(|r| r.crashes.get_mut(crash)) {
            *cleared = true;
        }
    }

    /// Records that all daemons should hold in the same state: those with more than one crash.
    pub fn replicated(&self) -> impl Iterator<Item = (&K, &Record)> {
        let many = |(_, r): &(&K, &Record)| r.crashes.len() >= MIN_REPLICATED_CRASHES;
        self.known.iter().filter(many)
    }

    /// Digest of [`Records::replicated`], for comparison with other daemons; zero if there are
    /// none.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let mut bytes = Vec::new();
        for (key, record) in self.replicated() {
            bytes.extend_from_slice(key.to_string().as_bytes());
            bytes.push(u8::from(record.alone));
            for (crash, cleared) in &record.crashes {
                bytes.extend_from_slice(crash.id.as_str().as_bytes());
                bytes.extend_from_slice(crash.boot.as_bytes());
                bytes.push(u8::from(*cleared));
            }
        }
        if bytes.is_empty() {
            return 0;
        }
        let digest = Digest::of(&bytes);
        digest.0.first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
    }

    /// Merges records of another daemon. Returns whether any record changed.
    pub fn merge(&mut self, others: &[(K, Record)], wall: WallTime) -> bool {
        let mut changed = false;
        for (key, other) in others {
            if other.until >= wall {
                changed |= self
                    .known
                    .entry(key.clone())
                    .or_default()
                    .merge(other, self.max_crashes);
            }
        }
        self.expire(wall);
        changed
    }

    /// All records, for gossip.
    #[must_use]
    pub fn all(&self) -> Vec<(K, Record)> {
        self.iter().map(|(k, r)| (k.clone(), r.clone())).collect()
    }

    /// All keys with their records.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Record)> {
        self.known.iter()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn expire(&mut self, wall: WallTime) {
        self.known.retain(|_, record| record.until >= wall);
        while self.known.len() > self.config.max_records {
            let rank = |(key, r): (&K, &Record)| (r.standing(self.limit), r.until, key.clone());
            let Some((_, _, least)) = self.known.iter().map(rank).min() else {
                return;
            };
            self.known.remove(&least);
        }
    }

    fn until(&self, wall: WallTime) -> WallTime {
        let millis = u64::try_from(self.config.horizon.0.as_millis()).unwrap_or(u64::MAX);
        WallTime(wall.0.saturating_add(millis))
    }
}

//! The mergeable set of what is known of fingerprints.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_types::{Digest, Incarnation, MemberId, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::configs::QuarantineConfig;

/// Crashes that condemn a fingerprint whose second run had no company.
const CONDEMN_LIMIT_ISOLATED: usize = 2;
/// Crashes that condemn a fingerprint that runs in company each time.
const CONDEMN_LIMIT_SHARED: usize = 3;
/// Crashes from which on records are compared between daemons.
const MIN_REPLICATED_CRASHES: usize = 2;
/// Crashes kept of one fingerprint.
const MAX_CRASHES: usize = 8;

/// One crash of one server. Agent and entries derive the same value, so it counts once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The server's agent.
    pub id: MemberId,
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// Start of the server, as the agent announced it with the first frame of an answer.
    pub boot: SmolStr,
}

/// What is known of one fingerprint. Each field only grows, but for crashes beyond the bound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Crashes during which it ran, and whether it completed alone after them.
    pub crashes: BTreeMap<Crash, bool>,
    /// Whether crashes were dropped: it then stays a suspect.
    pub saturated: bool,
    /// Whether a server crashed on which it ran alone.
    pub alone: bool,
    /// Time after which the record is forgotten.
    pub until: WallTime,
}

/// How a request with a fingerprint is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Runs in any batch.
    Clear,
    /// Runs alone.
    Suspect,
    /// Is refused with a final answer.
    Condemned,
}

impl Record {
    /// The treatment that follows from the record, if `limit` crashes condemn.
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

    /// Crashes that nothing has cleared it of.
    pub fn open(&self) -> impl Iterator<Item = &Crash> {
        let open = self.crashes.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(crash, _)| crash)
    }

    /// Takes in what another daemon knows. True when any of it was news.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for (crash, cleared) in &other.crashes {
            *self.crashes.entry(crash.clone()).or_default() |= cleared;
        }
        self.saturated |= other.saturated;
        self.alone |= other.alone;
        self.until = self.until.max(other.until);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_first();
            self.saturated = true;
        }
        let known = |r: &Self| (r.saturated, r.alone);
        known(self) != known(&before) || self.crashes != before.crashes
    }
}

/// Records by fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Records {
    config: QuarantineConfig,
    limit: usize,
    known: BTreeMap<Digest, Record>,
}

impl Records {
    /// An empty set, where suspects run alone: the second crash condemns.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self::with_limit(config, CONDEMN_LIMIT_ISOLATED)
    }

    /// An empty set, where suspects share servers with others, which may therefore be present at
    /// two crashes without having caused one: the third condemns.
    #[must_use]
    pub fn for_shared_batches(config: QuarantineConfig) -> Self {
        Self::with_limit(config, CONDEMN_LIMIT_SHARED)
    }

    fn with_limit(config: QuarantineConfig, limit: usize) -> Self {
        Self {
            config,
            limit,
            known: BTreeMap::new(),
        }
    }

    /// What is known of a fingerprint.
    #[must_use]
    pub fn get(&self, fingerprint: &Digest) -> Option<&Record> {
        self.known.get(fingerprint)
    }

    /// How a request with this fingerprint is treated.
    #[must_use]
    pub fn standing(&self, fingerprint: &Digest) -> Standing {
        let record = self.known.get(fingerprint);
        record.map_or(Standing::Clear, |r| r.standing(self.limit))
    }

    /// Whether the server of `id` crashed with this fingerprint, which was not cleared since. It
    /// is then tried at another server only, so no server is lost to it twice.
    #[must_use]
    pub fn is_barred(&self, fingerprint: &Digest, id: &MemberId) -> bool {
        let record = self.known.get(fingerprint);
        record.is_some_and(|r| r.open().any(|crash| crash.id == *id))
    }

    /// Records that a server crashed while these ran on it, and returns what to gossip. An entry
    /// that infers the crash passes its own requests; `alone` is true only when the agent had said
    /// that the request runs alone.
    pub fn crashed(
        &mut self,
        crash: &Crash,
        running: &BTreeSet<Digest>,
        alone: bool,
        wall: WallTime,
    ) -> Vec<(Digest, Record)> {
        let changes = running.iter().map(|fingerprint| {
            let record = Record {
                crashes: BTreeMap::from([(crash.clone(), false)]),
                saturated: false,
                alone,
                until: self.until(wall),
            };
            (*fingerprint, record)
        });
        let changes: Vec<_> = changes.collect();
        let _ = self.merge(&changes, wall);
        changes
    }

    /// Records that a suspect has completed, and returns what to gossip. Where suspects run alone,
    /// only a run alone counts.
    pub fn completed(&mut self, fingerprint: Digest, wall: WallTime) -> Vec<(Digest, Record)> {
        let until = self.until(wall);
        let Some(record) = self.known.get_mut(&fingerprint) else {
            return Vec::new();
        };
        // Only the crashes known now are cleared: one that is learnt later counts anew.
        record
            .crashes
            .values_mut()
            .for_each(|cleared| *cleared = true);
        record.until = record.until.max(until);
        vec![(fingerprint, record.clone())]
    }

    /// Clears `fingerprint` of a crash that did not happen: the server was seen later in the same
    /// life.
    pub fn clear_crash(&mut self, crash: &Crash, fingerprint: &Digest) {
        let record = self.known.get_mut(fingerprint);
        if let Some(cleared) = record.and_then(|r| r.crashes.get_mut(crash)) {
            *cleared = true;
        }
    }

    /// Records that all daemons should have alike: those of more than one crash.
    pub fn replicated(&self) -> impl Iterator<Item = (&Digest, &Record)> {
        let many = |(_, r): &(&Digest, &Record)| r.crashes.len() >= MIN_REPLICATED_CRASHES;
        self.known.iter().filter(many)
    }

    /// A digest of [`Records::replicated`], to compare with that of another daemon; zero for none.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let mut bytes = Vec::new();
        for (fingerprint, record) in self.replicated() {
            bytes.extend_from_slice(&fingerprint.0);
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

    /// Takes in records of another daemon. True when any of it was news.
    pub fn merge(&mut self, others: &[(Digest, Record)], wall: WallTime) -> bool {
        let mut changed = false;
        for (fingerprint, other) in others {
            if other.until >= wall {
                changed |= self.known.entry(*fingerprint).or_default().merge(other);
            }
        }
        self.expire(wall);
        changed
    }

    /// All records, for gossip.
    #[must_use]
    pub fn all(&self) -> Vec<(Digest, Record)> {
        self.known.iter().map(|(f, r)| (*f, r.clone())).collect()
    }

    /// Records remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn expire(&mut self, wall: WallTime) {
        self.known.retain(|_, record| record.until >= wall);
        while self.known.len() > self.config.max_records {
            let rank = |(f, r): (&Digest, &Record)| (r.standing(self.limit), r.until, *f);
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

//! Mergeable set of crash records by fingerprint.

use std::collections::{BTreeMap, BTreeSet};

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
/// Maximum number of crashes kept per fingerprint.
const MAX_CRASHES: usize = 8;

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

/// Crash record of one fingerprint. Each field only grows, except for crashes beyond the limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Crashes while the fingerprint ran, with whether it was cleared of each.
    pub crashes: BTreeMap<Crash, bool>,
    /// Whether crashes were dropped; the fingerprint then stays a suspect.
    pub saturated: bool,
    /// Whether a server crashed while the fingerprint ran on it alone.
    pub alone: bool,
    /// Time after which the record is removed.
    pub until: WallTime,
}

/// How a request with a fingerprint is treated.
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
    /// Standing that follows from the record if `limit` crashes condemn.
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

    /// Crashes that the fingerprint was not cleared of.
    pub fn open(&self) -> impl Iterator<Item = &Crash> {
        let open = self.crashes.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(crash, _)| crash)
    }

    /// Merges the record of another daemon. Returns whether crashes or flags of this one changed.
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
    /// Creates an empty set for servers on which suspects run alone: the second crash condemns.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self::with_limit(config, CONDEMN_LIMIT_ISOLATED)
    }

    /// Creates an empty set for servers on which suspects share batches. An innocent request may
    /// then be present at two crashes, so only the third condemns.
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

    /// Record of a fingerprint.
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

    /// Whether the server of `id` crashed while this fingerprint ran, and it was not cleared since.
    /// Another server must then be used, so that no server crashes twice because of it.
    #[must_use]
    pub fn is_barred(&self, fingerprint: &Digest, id: &MemberId) -> bool {
        let record = self.known.get(fingerprint);
        record.is_some_and(|r| r.open().any(|crash| crash.id == *id))
    }

    /// Records that a server crashed while these fingerprints ran on it, and returns the changes to
    /// gossip. An entry that infers the crash passes its own requests only; `alone` is true only if
    /// the agent reported that the request runs alone.
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

    /// Records that a suspect has completed, and returns the changes to gossip. If suspects run
    /// alone, this may be called only after a run alone.
    pub fn completed(&mut self, fingerprint: Digest, wall: WallTime) -> Vec<(Digest, Record)> {
        let until = self.until(wall);
        let Some(record) = self.known.get_mut(&fingerprint) else {
            return Vec::new();
        };
        // Only the crashes recorded so far are cleared; one that is received later counts.
        record
            .crashes
            .values_mut()
            .for_each(|cleared| *cleared = true);
        record.until = record.until.max(until);
        vec![(fingerprint, record.clone())]
    }

    /// Clears `fingerprint` of a crash that did not happen, as the server was seen later with the
    /// same start.
    pub fn clear_crash(&mut self, crash: &Crash, fingerprint: &Digest) {
        let record = self.known.get_mut(fingerprint);
        if let Some(cleared) = record.and_then(|r| r.crashes.get_mut(crash)) {
            *cleared = true;
        }
    }

    /// Records that all daemons should hold in the same state: those with more than one crash.
    pub fn replicated(&self) -> impl Iterator<Item = (&Digest, &Record)> {
        let many = |(_, r): &(&Digest, &Record)| r.crashes.len() >= MIN_REPLICATED_CRASHES;
        self.known.iter().filter(many)
    }

    /// Digest of [`Records::replicated`], for comparison with other daemons; zero if there are
    /// none.
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

    /// Merges records of another daemon. Returns whether any record changed.
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

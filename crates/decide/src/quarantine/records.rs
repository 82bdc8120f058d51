//! The mergeable set of what is known of fingerprints.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_types::{Digest, Incarnation, MemberId, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::configs::QuarantineConfig;

/// Crashes that condemn a fingerprint.
const CRASHES_CONDEMN: usize = 2;
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
    /// The treatment that follows from the record.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let open = self.open().count();
        if self.alone || open >= CRASHES_CONDEMN {
            return Standing::Condemned;
        }
        if open > 0 || self.saturated {
            return Standing::Suspect;
        }
        Standing::Clear
    }

    /// Agents of the servers that crashed with it and where it may not run again.
    pub fn open(&self) -> impl Iterator<Item = &MemberId> {
        let open = self.crashes.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(crash, _)| &crash.id)
    }

    fn merge(&mut self, other: &Self) {
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
    }
}

/// Records by fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Records {
    config: QuarantineConfig,
    records: BTreeMap<Digest, Record>,
}

impl Records {
    /// An empty set.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            records: BTreeMap::new(),
        }
    }

    /// What is known of a fingerprint.
    #[must_use]
    pub fn get(&self, fingerprint: &Digest) -> Option<&Record> {
        self.records.get(fingerprint)
    }

    /// How a request with this fingerprint is treated.
    #[must_use]
    pub fn standing(&self, fingerprint: &Digest) -> Standing {
        let record = self.records.get(fingerprint);
        record.map_or(Standing::Clear, Record::standing)
    }

    /// Whether the server of `id` crashed with this fingerprint, which was not cleared since. It
    /// is then tried at another server only, so no server is lost to it twice.
    #[must_use]
    pub fn is_barred(&self, fingerprint: &Digest, id: &MemberId) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|r| r.open().any(|at| at == id))
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
        self.merge(&changes, wall);
        changes
    }

    /// Records that a suspect completed alone, and returns what to gossip.
    pub fn completed_alone(
        &mut self,
        fingerprint: Digest,
        wall: WallTime,
    ) -> Vec<(Digest, Record)> {
        let until = self.until(wall);
        let Some(record) = self.records.get_mut(&fingerprint) else {
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

    /// Takes in records of another daemon.
    pub fn merge(&mut self, others: &[(Digest, Record)], wall: WallTime) {
        for (fingerprint, other) in others {
            if other.until >= wall {
                self.records.entry(*fingerprint).or_default().merge(other);
            }
        }
        self.expire(wall);
    }

    /// All records, for gossip.
    #[must_use]
    pub fn all(&self) -> Vec<(Digest, Record)> {
        self.records.iter().map(|(f, r)| (*f, r.clone())).collect()
    }

    /// Records remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, wall: WallTime) {
        self.records.retain(|_, record| record.until >= wall);
        while self.records.len() > self.config.max_records {
            let rank = |(f, r): (&Digest, &Record)| (r.standing(), r.until, *f);
            let Some((_, _, least)) = self.records.iter().map(rank).min() else {
                return;
            };
            self.records.remove(&least);
        }
    }

    fn until(&self, wall: WallTime) -> WallTime {
        let millis = u64::try_from(self.config.horizon.0.as_millis()).unwrap_or(u64::MAX);
        WallTime(wall.0.saturating_add(millis))
    }
}

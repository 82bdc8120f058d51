//! The revision in force: the highest valid one, never an older one.
//!
//! A few readers a zone watch the service; all others learn from their peers. The value in force
//! at a process only moves up in the order of [`Stamp`], so it never reverts, whatever a stale
//! service or a woken peer offers. The same code serves every published subject.

mod poll;
mod stamp;

use std::collections::{BTreeSet, VecDeque};

use apricothall_types::{Member, MemberId, Revision, Timestamp, Zone};
use rand::Rng;
use smol_str::SmolStr;

pub use poll::{Poll, is_reader};
pub use stamp::Stamp;

use crate::configs::RevisionConfig;
use poll::Polls;

/// Refused values that are remembered.
const MAX_REFUSED: usize = 16;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's service.
    Service,
    /// Another member.
    Peer(MemberId),
}

/// What became of an offered value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is in force from now on.
    Adopted,
    /// It replaces another value of the same revision, and operators must be told.
    AdoptedWithConflict(Stamp),
    /// It is in force already.
    Same,
    /// A higher one is in force.
    Older,
    /// Another value of the same revision stays in force, and operators must be told.
    RejectedWithConflict(Stamp),
    /// It is invalid; what was in force stays so.
    Refused,
}

/// An invalid value that was refused whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The value.
    pub stamp: Stamp,
    /// Who offered it first.
    pub source: Source,
    /// What is wrong with it.
    pub reason: SmolStr,
}

/// Two values under one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The value that is kept.
    pub kept: Stamp,
    /// The value that is not.
    pub dropped: Stamp,
}

/// Whether a new process may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not yet.
    Starting(Missing),
    /// It may, with this value in force.
    Ready(Stamp),
}

/// What a starting process waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// No valid value was found yet.
    Value,
    /// The service was not asked yet.
    Service,
    /// Too few peers were heard.
    Peers,
    /// A peer told of a higher revision that is not here yet.
    Fetch,
}

#[derive(Clone, Debug)]
struct Fetch {
    peer: MemberId,
    head: (Revision, u64),
    started: Timestamp,
}

/// The revisions of one subject as one process knows them.
#[derive(Clone, Debug)]
pub struct Revisions {
    subject: SmolStr,
    config: RevisionConfig,
    started: Timestamp,
    current: Option<Stamp>,
    refused: VecDeque<Refused>,
    conflict: Option<Conflict>,
    conflicts: u64,
    fetch: Option<Fetch>,
    heard_peers: BTreeSet<MemberId>,
    polls: Polls,
    ready: bool,
}

impl Revisions {
    /// Starts with nothing in force.
    #[must_use]
    pub fn new(subject: SmolStr, config: RevisionConfig, now: Timestamp) -> Self {
        Self {
            subject,
            config,
            started: now,
            current: None,
            refused: VecDeque::new(),
            conflict: None,
            conflicts: 0,
            fetch: None,
            heard_peers: BTreeSet::new(),
            polls: Polls::default(),
            ready: false,
        }
    }

    /// Decides on a value whose bytes have the digest in `stamp`, and were checked with `validity`.
    pub fn offer(
        &mut self,
        source: Source,
        stamp: Stamp,
        validity: Result<(), SmolStr>,
    ) -> Decision {
        if self.fetch.as_ref().is_some_and(|f| f.head <= stamp.head()) {
            self.fetch = None;
        }
        match self.current {
            Some(current) if current == stamp => return Decision::Same,
            Some(current) if current.revision > stamp.revision => return Decision::Older,
            _ => {}
        }
        if let Err(reason) = validity {
            self.record_refusal(source, stamp, reason);
            return Decision::Refused;
        }
        let conflicting = self.current.filter(|c| c.revision == stamp.revision);
        let Some(conflicting) = conflicting else {
            self.current = Some(stamp);
            return Decision::Adopted;
        };
        let kept = conflicting.max(stamp);
        let dropped = conflicting.min(stamp);
        self.record_conflict(Conflict { kept, dropped });
        self.current = Some(kept);
        if kept == stamp {
            return Decision::AdoptedWithConflict(dropped);
        }
        Decision::RejectedWithConflict(kept)
    }

    /// A peer told which value is in force there. Returns the peer when its value is to be fetched.
    pub fn observe_peer_head(
        &mut self,
        peer: &MemberId,
        head: Option<(Revision, u64)>,
        now: Timestamp,
    ) -> Option<MemberId> {
        if !self.ready && self.heard_peers.len() < self.config.peers {
            self.heard_peers.insert(peer.clone());
        }
        let head = head?;
        if !self.wants(head) || self.is_fetching(head, now) {
            return None;
        }
        let peer = peer.clone();
        self.fetch = Some(Fetch {
            peer: peer.clone(),
            head,
            started: now,
        });
        Some(peer)
    }

    /// The value could not be fetched from `peer`; the next peer that tells of it is asked.
    pub fn fetch_failed(&mut self, peer: &MemberId) {
        if self.fetch.as_ref().is_some_and(|f| f.peer == *peer) {
            self.fetch = None;
        }
    }

    /// Whether a value would move the one in force, as far as its head tells.
    #[must_use]
    pub fn wants(&self, head: (Revision, u64)) -> bool {
        let higher = self.current.is_none_or(|c| head > c.head());
        higher && !self.refused.iter().any(|r| r.stamp.head() == head)
    }

    /// Whether this process reads from the service. `view` holds the live members.
    pub fn is_reader<'a>(
        &self,
        own: (&MemberId, &Zone),
        view: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        is_reader(&self.subject, own, view, self.config.readers)
    }

    /// Earliest start of the next read. A new process reads once whether or not it is a reader.
    pub fn next_poll(&self, reader: bool, now: Timestamp, rng: &mut impl Rng) -> Timestamp {
        self.polls.next(&self.config, reader, now, rng)
    }

    /// A read of the service starts.
    pub fn poll_started(&mut self, now: Timestamp) {
        self.polls.started(now);
    }

    /// A read of the service ended.
    pub fn poll_ended(&mut self, poll: Poll) {
        self.polls.ended(poll);
    }

    /// Whether this process may serve; `known` live peers are in its view. Once ready, it stays so.
    pub fn readiness(&mut self, known: usize, now: Timestamp) -> Readiness {
        let Some(current) = self.current else {
            return Readiness::Starting(Missing::Value);
        };
        let within_patience = now.since(self.started) < self.config.patience.0;
        if !self.ready
            && within_patience
            && let Some(missing) = self.missing(known)
        {
            return Readiness::Starting(missing);
        }
        self.ready = true;
        Readiness::Ready(current)
    }

    /// The value in force.
    #[must_use]
    pub fn in_force(&self) -> Option<Stamp> {
        self.current
    }

    /// Subject that the revisions belong to.
    #[must_use]
    pub fn subject(&self) -> &str {
        &self.subject
    }

    /// Values refused last, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &Refused> {
        self.refused.iter()
    }

    /// The last conflict, and how many were met.
    #[must_use]
    pub fn conflicts(&self) -> (u64, Option<Conflict>) {
        (self.conflicts, self.conflict)
    }

    fn missing(&self, known: usize) -> Option<Missing> {
        if !self.polls.asked() {
            return Some(Missing::Service);
        }
        if self.heard_peers.len() < self.config.peers.min(known) {
            return Some(Missing::Peers);
        }
        self.fetch.as_ref().map(|_| Missing::Fetch)
    }

    fn is_fetching(&self, head: (Revision, u64), now: Timestamp) -> bool {
        self.fetch
            .as_ref()
            .is_some_and(|f| f.head >= head && now.since(f.started) < self.config.fetch.0)
    }

    fn record_conflict(&mut self, conflict: Conflict) {
        if self.conflict != Some(conflict) {
            self.conflict = Some(conflict);
            self.conflicts += 1;
        }
    }

    fn record_refusal(&mut self, source: Source, stamp: Stamp, reason: SmolStr) {
        if self.refused.iter().any(|r| r.stamp == stamp) {
            return;
        }
        if self.refused.len() == MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(Refused {
            stamp,
            source,
            reason,
        });
    }
}

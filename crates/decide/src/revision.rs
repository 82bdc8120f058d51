//! Selection of the revision in force: the highest valid one received, never a lower one again.
//!
//! A few readers per zone watch the configuration service; all other processes receive its
//! values from their peers. The value in force only moves up in the order of [`Stamp`], so it never
//! reverts, even if a stale service or a peer that was suspended offers an older one. The same code
//! is used for every published subject.

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

/// Maximum number of refused values that are kept.
const MAX_REFUSED: usize = 16;

/// Origin of an offered value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's configuration service.
    Service,
    /// Another member.
    Peer(MemberId),
}

/// Decision on an offered value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The value is in force from now on.
    Adopted,
    /// The value replaces a different one with the same revision. Operators must be notified.
    AdoptedWithConflict(Stamp),
    /// The value is already in force.
    Same,
    /// A higher revision is in force.
    Older,
    /// A different value with the same revision stays in force. Operators must be notified.
    RejectedWithConflict(Stamp),
    /// The value is invalid; the current one stays in force.
    Refused,
}

/// An invalid value that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The value.
    pub stamp: Stamp,
    /// Origin of the first offer.
    pub source: Source,
    /// Why the value is invalid.
    pub reason: SmolStr,
}

/// Two different values with the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The value that stays in force.
    pub kept: Stamp,
    /// The value that is discarded.
    pub dropped: Stamp,
}

/// Whether a new process is ready to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not ready yet.
    Starting(Missing),
    /// Ready, with this value in force.
    Ready(Stamp),
}

/// Condition that a starting process is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// No valid value is known.
    Value,
    /// No read of the service has finished.
    Service,
    /// Messages from too few peers were received.
    Peers,
    /// A peer announced a higher revision that has not been fetched.
    Fetch,
}

#[derive(Clone, Debug)]
struct Fetch {
    peer: MemberId,
    head: (Revision, u64),
    started: Timestamp,
}

/// State of one subject's revisions in one process.
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
    observed_peers: BTreeSet<MemberId>,
    polls: Polls,
    ready: bool,
}

impl Revisions {
    /// Creates the state with no value in force.
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
            observed_peers: BTreeSet::new(),
            polls: Polls::default(),
            ready: false,
        }
    }

    /// Decides on a value with the identity `stamp`; `validity` is the result of validating it.
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

    /// Handles a peer's announcement of its value in force. Returns the peer if the value should be
    /// fetched from it.
    pub fn observe_peer_head(
        &mut self,
        peer: &MemberId,
        head: Option<(Revision, u64)>,
        now: Timestamp,
    ) -> Option<MemberId> {
        if !self.ready && self.observed_peers.len() < self.config.peers {
            self.observed_peers.insert(peer.clone());
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

    /// Records that the fetch from `peer` failed. The value is then requested from the next peer
    /// that announces it.
    pub fn fetch_failed(&mut self, peer: &MemberId) {
        if self.fetch.as_ref().is_some_and(|f| f.peer == *peer) {
            self.fetch = None;
        }
    }

    /// Whether a value with this head would replace the one in force, unless it was refused before.
    #[must_use]
    pub fn wants(&self, head: (Revision, u64)) -> bool {
        let higher = self.current.is_none_or(|c| head > c.head());
        higher && !self.refused.iter().any(|r| r.stamp.head() == head)
    }

    /// Whether this process reads from the service. `view` contains the live members.
    pub fn is_reader<'a>(
        &self,
        own: (&MemberId, &Zone),
        view: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        is_reader(&self.subject, own, view, self.config.readers)
    }

    /// Earliest start of the next read. A new process reads once even if it is not a reader.
    pub fn next_poll(&self, reader: bool, now: Timestamp, rng: &mut impl Rng) -> Timestamp {
        self.polls.next(&self.config, reader, now, rng)
    }

    /// Records the start of a read of the service.
    pub fn poll_started(&mut self, now: Timestamp) {
        self.polls.started(now);
    }

    /// Records the outcome of a read of the service.
    pub fn poll_ended(&mut self, poll: Poll) {
        self.polls.ended(poll);
    }

    /// Whether this process is ready to serve, with `known` live peers in its view. A process that
    /// was ready once stays ready.
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

    /// Name of the subject.
    #[must_use]
    pub fn subject(&self) -> &str {
        &self.subject
    }

    /// The most recently refused values, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &Refused> {
        self.refused.iter()
    }

    /// Number of conflicts so far, and the last one.
    #[must_use]
    pub fn conflicts(&self) -> (u64, Option<Conflict>) {
        (self.conflicts, self.conflict)
    }

    fn missing(&self, known: usize) -> Option<Missing> {
        if !self.polls.has_finished() {
            return Some(Missing::Service);
        }
        if self.observed_peers.len() < self.config.peers.min(known) {
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

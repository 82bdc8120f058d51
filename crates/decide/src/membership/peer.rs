//! State kept for one other member.

use apricothall_types::{Member, MemberId, MemberState, Timestamp};

use super::buckets;
use super::message::{Opinion, Verdict};

/// Liveness as judged by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// No unresolved probe failure.
    Healthy,
    /// A direct probe failed and indirect probes were requested from helpers.
    ProbeFailed(Timestamp),
    /// Suspected by this daemon or by others.
    Suspect(Timestamp),
    /// Stopped, or did not refute the suspicion in time.
    Gone(Timestamp),
}

/// One other member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub member: Member,
    pub health: Health,
    pub bucket: u16,
    pub sum: u32,
    /// Generation of the view at the last change.
    pub changed: u64,
    /// Whether the last change has to be propagated as a full record.
    pub whole: bool,
}

impl Peer {
    pub fn new(member: Member, now: Timestamp) -> Self {
        let bucket = buckets::index(&member.id);
        let sum = buckets::sum(&member);
        let health = initial_health(&member, now);
        Self {
            member,
            health,
            bucket,
            sum,
            changed: 0,
            whole: true,
        }
    }

    pub fn is_gone(&self) -> bool {
        matches!(self.health, Health::Gone(_))
    }

    pub fn opinion(&self) -> Option<Opinion> {
        match self.health {
            Health::Healthy | Health::ProbeFailed(_) => None,
            Health::Suspect(_) => Some(Opinion::Suspect),
            Health::Gone(_) => Some(Opinion::Gone),
        }
    }

    pub fn verdict(&self) -> Option<Verdict> {
        let opinion = self.opinion()?;
        Some(Verdict {
            id: self.member.id.clone(),
            incarnation: self.member.incarnation,
            sequence: self.member.sequence,
            opinion,
        })
    }
}

fn initial_health(member: &Member, now: Timestamp) -> Health {
    match member.state {
        MemberState::Gone => Health::Gone(now),
        MemberState::Alive | MemberState::Leaving => Health::Healthy,
    }
}

/// A member as seen by this daemon.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The newest known record of the member. Its `revision` may be older than the one in force at
    /// the member.
    pub member: &'a Member,
    /// State that combines the member's record, the leaving mark in the VM list and its liveness.
    pub state: MemberState,
    /// Whether the member is suspected. It counts as alive until the suspicion expires.
    pub suspect: bool,
}

impl MemberView<'_> {
    /// Id of the member.
    #[must_use]
    pub fn id(&self) -> &MemberId {
        &self.member.id
    }
}

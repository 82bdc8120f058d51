//! Which daemons read the platform's store for all others.
//!
//! Calls to the store are dear and bounded, so a few entries of each availability zone read it and
//! the rest learn from them. There is no election: each daemon decides by whom it hears, so for a
//! while there may be more readers than needed, which harms nothing, and with nobody heard each
//! daemon reads. Two of a zone do, so that the silence of one delays nothing.

use std::time::Duration;

use apricothall_types::{MemberId, Role, Timestamp};

/// Another daemon heard lately that serves and that the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthyPeer<'a> {
    /// Its id.
    pub id: &'a MemberId,
    /// Its role.
    pub role: Role,
    /// Whether it is in the zone of the daemon that decides.
    pub same_zone: bool,
}

/// What a daemon does about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads, as the first of its zone.
    Primary,
    /// It reads as well, and confirms what is held only if the first does not.
    Secondary,
    /// It learns from others.
    Follower,
}

impl ReaderRole {
    /// Whether it reads.
    #[must_use]
    pub fn reads(self) -> bool {
        self != Self::Follower
    }
}

/// The turn of the daemon `own`. `others` are the sound ones it hears.
#[must_use]
pub fn reader_role<'a>(
    own: &MemberId,
    role: Role,
    others: impl Iterator<Item = HealthyPeer<'a>>,
) -> ReaderRole {
    let mut before = 0;
    let mut entries = 0;
    for other in others.filter(|o| o.same_zone) {
        before += u32::from(other.role == role && other.id < own);
        entries += u32::from(other.role == Role::Entry);
    }
    // Agents learn from entries as long as there are any in the zone.
    if role == Role::Agent && entries > 0 {
        return ReaderRole::Follower;
    }
    match before {
        0 => ReaderRole::Primary,
        1 => ReaderRole::Secondary,
        _ => ReaderRole::Follower,
    }
}

/// Time without an answer after which the first reader of a zone asks again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the store answers a daemon that reads it. Says nothing of what it does with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreReachability {
    lost: bool,
    answered: Option<Timestamp>,
}

impl StoreReachability {
    /// Notes that a call failed. True when the one before had not.
    pub fn failed(&mut self) -> bool {
        !std::mem::replace(&mut self.lost, true)
    }

    /// Notes an answer. True when the call before had failed.
    pub fn answered(&mut self, now: Timestamp) -> bool {
        self.answered = Some(now);
        std::mem::take(&mut self.lost)
    }

    /// Whether the first reader of a zone asks again, to notice early that it hears nothing: others
    /// learn from it.
    #[must_use]
    pub fn is_due(self, role: ReaderRole, now: Timestamp) -> bool {
        let recent = |at| now.since(at) < CHECK_INTERVAL;
        role == ReaderRole::Primary && !self.lost && !self.answered.is_some_and(recent)
    }

    /// Whether the last call failed.
    #[must_use]
    pub const fn is_lost(self) -> bool {
        self.lost
    }
}

/// Pause of a daemon after the store did not answer it, if nobody is before it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Pause after which a daemon asks a store again that did not answer. `before` are the daemons of
/// its zone that come before it and are not answered either: while the store is away for all, they
/// try in turn, so that the calls hardly grow with the daemons. `draw` is uniform in 0..1.
#[must_use]
pub fn retry_pause(before: u32, draw: f64) -> Duration {
    let pause = RETRY_PAUSE * before.max(1);
    pause.min(MAX_RETRY_PAUSE).mul_f64(1.0 + draw)
}

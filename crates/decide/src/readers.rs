//! Selection of the daemons that read the platform's store on behalf of all others.
//!
//! Calls to the store are expensive and rate-limited, so two entries of each availability zone read
//! it and the other daemons follow them. There is no election: each daemon decides from the peers
//! whose messages it receives. There may temporarily be more readers than needed, which is
//! harmless, and a daemon that receives no messages becomes a reader. Each zone has two readers, so
//! that the failure of one causes no delay.

use std::time::Duration;

use apricothall_types::{MemberId, Role, Timestamp};

/// A peer that sent a message recently, is serving and gets answers from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthyPeer<'a> {
    /// Id of the peer.
    pub id: &'a MemberId,
    /// Role of the peer.
    pub role: Role,
    /// Whether the peer is in the same availability zone as the deciding daemon.
    pub same_zone: bool,
}

/// Role of a daemon in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// First reader of the zone.
    Primary,
    /// Second reader of the zone. Confirms the configuration in force only if the primary does not.
    Secondary,
    /// Does not read, but receives updates from peers.
    Follower,
}

impl ReaderRole {
    /// Whether a daemon with this role reads the store.
    #[must_use]
    pub fn reads(self) -> bool {
        self != Self::Follower
    }
}

/// Determines the reader role of the daemon `own` from the healthy peers in `others`.
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
    // Agents follow the entries of their zone as long as there are any.
    if role == Role::Agent && entries > 0 {
        return ReaderRole::Follower;
    }
    match before {
        0 => ReaderRole::Primary,
        1 => ReaderRole::Secondary,
        _ => ReaderRole::Follower,
    }
}

/// Time without an answer after which the primary reader of a zone calls the store again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the store answers this daemon. It may still answer others; see [`crate::outage`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreReachability {
    lost: bool,
    answered: Option<Timestamp>,
}

impl StoreReachability {
    /// Records a failed call. Returns true if the previous call had not failed.
    pub fn failed(&mut self) -> bool {
        !std::mem::replace(&mut self.lost, true)
    }

    /// Records an answer. Returns true if the previous call had failed.
    pub fn answered(&mut self, now: Timestamp) -> bool {
        self.answered = Some(now);
        std::mem::take(&mut self.lost)
    }

    /// Whether the primary reader of a zone should call the store again. The other daemons of the
    /// zone depend on it, so it has to notice a lost connection early.
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

/// Minimum pause before a daemon retries a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause before a retry, without jitter.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Pause before a daemon retries a failed call to the store.
///
/// `before` is the number of daemons of its zone that rank before it and get no answers either. The
/// pause grows with it, so that during an outage the rate of calls hardly depends on the number of
/// daemons. `draw` is uniform in 0..1 and adds jitter.
#[must_use]
pub fn retry_pause(before: u32, draw: f64) -> Duration {
    let pause = RETRY_PAUSE * before.max(1);
    pause.min(MAX_RETRY_PAUSE).mul_f64(1.0 + draw)
}

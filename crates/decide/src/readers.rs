//! Selection of the daemons that read the platform's store on behalf of all others.
//!
//! Calls to the store are expensive and rate-limited, so two entries of each availability zone read
//! it and the other daemons follow them. There is no election: each daemon decides from the peers
//! whose messages it receives. There may temporarily be more readers than needed, and a daemon that
//! receives no messages becomes a reader. Each zone has two readers, so that the failure of one
//! causes no delay. A large configuration has only one, as each copy fills the link to the store.

use std::time::Duration;

use apricothall_types::{MemberId, Role};

use crate::store_reachability::Subject;

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

    /// Whether a daemon with this role follows an item of `bytes`. Only one daemon of a zone follows
    /// a large item, as each copy fills the link to the store for a while.
    #[must_use]
    pub fn follows_item(self, bytes: usize) -> bool {
        match self {
            Self::Primary => true,
            Self::Secondary => bytes < LARGE_ITEM,
            Self::Follower => false,
        }
    }
}

/// Size from which an item is large, in bytes.
const LARGE_ITEM: usize = 128 << 10;

/// Time for a process without a configuration to hear from peers whether they have one.
const DISCOVERY_TIME: Duration = Duration::from_millis(250);

/// Time for peers to provide a configuration.
const PEER_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Whether a reader leaves the store alone for now, as peers will provide its first configuration.
/// `waited` is the time since it began to wait.
#[must_use]
pub fn awaits_peers(has_one: bool, peers_have_one: bool, waited: Duration) -> bool {
    let limit = if peers_have_one {
        PEER_ANSWER_TIME
    } else {
        DISCOVERY_TIME
    };
    !has_one && waited < limit
}

/// Maximum wait of a watch request.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Maximum wait of a watch request for the servers. It bounds the time for which a watch on a
/// connection that fell silent is waited for; with the time after which it is repeated it stays
/// within the contact time of the platform.
const SERVERS_WATCH_WAIT: Duration = Duration::from_secs(2);

/// Maximum wait of a watch request by which the primary reader confirms the configuration.
const CONFIRMING_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Time for which a watch request may be held back. Each answer of the
/// primary reader also confirms the configuration, and shows the other daemons of its zone, which
/// depend on it, that the store answers.
#[must_use]
pub const fn watch_wait(role: ReaderRole, subject: Subject) -> Duration {
    match (role, subject) {
        (ReaderRole::Primary, Subject::Operators) => CONFIRMING_WATCH_WAIT,
        (_, Subject::Servers) => SERVERS_WATCH_WAIT,
        _ => WATCH_WAIT,
    }
}

/// Age at which the primary reader confirms the configuration, in percent of the limit.
const PRIMARY_CONFIRM_PERCENT: u32 = 20;

/// Age at which the secondary reader does.
const SECONDARY_CONFIRM_PERCENT: u32 = 40;

/// Age at which the first follower does.
const FIRST_FOLLOWER_CONFIRM_PERCENT: u32 = 60;

/// Age at which the second follower does.
const SECOND_FOLLOWER_CONFIRM_PERCENT: u32 = 68;

/// Whether a daemon that does not follow the operators' items should confirm the configuration.
/// `age` is the time since the last confirmation, `limit` the age up to which callers' keys are
/// accepted, and `before` the number of healthy entries of the zone that rank before it. Of the
/// followers only the first ones confirm, so that a late confirmation does not make all of them
/// read the store at once.
#[must_use]
pub fn is_confirmation_due(
    role: ReaderRole,
    before: u32,
    age: Option<Duration>,
    limit: Duration,
) -> bool {
    let percent = match (role, before) {
        (ReaderRole::Primary, _) => PRIMARY_CONFIRM_PERCENT,
        (ReaderRole::Secondary, _) => SECONDARY_CONFIRM_PERCENT,
        (ReaderRole::Follower, 0..=2) => FIRST_FOLLOWER_CONFIRM_PERCENT,
        (ReaderRole::Follower, 3) => SECOND_FOLLOWER_CONFIRM_PERCENT,
        (ReaderRole::Follower, _) => return false,
    };
    age.is_none_or(|age| age >= limit * percent / 100)
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

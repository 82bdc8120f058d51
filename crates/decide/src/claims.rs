//! Claims by which a call that carries only a key finds a single home.
//!
//! Agents of a pool are ordered by the revision of the VM list that first lists them. Before an
//! agent starts a key it obtains a claim on it from every older agent. Of two agents that would
//! start the same key, the younger one asked the older one, which is told by its own record that
//! it may not start the key or that it must not grant the claim.
//!
//! The time of a key tells which departed agents can have run it: that of a version 7 UUID, or, as
//! callers retry other keys for a bounded time only, the earliest time of its first order.

mod agent;
mod view;

use apricothall_types::{IdempotencyKey, MemberId, Outcome, WallTime};
use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

use crate::configs::ClaimsConfig;
use crate::dedupe::{CallKey, Home};
use view::after;

pub use agent::{Claims, OrderDecision, Progress};
pub use view::{PoolView, Position};

/// What is known of the time from which agents can have run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Birth {
    /// Time of creation that the key holds.
    Created(WallTime),
    /// The key holds no time; callers cannot have used it before this. A later order for the same
    /// key may state a later time.
    Bounded(WallTime),
}

impl Birth {
    /// No agent can have started the key before this, but for the skew.
    #[must_use]
    pub const fn time(self) -> WallTime {
        match self {
            Self::Created(time) | Self::Bounded(time) => time,
        }
    }

    /// Last time at which an order or claim of this birth is accepted.
    fn accepted_until(self, config: &ClaimsConfig) -> WallTime {
        match self {
            Self::Created(time) => after(time, config.horizon.0),
            Self::Bounded(time) => after(time, 2 * config.opaque_horizon.0),
        }
    }

    /// Time until which a key first seen with this birth is remembered: no order or claim that
    /// is still accepted then can follow.
    #[must_use]
    pub fn retained_until(self, config: &ClaimsConfig) -> WallTime {
        match self {
            Self::Created(_) => self.accepted_until(config),
            Self::Bounded(time) => after(time, 3 * config.opaque_horizon.0 + 2 * config.skew.0),
        }
    }
}

/// Asks an older agent for a claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: CallKey,
    /// Time from which agents can have run the key.
    pub birth: Birth,
    /// The agent that asks.
    pub by: Home,
}

/// An older agent's word on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Not seen, and from now on claimed by the asking agent.
    Granted,
    /// Seen here: it ran, runs or may run.
    Seen,
    /// Claimed by another agent.
    Claimed,
    /// This agent cannot tell: it started after the key was created, or its memory is full.
    Unsure,
}

/// Answer to an [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The key.
    pub key: CallKey,
    /// The agent that answers.
    pub from: MemberId,
    /// The agent that asked.
    pub to: Home,
    /// What it says.
    pub verdict: Verdict,
}

/// Why a key is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Denial {
    /// The settings refuse keys without a time; no agent ever runs it without a ticket.
    Opaque,
    /// The key's time is over.
    Expired,
    /// The key's time lies ahead.
    Future,
    /// The agent has not read itself in the VM list within its lease.
    NoLease,
    /// An agent that this one does not know of may have run the key.
    Unsettled,
    /// An older agent ran the key, claimed it for another or cannot tell.
    Held(Verdict),
    /// An older agent did not answer in time.
    Silent,
    /// The deadline passed or the lease ended once all claims were granted.
    TooLate,
    /// The memory for keys is full.
    Full,
}

impl Denial {
    /// What the caller may conclude.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            // With all claims granted and never used, no agent can start the key any more.
            Self::Opaque | Self::TooLate => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}

/// Time of creation of a key that is a version 7 UUID.
#[must_use]
pub fn creation_time(key: &IdempotencyKey) -> Option<WallTime> {
    let uuid = Uuid::try_parse(key.as_str()).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallTime(secs * 1_000 + u64::from(nanos) / 1_000_000))
}

//! Claim protocol that selects a single home for a call with an idempotency key and no ticket.
//!
//! Agents of a pool are ordered by the VM list revision that first listed them. Before an agent
//! runs a key, it must obtain a claim on it from every older agent. If two agents try to run the
//! same key, the younger one has to request a claim from the older one. The older agent's record
//! of the key then either prevents it from running the key itself or makes it deny the claim.
//!
//! The creation time of a key determines which departed agents may have run it. A version 7 UUID
//! contains this time. Callers retry any other key for a limited time only, which bounds the time
//! of its first order.

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

/// Earliest time at which an agent can have run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CreationTime {
    /// Creation time encoded in the key.
    Created(WallTime),
    /// Lower bound for a key without an encoded time: callers cannot have used it earlier. A
    /// later order for the same key may give a later bound.
    Bounded(WallTime),
}

impl CreationTime {
    /// Time before which no agent can have started the key, apart from clock skew.
    #[must_use]
    pub const fn time(self) -> WallTime {
        match self {
            Self::Created(time) | Self::Bounded(time) => time,
        }
    }

    /// Last time at which an order or claim request with this creation time is accepted.
    fn accepted_until(self, config: &ClaimsConfig) -> WallTime {
        match self {
            Self::Created(time) => after(time, config.horizon.0),
            Self::Bounded(time) => after(time, 2 * config.opaque_horizon.0),
        }
    }

    /// Time until which a key first received with this creation time is retained. No order or claim
    /// request that arrives later is accepted.
    #[must_use]
    pub fn retained_until(self, config: &ClaimsConfig) -> WallTime {
        match self {
            Self::Created(_) => self.accepted_until(config),
            Self::Bounded(time) => after(time, 3 * config.opaque_horizon.0 + 2 * config.skew.0),
        }
    }
}

/// Request to an older agent for a claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: CallKey,
    /// Earliest time at which an agent can have run the key.
    pub birth: CreationTime,
    /// The requesting agent.
    pub by: Home,
}

/// An older agent's decision on a claim request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The key was unknown and is now claimed by the requesting agent.
    Granted,
    /// The replying agent has the key: it ran, is running or may run there.
    Seen,
    /// Claimed by another agent.
    Claimed,
    /// This agent cannot decide: it started after the key was created, or its key table is full.
    Unsure,
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The key.
    pub key: CallKey,
    /// The replying agent.
    pub from: MemberId,
    /// The agent that sent the request.
    pub to: Home,
    /// The decision.
    pub verdict: Verdict,
}

/// Why a key is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Denial {
    /// The settings reject keys without an encoded time, so no agent runs this key without a
    /// ticket.
    Opaque,
    /// The key has expired.
    Expired,
    /// The key's creation time is in the future.
    Future,
    /// The agent holds no lease: it has not found itself in the VM list recently enough.
    NoLease,
    /// An agent unknown to this one may have run the key.
    Unsettled,
    /// An older agent denied the claim: it has the key, has granted it to another agent or
    /// cannot decide.
    Held(Verdict),
    /// An older agent did not reply in time.
    Silent,
    /// The deadline had passed or the lease had ended when the last claim was granted.
    TooLate,
    /// The key table is full.
    Full,
}

impl Denial {
    /// Outcome that the caller may rely on.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            // Once all claims were granted and left unused, no agent can start the key.
            Self::Opaque | Self::TooLate => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}

/// Creation time of a key that is a version 7 UUID.
#[must_use]
pub fn creation_time(key: &IdempotencyKey) -> Option<WallTime> {
    let uuid = Uuid::try_parse(key.as_str()).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallTime(secs * 1_000 + u64::from(nanos) / 1_000_000))
}

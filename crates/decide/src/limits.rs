//! Limits on callers and entries without shared state.
//!
//! Each entry VM owns an equal part of every limit and lends what it does not use. A loan answers
//! one record of its borrower and ends a term after that record was made, by the borrower's own
//! clock; the lender holds the part back for a term after it lent. The lender's term starts later,
//! so no delay, loss, partition or freeze lets two entries use one part at the same time.

use std::time::Duration;

use apricothall_types::{CallerId, Class, EntryName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::configs::LimitsConfig;

mod bucket;
mod ledger;
mod limiter;
mod rates;
mod record;

pub use bucket::{FairBucket, TokenBucket};
pub use ledger::Ledger;
pub use limiter::{Call, Limiter};
pub use record::{Demand, DemandRecord, Loan};

/// Why a request is refused before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The limit of the catalogue entry is reached.
    EntryLimit,
    /// The limit of the caller is reached.
    CallerLimit,
    /// No place in the queue.
    QueueFull,
    /// The expected wait exceeds the deadline.
    Wait,
    /// The deadline has passed.
    Deadline,
    /// A critical request took the place in the queue.
    Displaced,
    /// The member leaves.
    Leaving,
}

impl Reason {
    /// Label for metrics and messages.
    #[must_use]
    pub fn label(self) -> SmolStr {
        SmolStr::new_static(match self {
            Self::EntryLimit => "entry_limit",
            Self::CallerLimit => "caller_limit",
            Self::QueueFull => "queue_full",
            Self::Wait => "wait",
            Self::Deadline => "deadline",
            Self::Displaced => "displaced",
            Self::Leaving => "leaving",
        })
    }
}

/// A final refusal: the request has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time after which a new try may succeed.
    pub after: Duration,
}

impl Refusal {
    /// A refusal with the time to come back.
    #[must_use]
    pub const fn new(reason: Reason, after: Duration) -> Self {
        Self { reason, after }
    }
}

/// What a limit is on: a catalogue entry, or one caller's requests for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Catalogue entry.
    pub name: EntryName,
    /// One caller of it, or all.
    pub caller: Option<CallerId>,
}

/// A rate of requests, in thousandths of a request a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Quota(pub u64);

/// Thousandths in one request.
const MILLI: u64 = 1_000;

impl Quota {
    /// A rate of `count` requests a second.
    #[must_use]
    pub const fn per_second(count: u32) -> Self {
        Self(count as u64 * MILLI)
    }

    /// Subtracts without going below zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Thousandths of a request that the rate yields in `span`.
    #[must_use]
    pub fn over(self, span: Duration) -> u64 {
        let product = u128::from(self.0) * span.as_nanos() / NANOS;
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

/// Nanoseconds in a second.
const NANOS: u128 = 1_000_000_000;

/// The class that a request is treated as. One that asks for class critical must be short and its
/// catalogue entry critical, so that the class can't be used to get past the limits.
#[must_use]
pub fn class_of(
    config: &LimitsConfig,
    entry: Class,
    asked: Option<Class>,
    tokens: u32,
    body: u32,
) -> Class {
    let class = asked.unwrap_or(entry).min(entry);
    let short = tokens <= config.tokens && body <= config.body;
    if class == Class::Critical && !short {
        return Class::Interactive;
    }
    class
}

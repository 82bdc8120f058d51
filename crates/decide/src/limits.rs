//! Distributed rate limits on callers and catalogue entries without shared state.
//!
//! Each entry VM owns an equal share of every limit and lends what it does not use. A loan answers
//! one demand record of its borrower and expires one term after that record was made, by the
//! borrower's clock. The lender does not use the lent share for one term after it made the loan. As
//! the lender's term starts later, two entries never use the same share at the same time, whatever
//! messages are delayed or lost and whichever entries are partitioned or frozen.

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

use apricothall_types::quota::{MILLI, NANOS};

pub use apricothall_types::Quota;
pub use bucket::{FairBucket, TokenBucket};
pub use ledger::Ledger;
pub use limiter::{Call, Limiter};
pub use record::{Demand, DemandRecord, Loan};

/// Reason for which a request is refused before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The limit of the catalogue entry is reached.
    EntryLimit,
    /// The limit of the caller is reached.
    CallerLimit,
    /// The limit that the server has named is reached.
    ServerLimit,
    /// The queue is full.
    QueueFull,
    /// The estimated queueing time exceeds the deadline.
    Wait,
    /// The deadline has passed.
    Deadline,
    /// A critical request displaced it from the queue.
    Displaced,
    /// The member is leaving.
    Leaving,
}

impl Reason {
    /// Label used in metrics and messages.
    #[must_use]
    pub fn label(self) -> SmolStr {
        SmolStr::new_static(match self {
            Self::EntryLimit => "entry_limit",
            Self::CallerLimit => "caller_limit",
            Self::ServerLimit => "server_limit",
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
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub after: Duration,
}

impl Refusal {
    /// Creates a refusal with `after` as the time until a retry may succeed.
    #[must_use]
    pub const fn new(reason: Reason, after: Duration) -> Self {
        Self { reason, after }
    }
}

/// Scope of a limit: all requests for a catalogue entry, or those of one caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Name of the catalogue entry.
    pub name: EntryName,
    /// One caller, or all callers if `None`.
    pub caller: Option<CallerId>,
}

/// Returns the effective class of a request. Class critical requires a critical catalogue entry and
/// a short request, so that callers cannot use it to bypass the limits.
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

//! What entries tell each other about demand and loans.

use apricothall_types::{Incarnation, MemberId, Sequence};
use serde::{Deserialize, Serialize};

use super::{Quota, Subject};

/// Requests that arrive for one subject at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// What is asked for.
    pub subject: Subject,
    /// Rate of arrival.
    pub rate: Quota,
    /// Rate that the entry lacks.
    pub want: Quota,
}

/// A part of a limit that one entry lets another use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The limit.
    pub subject: Subject,
    /// The borrower.
    pub to: MemberId,
    /// Start of the borrower that asked.
    pub incarnation: Incarnation,
    /// Record of the borrower that is answered. The loan ends a term after it was made.
    pub answers: Sequence,
    /// Rate lent.
    pub rate: Quota,
}

/// What an entry tells the others. The newest one of each member replaces its older ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// The entry that speaks.
    pub member: MemberId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Position of the record.
    pub sequence: Sequence,
    /// Digest of the set of entries that it divides limits by.
    pub view: u64,
    /// Largest demands.
    pub demands: Vec<Demand>,
    /// Parts lent.
    pub loans: Vec<Loan>,
}

impl DemandRecord {
    /// Whether this record replaces `other` of the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

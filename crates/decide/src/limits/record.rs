//! Demand records, in which entries exchange their demands and loans.

use apricothall_types::{Incarnation, MemberId, Sequence};
use serde::{Deserialize, Serialize};

use super::{Quota, Subject};

/// Demand for one subject at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Scope of the limit.
    pub subject: Subject,
    /// Arrival rate.
    pub rate: Quota,
    /// Rate that the entry needs in addition to its share and requests to borrow.
    pub want: Quota,
}

/// A share of a limit that one entry lends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Scope of the limit.
    pub subject: Subject,
    /// Member ID of the borrower.
    pub to: MemberId,
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Sequence number of the borrower's record that this loan answers. The loan expires one term
    /// after that record was made.
    pub answers: Sequence,
    /// Lent rate.
    pub rate: Quota,
}

/// Demands and loans of one entry. A newer record of a member replaces its older ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Member ID of the publishing entry.
    pub member: MemberId,
    /// Incarnation of the publishing entry.
    pub incarnation: Incarnation,
    /// Sequence number of the record.
    pub sequence: Sequence,
    /// Digest of the set of entries among which the publisher divides limits.
    pub view: u64,
    /// The largest demands of the entry.
    pub demands: Vec<Demand>,
    /// Loans to other entries.
    pub loans: Vec<Loan>,
}

impl DemandRecord {
    /// Whether this record is newer than `other` of the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

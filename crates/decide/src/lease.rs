//! How long what was read from the configuration service may be relied on.
//!
//! The time of a confirmation is that of *sending* the read that gave it, on a clock that counts
//! suspended time. A confirmation that a peer passes on is dated by the request that the peer
//! answered, less the age that the peer states, so that a message read late never looks fresh.

use std::time::Duration;

use apricothall_types::{Revision, Timestamp};

/// When the revision that is held was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    confirmed: Option<Timestamp>,
}

impl Lease {
    /// Notes that at `sent`, or later, the newest revision was `seen`, while `held` is in force
    /// here. A revision that is not held yet confirms nothing.
    pub fn confirm(&mut self, seen: Revision, held: Revision, sent: Timestamp) {
        if seen > held {
            return;
        }
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Time since the last confirmation; none if there was none.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether the last confirmation is younger than `limit`.
    #[must_use]
    pub fn holds(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

//! Lease on the configuration: how long the last read of the service may be relied on.
//!
//! A confirmation is dated by the time at which its read was *sent*, on a clock that includes
//! suspended time. A confirmation forwarded by a peer is dated by the request to the peer, minus
//! the age in its response, so that late processing of a message does not extend the lease.

use std::time::Duration;

use apricothall_types::{ConfigurationRevision, Era, Timestamp};

/// When the revision in force was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    confirmed: Option<Timestamp>,
}

impl Lease {
    /// Records that a read sent at `sent` returned `seen` as the newest revision, while `held` is
    /// in force at this process. A revision newer than `held` does not renew the lease, nor does one
    /// of a later era: a store that does not have `held` may also lack a newer one.
    pub fn confirm(
        &mut self,
        seen: ConfigurationRevision,
        held: ConfigurationRevision,
        sent: Timestamp,
    ) {
        if seen <= held {
            self.confirm_era(seen.written.era, held, sent);
        }
    }

    /// Records that a read sent at `sent` in the era `era` returned nothing newer than `held`, which
    /// is in force at this process.
    pub fn confirm_era(&mut self, era: Era, held: ConfigurationRevision, sent: Timestamp) {
        if era > held.written.era {
            return;
        }
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Time since the last confirmation, if there was one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether the last confirmation is more recent than `limit`.
    #[must_use]
    pub fn holds(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

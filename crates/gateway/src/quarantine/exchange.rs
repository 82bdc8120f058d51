//! Exchange of crash records with other daemons.

use apricothall_decide::prompt_parts::PartReport;
use apricothall_decide::quarantine::{Record, SharedRecords, Standing};
use apricothall_types::{Digest, Timestamp};

use super::{Quarantine, log_verdicts};

/// Records by key, as daemons send them to each other.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    /// Records of requests.
    pub requests: Vec<(Digest, Record)>,
    /// Records of parts of prompts.
    pub parts: Vec<PartReport>,
}

/// Whether a daemon with the digest `theirs` has other records than one with the digest `own`.
#[must_use]
pub const fn has_other_records(theirs: u64, own: u64) -> bool {
    theirs != 0 && theirs != own
}

impl Quarantine {
    /// Merges records of another daemon. Returns whether any of them changed the local records.
    pub fn merge(&self, received: &CrashRecords, now: Timestamp) -> bool {
        let wall = self.clock.wall();
        let parts_changed = {
            let mut parts = self.parts();
            let (changed, change) = parts.merge(&received.parts, now, wall);
            log_verdicts(&parts, &change, "records of a peer");
            changed
        };
        if received.requests.is_empty() {
            return parts_changed;
        }
        let mut requests = self.requests();
        let standing =
            |records: &SharedRecords<Digest>, key: &Digest| records.records().standing(key);
        let before: Vec<_> = received
            .requests
            .iter()
            .map(|(key, _)| standing(&requests, key))
            .collect();
        let changed = requests.merge(&received.requests, now, wall);
        for ((fingerprint, _), before) in received.requests.iter().zip(before) {
            let after = standing(&requests, fingerprint);
            if after == Standing::Condemned && before != after {
                tracing::warn!(fingerprint = %fingerprint.short(), "request condemned, as told by a peer");
            }
        }
        changed || parts_changed
    }

    /// Whether there are records to send.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.requests().has_updates(now) || self.parts().has_updates(now)
    }

    /// Moves the next due records to those that are sent. Returns whether there were any.
    pub fn take_due(&self, now: Timestamp) -> bool {
        let requests = self.requests().take_due(now);
        let parts = self.parts().take_due(now);
        requests || parts
    }

    /// Records to include in a message.
    #[must_use]
    pub fn updates(&self, now: Timestamp) -> CrashRecords {
        CrashRecords {
            requests: self.requests().updates(now),
            parts: self.parts().updates(now),
        }
    }

    /// Digest of the records that all daemons should share; zero if there are none.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let requests = self.requests().summary();
        let parts = self.parts().summary();
        requests ^ parts.rotate_left(1)
    }

    /// The records that all daemons should share.
    #[must_use]
    pub fn replicated(&self) -> CrashRecords {
        CrashRecords {
            requests: self.requests().replicated(),
            parts: self.parts().replicated(),
        }
    }
}

//! Settings of [`crate::revision`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::revision`].
///
/// The read rate never exceeds members × subjects / `gap`, regardless of network partitions: 1,920
/// reads per second for 2,400 members and two subjects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RevisionConfig {
    /// Number of readers per subject and zone.
    pub readers: usize,
    /// Maximum time that a watch waits at the service.
    pub wait: Interval,
    /// Minimum time between the starts of two reads of a subject by one process.
    pub gap: Interval,
    /// Maximum time between two reads while the service fails or is stale.
    pub backoff: Interval,
    /// Time between two reads by a process that is not a reader.
    pub fallback: Interval,
    /// Time after which a value that was requested from one peer may be requested from another.
    pub fetch: Interval,
    /// Number of peers that a new process must receive messages from before it is ready, or all
    /// peers if its view has fewer.
    pub peers: usize,
    /// Time after which a new process that has a value is ready even if it could not reach the
    /// service or enough peers.
    pub patience: Interval,
}

impl Default for RevisionConfig {
    fn default() -> Self {
        Self {
            readers: 3,
            wait: Interval::secs(10),
            gap: Interval::millis(2_500),
            backoff: Interval::secs(5),
            fallback: Interval::secs(300),
            fetch: Interval::secs(2),
            peers: 3,
            patience: Interval::secs(10),
        }
    }
}

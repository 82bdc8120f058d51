//! Settings of [`crate::revision`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::revision`].
///
/// Reads a second never exceed members x subjects / `gap`, however the fleet is parted: 1,920 for
/// 2,400 members and two subjects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RevisionConfig {
    /// Readers of each subject in a zone.
    pub readers: usize,
    /// Longest time that a watch waits at the service.
    pub wait: Interval,
    /// Least time between the starts of two reads of a subject by one process.
    pub gap: Interval,
    /// Longest time between two reads while the service fails or is stale.
    pub backoff: Interval,
    /// Time between two reads of a process that is no reader.
    pub fallback: Interval,
    /// Time after which a value asked of one peer may be asked of another.
    pub fetch: Interval,
    /// Peers that a new process hears before it is ready, if it knows so many.
    pub peers: usize,
    /// Time after which a new process that has a value is ready though it could not ask them.
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

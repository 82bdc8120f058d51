//! Settings of [`crate::membership`].

use apricothall_types::{Bytes, Interval};
use serde::{Deserialize, Serialize};

/// Settings of [`crate::membership`]. All members should run with the same ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Time between two calls of `tick`, each of which probes one member and one of the own zone.
    pub period: Interval,
    /// Members asked to probe a target that did not answer.
    pub helpers: usize,
    /// Time that the helpers have before the target becomes suspect.
    pub doubt: Interval,
    /// Time that a suspect has to refute, to which one period is added for each doubling of the
    /// number of members.
    pub suspicion: Interval,
    /// Gap between calls beyond which this process takes itself to have been paused.
    pub pause: Interval,
    /// Time after a pause in which nobody is suspected or declared gone.
    pub hold: Interval,
    /// Bound on the lag of the VM list: a gone member absent from it for longer is forgotten.
    pub lag: Interval,
    /// Periods between two probes of a gone member that the VM list still names.
    pub revisit: u32,
    /// Largest encoded message, extra sections included.
    pub message: Bytes,
    /// Share of a message that extra sections may take.
    pub extras: Bytes,
    /// Largest encoded reply to a member whose view is far behind.
    pub bulk: Bytes,
    /// Members that a view holds at most.
    pub limit: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period: Interval::secs(1),
            helpers: 3,
            doubt: Interval::secs(3),
            suspicion: Interval::secs(5),
            pause: Interval::secs(4),
            hold: Interval::secs(10),
            lag: Interval::secs(300),
            revisit: 5,
            message: Bytes(1000),
            extras: Bytes(256),
            bulk: Bytes::kib(32),
            limit: 8192,
        }
    }
}

//! Settings of [`crate::membership`].

use apricothall_types::{Bytes, Interval};
use serde::{Deserialize, Serialize};

/// Settings of [`crate::membership`]. All members should use the same values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Interval between calls of `tick`, each of which probes one member of the view and one of the
    /// daemon's own zone.
    pub period: Interval,
    /// Number of members that are sent an indirect probe request for a target that did not answer.
    pub helpers: usize,
    /// Time the helpers have before the target becomes suspect.
    pub doubt: Interval,
    /// Time a suspect has to refute, plus one period for each doubling of the number of members.
    pub suspicion: Interval,
    /// Gap between calls after which this process assumes that it was paused.
    pub pause: Interval,
    /// Time after a pause during which no member is suspected or declared gone.
    pub hold: Interval,
    /// Maximum lag of the VM list. A member that has been gone for longer and is not listed is
    /// removed from the view.
    pub lag: Interval,
    /// Periods between two probes of a gone member that is still in the VM list.
    pub revisit: u32,
    /// Maximum size of an encoded message, including extra sections.
    pub message: Bytes,
    /// Maximum size of the extra sections in a message.
    pub extras: Bytes,
    /// Maximum size of an encoded reply to a member whose view is far behind.
    pub bulk: Bytes,
    /// Maximum number of members in a view.
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

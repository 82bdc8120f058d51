//! Settings of [`crate::outlier`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::outlier`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutlierConfig {
    /// Failures in a row that eject a member.
    pub failures: u32,
    /// Latency that ejects a member, in percent of the median of all members.
    pub latency: u32,
    /// Answers of a member before its latency is judged.
    pub samples: u32,
    /// First time of ejection. It doubles with each ejection that follows.
    pub base: Interval,
    /// Longest time of ejection.
    pub longest: Interval,
    /// Most members ejected at once, in percent.
    pub share: u32,
    /// Time after which a probe without a result counts as failed.
    pub probe: Interval,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            failures: 3,
            latency: 400,
            samples: 10,
            base: Interval::secs(2),
            longest: Interval::secs(60),
            share: 34,
            probe: Interval::secs(10),
        }
    }
}

//! Settings of [`crate::outlier`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Settings of [`crate::outlier`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutlierConfig {
    /// Number of consecutive failures that eject a member.
    pub failures: u32,
    /// Latency above which a member is ejected, in percent of the median of all members.
    pub latency: u32,
    /// Number of answers of a member before its latency is evaluated.
    pub samples: u32,
    /// Duration of the first ejection. It doubles with each further ejection.
    pub base: Interval,
    /// Maximum duration of an ejection.
    pub longest: Interval,
    /// Maximum share of members ejected at the same time, in percent.
    pub share: u32,
    /// Time after which a probe without a result is considered failed and another may be sent.
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

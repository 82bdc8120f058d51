//! Points in time and intervals.
//!
//! A [`Timestamp`] comes from a clock that keeps running while the VM is suspended or frozen, so
//! after a late wake-up a process sees that its deadlines have passed.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;

/// Nanoseconds on a monotonic clock of this VM. Not comparable between VMs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The point `millis` milliseconds after the origin of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Time from `earlier` to this point; zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

/// Milliseconds since the Unix epoch on the VM's clock. Comparable within the stated clock skew.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

/// A length of time in settings. Text format: `250ms`, `2s`, `5m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Interval(pub Duration);

impl Interval {
    /// An interval of `count` milliseconds.
    #[must_use]
    pub const fn millis(count: u64) -> Self {
        Self(Duration::from_millis(count))
    }

    /// An interval of `count` seconds.
    #[must_use]
    pub const fn secs(count: u64) -> Self {
        Self(Duration::from_secs(count))
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&humantime::format_duration(self.0), f)
    }
}

impl FromStr for Interval {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(Self)
    }
}

impl Serialize for Interval {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Interval {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = SmolStr::deserialize(deserializer)?;
            return text.parse().map_err(|e| {
                de::Error::custom(format!(
                    "{text:?} is not a length of time such as \"2s\": {e}"
                ))
            });
        }
        Duration::deserialize(deserializer).map(Self)
    }
}

//! Sizes in bytes and rates in bits per second.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;
use thiserror::Error;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const BITS_PER_BYTE: u64 = 8;

const SIZE_UNITS: [(&str, u64); 4] = [("GiB", GIB), ("MiB", MIB), ("KiB", KIB), ("B", 1)];
const RATE_UNITS: [(&str, u64); 4] = [
    ("Gb/s", 1_000_000_000),
    ("Mb/s", 1_000_000),
    ("kb/s", 1_000),
    ("b/s", 1),
];

/// Why a text is not a size or a rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SizeError {
    /// The number is missing, negative or too large.
    #[error("{found:?} has no whole number before its unit")]
    Number {
        /// The text found.
        found: SmolStr,
    },
    /// The unit is missing or unknown.
    #[error("{found:?} has no known unit; use one of {units}")]
    Unit {
        /// The text found.
        found: SmolStr,
        /// The supported units.
        units: &'static str,
    },
}

fn parse_units(text: &str, table: &[(&str, u64)], units: &'static str) -> Result<u64, SizeError> {
    let found = SmolStr::new(text);
    let trimmed = text.trim();
    let Some((unit, factor)) = table.iter().find(|(unit, _)| trimmed.ends_with(unit)) else {
        return Err(SizeError::Unit { found, units });
    };
    let number = trimmed[..trimmed.len() - unit.len()].trim();
    let Ok(count) = number.parse::<u64>() else {
        return Err(SizeError::Number { found });
    };
    count
        .checked_mul(*factor)
        .ok_or(SizeError::Number { found })
}

fn format_units(f: &mut fmt::Formatter<'_>, value: u64, table: &[(&str, u64)]) -> fmt::Result {
    let exact = table
        .iter()
        .find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor));
    let (unit, factor) = exact.unwrap_or(&table[table.len() - 1]);
    write!(f, "{} {unit}", value / factor)
}

/// A number of bytes. Text format: `16 MiB`, `512 KiB`, `100 B`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Bytes {
    /// A size of `count` KiB.
    #[must_use]
    pub const fn kib(count: u64) -> Self {
        Self(count * KIB)
    }

    /// A size of `count` MiB.
    #[must_use]
    pub const fn mib(count: u64) -> Self {
        Self(count * MIB)
    }

    /// Subtracts without going below zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Bytes {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for Bytes {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl Sub for Bytes {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl Sum for Bytes {
    fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
        items.fold(Self(0), Add::add)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_units(f, self.0, &SIZE_UNITS)
    }
}

impl FromStr for Bytes {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        parse_units(text, &SIZE_UNITS, "B, KiB, MiB, GiB").map(Self)
    }
}

/// A transfer rate in bits per second. Text format: `22 Mb/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rate(pub u64);

impl Rate {
    /// A rate of `count` megabits per second.
    #[must_use]
    pub const fn mbps(count: u64) -> Self {
        Self(count * 1_000_000)
    }

    /// The rate in bytes per second, rounded down.
    #[must_use]
    pub const fn bytes_per_second(self) -> u64 {
        self.0 / BITS_PER_BYTE
    }

    /// Time to transfer `size` at this rate; [`Duration::MAX`] at a rate of zero.
    #[must_use]
    pub fn time_for(self, size: Bytes) -> Duration {
        let Some(rate) = std::num::NonZeroU64::new(self.bytes_per_second()) else {
            return Duration::MAX;
        };
        let nanos = u128::from(size.0) * 1_000_000_000 / u128::from(rate.get());
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_units(f, self.0, &RATE_UNITS)
    }
}

impl FromStr for Rate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        parse_units(text, &RATE_UNITS, "b/s, kb/s, Mb/s, Gb/s").map(Self)
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                serializer.serialize_u64(self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = SmolStr::deserialize(deserializer)?;
                    return text.parse().map_err(de::Error::custom);
                }
                u64::deserialize(deserializer).map(Self)
            }
        }
    };
}

serde_as_text!(Bytes);
serde_as_text!(Rate);

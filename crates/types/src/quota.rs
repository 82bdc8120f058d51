//! Request rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// A request rate, in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Quota(pub u64);

/// Thousandths in one request.
pub const MILLI: u64 = 1_000;

impl Quota {
    /// A rate of `count` requests per second.
    #[must_use]
    pub const fn per_second(count: u32) -> Self {
        Self(count as u64 * MILLI)
    }

    /// A rate of `rate` requests per second; `None` if it is negative, infinite or not a number.
    /// Rates above the largest one are cut off.
    #[must_use]
    pub fn from_rate(rate: f64) -> Option<Self> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is not negative, and larger values saturate"
        )]
        Some(Self((rate * 1_000.0).floor() as u64))
    }

    /// Subtracts `other`, with zero as the lower bound.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Amount that accrues at this rate during `span`, in thousandths of a request.
    #[must_use]
    pub fn over(self, span: Duration) -> u64 {
        let product = u128::from(self.0) * span.as_nanos() / NANOS;
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / MILLI, self.0 % MILLI);
        if rest == 0 {
            return write!(f, "{whole}");
        }
        let digits = format!("{rest:03}");
        write!(f, "{whole}.{}", digits.trim_end_matches('0'))
    }
}

/// A text is not a request rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{found:?} is not a number of requests per second")]
pub struct QuotaError {
    /// The text found.
    pub found: SmolStr,
}

impl FromStr for Quota {
    type Err = QuotaError;

    /// Parses a decimal number of requests per second. Rates above the largest one are cut off.
    fn from_str(text: &str) -> Result<Self, QuotaError> {
        let error = || QuotaError { found: text.into() };
        let rate: f64 = text.trim().parse().map_err(|_| error())?;
        Self::from_rate(rate).ok_or_else(error)
    }
}

/// Nanoseconds in a second.
pub const NANOS: u128 = 1_000_000_000;

//! Traffic weights of the services of a route.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use thiserror::Error;

/// Largest weight; larger ones count as this one, so that sums of weights stay finite.
const MAX_WEIGHT: f64 = 1e300;

/// Share of requests relative to the other services of a route. Never negative, finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

// A weight is never NaN.
impl Eq for Weight {}

impl Weight {
    /// No requests.
    pub const ZERO: Self = Self(0.0);

    /// The same share as all others with this weight.
    pub const ONE: Self = Self(1.0);

    /// The weight `share`; `None` if it is negative, infinite or not a number.
    #[must_use]
    pub fn new(share: f64) -> Option<Self> {
        let is_valid = share.is_finite() && share >= 0.0;
        is_valid.then(|| Self(share.min(MAX_WEIGHT)))
    }

    /// The weight as a number.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// Whether no request is sent by this weight.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }
}

impl From<u32> for Weight {
    fn from(share: u32) -> Self {
        Self(f64::from(share))
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A text is not a weight.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WeightError {
    /// It is not a number.
    #[error(transparent)]
    NotNumber(#[from] ParseFloatError),
    /// It is negative, infinite or not a number.
    #[error("not a finite number from 0 on")]
    OutOfRange,
}

impl FromStr for Weight {
    type Err = WeightError;

    fn from_str(text: &str) -> Result<Self, WeightError> {
        Self::new(text.parse()?).ok_or(WeightError::OutOfRange)
    }
}

//! Numbers of tokens.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;
use thiserror::Error;

/// A number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenCount(pub u64);

impl TokenCount {
    /// The number for estimates, which need no more precision than a float has.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "for estimates only")]
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// A text is not a number of tokens.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a number of tokens")]
pub struct TokenCountError(SmolStr);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for TokenCount {
    type Err = TokenCountError;

    /// Reads decimal digits. A number that is too large counts as the largest one.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(TokenCountError(text.into()));
        }
        Ok(Self(text.parse().unwrap_or(u64::MAX)))
    }
}

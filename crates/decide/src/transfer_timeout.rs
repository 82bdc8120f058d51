//! Timeout for receiving data whose size and link are unknown.

use std::time::Duration;

/// First timeout.
const FIRST: Duration = Duration::from_secs(1);

/// Maximum timeout.
const MAX: Duration = Duration::from_secs(8);

/// Timeout that doubles with each attempt that was not complete in time, so that a large answer
/// arrives even over a slow link, and a silent peer is given up early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferTimeout(Duration);

impl Default for TransferTimeout {
    fn default() -> Self {
        Self(FIRST)
    }
}

impl TransferTimeout {
    /// Timeout of the next attempt.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }

    /// Extends the timeout after an attempt that was not complete in time.
    pub fn extend(&mut self) {
        self.0 = (self.0 * 2).min(MAX);
    }
}

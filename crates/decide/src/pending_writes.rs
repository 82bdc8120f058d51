//! Writes of pieces to an engine that have no answer, and may take effect at any time.
//!
//! Closing the connection does not take a write back, nor does the end of the process that sent it,
//! and the platform states no time after which the engine gives it up. Only a start of the engine
//! ends it: staged pieces survive that, received writes do not.

use crate::loaded::PieceHistory;

/// Versions of which pieces may have been written to the engine, in its present life, by calls of
/// which nobody knows whether they have taken effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierWrites {
    /// None: every write since the start of the engine was answered.
    #[default]
    None,
    /// This one and earlier ones, by this process: some write of them has no answer.
    Lost(u64),
    /// This one and earlier ones, by an earlier process, if there was one.
    UpTo(u64),
}

impl EarlierWrites {
    /// What a process assumes that did not see the engine start: another one may have written any
    /// version.
    pub const UNKNOWN: Self = Self::UpTo(u64::MAX);

    /// Leaves out versions after `newest`, which was the newest one to be published.
    #[must_use]
    pub fn limit(self, newest: u64) -> Self {
        match self {
            Self::UpTo(version) => Self::UpTo(version.min(newest)),
            Self::None | Self::Lost(_) => self,
        }
    }

    /// Adds a write of `version` by this process that has no answer.
    #[must_use]
    pub fn with_lost(self, version: u64) -> Self {
        match self {
            Self::None => Self::Lost(version),
            Self::Lost(earlier) => Self::Lost(earlier.max(version)),
            Self::UpTo(earlier) => Self::UpTo(earlier.max(version)),
        }
    }

    /// What is known of the pieces before the first staging.
    #[must_use]
    pub fn history(self) -> PieceHistory {
        let may_exist = self != Self::None;
        PieceHistory {
            pending: PendingWrites {
                same: may_exist,
                other: may_exist,
            },
            ..PieceHistory::default()
        }
    }

    /// Whether some may be of `version`.
    pub(crate) fn may_include(self, version: u64) -> bool {
        match self {
            Self::None => false,
            Self::Lost(newest) | Self::UpTo(newest) => version <= newest,
        }
    }
}

/// Writes without an answer that may yet take effect while a version is staged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWrites {
    /// Whether some may be of that version, and thus correct.
    pub same: bool,
    /// Whether some may be of other versions.
    pub other: bool,
}

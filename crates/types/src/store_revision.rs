//! Positions in the history of the platform's store.
//!
//! A store that is restored from an older copy gives out revisions a second time, so a revision is
//! ordered only within its [`Era`].

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Era, Revision};

/// Revision of the store, ordered by its era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

impl From<Revision> for StoreRevision {
    /// A revision of a store that states no era.
    fn from(revision: Revision) -> Self {
        Self {
            era: Era::default(),
            revision,
        }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// A text is not a [`StoreRevision`] or [`ConfigurationRevision`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreRevisionError {
    /// A part is missing.
    #[error("a part is missing")]
    Separator,
    /// A part is not a number.
    #[error(transparent)]
    Number(#[from] ParseIntError),
}

impl FromStr for StoreRevision {
    type Err = StoreRevisionError;

    fn from_str(text: &str) -> Result<Self, StoreRevisionError> {
        let (era, revision) = text.split_once(':').ok_or(StoreRevisionError::Separator)?;
        Ok(Self {
            era: era.parse()?,
            revision: revision.parse()?,
        })
    }
}

/// Identifies a configuration. Operators raise its version with each change, so a version is newer
/// than a lower one even if the store has lost it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigurationRevision {
    /// Version stated by the configuration.
    pub version: u64,
    /// Revision at which it was written.
    pub written: StoreRevision,
}

impl fmt::Display for ConfigurationRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.version, self.written)
    }
}

impl FromStr for ConfigurationRevision {
    type Err = StoreRevisionError;

    fn from_str(text: &str) -> Result<Self, StoreRevisionError> {
        let (version, written) = text.split_once('@').ok_or(StoreRevisionError::Separator)?;
        Ok(Self {
            version: version.parse()?,
            written: written.parse()?,
        })
    }
}

//! Counters that order events: revisions, incarnations, fences and positions.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// Revision of a value that the platform publishes. Grows with each change.
    Revision(u64)
);
counter!(
    /// Era of the platform's store. Grows with each restoration from an older copy; zero if the
    /// platform states none.
    Era(u64)
);
counter!(
    /// Identifies a start of a daemon. Larger for each later start on the same VM.
    Incarnation(u64)
);
counter!(
    /// Fencing token of an order to a backend server.
    Fence(u64)
);
counter!(
    /// Position of a chunk in its manifest, from 0.
    ChunkIndex(u32)
);
counter!(
    /// Position of a frame in its stream, or of a change in a member's record.
    Sequence(u64)
);

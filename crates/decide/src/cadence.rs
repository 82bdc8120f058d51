//! How often daemons tell each other how they are.
//!
//! Messages go out in rounds of [`ROUND`]. Each pair has its own period, as bytes between regions
//! are dear and the links of backend server VMs narrow. Agents that fetch weights tell others what
//! they hold more often, a random few at a time, so that the load does not grow with their number.

use std::time::Duration;

use apricothall_types::Role;

use crate::placement::Distance;

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(100);

/// Rounds between two messages within a region.
const NEAR: u32 = 4;

/// Rounds between two messages to an entry of another region.
const FAR_ENTRY: u32 = 12;

/// Rounds between two messages to an agent of another region, which needs them least.
const FAR_AGENT: u32 = 48;

/// Messages of a pair that may be lost before its sender counts as gone.
const LOST: u32 = 2;

/// Rounds between two samples of other regions' agents while weights are fetched.
const FAR_SAMPLES: u64 = 2;

/// Rounds between two messages of a daemon with the role `own` to one with the role `to`.
#[must_use]
pub fn period(own: Role, to: Role, distance: Distance) -> u32 {
    match (own, to, distance) {
        // Entries of the zone hear of each change of an engine's load.
        (Role::Agent, Role::Entry, Distance::Zone) => 1,
        (_, _, Distance::Zone | Distance::Region) => NEAR,
        (_, Role::Entry, Distance::Far) => FAR_ENTRY,
        (_, Role::Agent, Distance::Far) => FAR_AGENT,
    }
}

/// Silence after which a daemon with the role `from` counts as gone at one with the role `own`.
#[must_use]
pub fn silence(from: Role, own: Role, distance: Distance) -> Duration {
    let rounds = period(from, own, distance).max(NEAR) * (LOST + 1) + NEAR;
    ROUND * rounds
}

/// Agents that one which fetches weights tells in a round, beside its other messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Of its own region.
    pub near: usize,
    /// Of other regions.
    pub far: usize,
}

/// The sample of a round.
#[must_use]
pub const fn fetch_sample(round: u64) -> Sample {
    Sample {
        near: 8,
        far: if round.is_multiple_of(FAR_SAMPLES) {
            4
        } else {
            0
        },
    }
}

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
const REGION_INTERVAL: u32 = 4;

/// Rounds between two messages to an entry of another region.
const FAR_ENTRY_INTERVAL: u32 = 12;

/// Rounds between two messages to an agent of another region, which needs them least.
const FAR_AGENT_INTERVAL: u32 = 48;

/// Messages to receivers of one kind that a daemon sends in a round on average, at most. With more
/// receivers each gets its message more seldom, so that the bytes do not grow with their number.
const MAX_PER_ROUND: u32 = 10;

/// The same for receivers in other regions, as bytes between regions are dear.
const MAX_FAR_PER_ROUND: u32 = 2;

/// Messages of a pair that may be lost before its sender counts as gone.
const TOLERATED_LOSSES: u32 = 2;

/// Rounds between two samples of other regions' agents while weights are fetched.
const FAR_SAMPLE_INTERVAL: u64 = 2;

/// Daemons that get messages alike: those of one role at one distance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Receivers {
    /// Their role.
    pub role: Role,
    /// How far they are.
    pub distance: Distance,
}

/// Rounds between two messages of a daemon with the role `own` to each of `count` receivers.
#[must_use]
pub fn period(own: Role, to: Receivers, count: u32) -> u32 {
    let base = match (own, to.role, to.distance) {
        // Entries of the zone hear of each change of an engine's load.
        (Role::Agent, Role::Entry, Distance::Zone) => 1,
        (_, _, Distance::Zone | Distance::Region) => REGION_INTERVAL,
        (_, Role::Entry, Distance::Far) => FAR_ENTRY_INTERVAL,
        (_, Role::Agent, Distance::Far) => FAR_AGENT_INTERVAL,
    };
    let most = match to.distance {
        Distance::Zone | Distance::Region => MAX_PER_ROUND,
        Distance::Far => MAX_FAR_PER_ROUND,
    };
    base.max(count.div_ceil(most))
}

/// Whether a receiver is due in `round`. `offset` differs from receiver to receiver, so that their
/// messages spread over the rounds.
#[must_use]
pub fn is_due(round: u64, offset: u64, period: u32) -> bool {
    round
        .wrapping_add(offset)
        .is_multiple_of(u64::from(period.max(1)))
}

/// Silence after which a daemon counts as gone that sends a message `every` so many rounds.
#[must_use]
pub fn silence_timeout(every: u32) -> Duration {
    let rounds = every
        .max(REGION_INTERVAL)
        .saturating_mul(TOLERATED_LOSSES + 1);
    ROUND * rounds.saturating_add(REGION_INTERVAL)
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
        far: if round.is_multiple_of(FAR_SAMPLE_INTERVAL) {
            4
        } else {
            0
        },
    }
}

//! Frequency of the status messages between daemons.
//!
//! Messages are sent in rounds of length [`ROUND`]. The period depends on the roles and distance of
//! sender and receiver, as traffic between regions is expensive and the links of backend server VMs
//! are slow. While an agent fetches weights, it reports its holdings more often, to a small random
//! sample of agents, so that the load does not grow with their number.

use std::time::Duration;

use apricothall_types::Role;

use crate::placement::Distance;

/// Interval between two rounds.
pub const ROUND: Duration = Duration::from_millis(100);

/// Rounds between two messages within a region.
const REGION_INTERVAL: u32 = 4;

/// Rounds between two messages to an entry of another region.
const FAR_ENTRY_INTERVAL: u32 = 12;

/// Rounds between two messages to an agent of another region, where they are needed least.
const FAR_AGENT_INTERVAL: u32 = 48;

/// Maximum average number of messages that a daemon sends per round to one group of receivers. In
/// larger groups each receiver gets messages less often, so that traffic does not grow with their
/// number.
const MAX_PER_ROUND: u32 = 10;

/// Maximum average number of messages per round to a group of receivers in other regions. Lower
/// than [`MAX_PER_ROUND`], as traffic between regions is expensive.
const MAX_FAR_PER_ROUND: u32 = 2;

/// Number of consecutive messages that may be lost before their sender counts as gone.
const TOLERATED_LOSSES: u32 = 2;

/// Maximum silence of an entry that is still named to callers. They must not be sent to an entry 7 s
/// after its end; the rest of this time is for the last messages on their way.
const MAX_NAMED_SILENCE: Duration = Duration::from_secs(6);

/// Rounds between two samples of agents in other regions while weights are fetched.
const FAR_SAMPLE_INTERVAL: u64 = 2;

/// A group of receivers with the same role and distance, which get messages equally often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Receivers {
    /// Role of the receivers.
    pub role: Role,
    /// Distance between the sender and the receivers.
    pub distance: Distance,
}

/// Number of rounds between two messages of a daemon with role `own` to each of `count` receivers.
#[must_use]
pub fn period(own: Role, to: Receivers, count: u32) -> u32 {
    let base = match (own, to.role, to.distance) {
        // Entries need the current load of the engines in their zone.
        (Role::Agent, Role::Entry, Distance::Zone) => 1,
        (_, _, Distance::Zone | Distance::Region) => REGION_INTERVAL,
        (_, Role::Entry, Distance::Far) => FAR_ENTRY_INTERVAL,
        (_, Role::Agent, Distance::Far) => FAR_AGENT_INTERVAL,
    };
    let max_per_round = match to.distance {
        Distance::Zone | Distance::Region => MAX_PER_ROUND,
        Distance::Far => MAX_FAR_PER_ROUND,
    };
    base.max(count.div_ceil(max_per_round))
}

/// Whether a receiver gets a message in `round`. Each receiver has its own `offset`, which spreads
/// the messages evenly over the rounds.
#[must_use]
pub fn is_due(round: u64, offset: u64, period: u32) -> bool {
    round
        .wrapping_add(offset)
        .is_multiple_of(u64::from(period.max(1)))
}

/// Time without messages after which a daemon that sends one every `every` rounds counts as gone.
#[must_use]
pub fn silence_timeout(every: u32) -> Duration {
    let rounds = every
        .max(REGION_INTERVAL)
        .saturating_mul(TOLERATED_LOSSES + 1);
    ROUND * rounds.saturating_add(REGION_INTERVAL)
}

/// Time without messages after which an entry that sends one every `every` rounds is no longer named
/// to callers.
#[must_use]
pub fn naming_timeout(every: u32) -> Duration {
    silence_timeout(every).min(MAX_NAMED_SILENCE)
}

/// Number of agents that an agent fetching weights reports to in a round, in addition to its
/// periodic messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Agents in its own region.
    pub near: usize,
    /// Agents in other regions.
    pub far: usize,
}

/// Returns the sample sizes for `round`.
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

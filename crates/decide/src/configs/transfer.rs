//! Settings of [`crate::transfer`].

use apricothall_types::{Bytes, Interval, Rate};
use serde::{Deserialize, Serialize};

/// Strategy for distributing the chunks of a version to agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferStrategy {
    /// Every agent fetches every chunk from the store or the origin.
    Origin,
    /// A rendezvous hash selects one agent per chunk and region to fetch from outside; peers copy
    /// the chunk from each other.
    #[default]
    Ranked,
    /// The first agent of a region fetches every chunk from outside; each other agent copies from
    /// its predecessor.
    Chain,
}

/// Settings of [`crate::transfer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferConfig {
    /// Distribution strategy.
    pub strategy: TransferStrategy,
    /// Bandwidth of the store's link available to the fetch of one version.
    pub store: Rate,
    /// Bandwidth of a VM's link.
    pub link: Rate,
    /// Percentage of a VM's link used for chunks from outside the region. The rest is left for
    /// transfers between peers.
    pub gateway_share: u8,
    /// Bandwidth of a link between two regions.
    pub cross: Rate,
    /// Percentage of an inter-region link used for chunks if the weighting favours bytes.
    pub share: u8,
    /// Percentage of an inter-region link used for chunks if the weighting favours time.
    pub hasty_share: u8,
    /// Take-over delay per rank if the weighting favours bytes.
    pub takeover: Interval,
    /// Take-over delay per rank if the weighting favours time.
    pub hasty_takeover: Interval,
    /// Maximum number of concurrent fetches from peers of the region, and of those from outside.
    pub flights: usize,
    /// Maximum number of concurrent fetches from one peer of the region.
    pub depth: usize,
    /// Interval between two rounds of bitmap requests.
    pub ask_every: Interval,
    /// Maximum number of random peers, and of chunk owners, sent a bitmap request per round.
    pub fanout: usize,
    /// Minimum age of a fetch before it is hedged.
    pub hedge_after: Interval,
    /// Byte budget of hedged fetches, as a percentage of the version's size.
    pub hedge_budget: u8,
    /// Minimum timeout of a fetch.
    pub timeout: Interval,
    /// Back-off after a source stalled or failed, or after the store or origin sent a corrupt
    /// chunk.
    pub down: Interval,
    /// Back-off after a peer sent a corrupt chunk, and upper bound on the back-off of the store and
    /// the origin.
    pub ban: Interval,
    /// Maximum number of concurrent uploads.
    pub slots: usize,
    /// Upload slots reserved for agents of other regions.
    pub far_slots: usize,
    /// Maximum number of concurrent uploads to one peer.
    pub peer_slots: usize,
    /// Memory limit for the chunks of cached versions. Pinned versions count towards it.
    pub memory: Bytes,
    /// Retention time of a cached version after its last use.
    pub keep: Interval,
}

impl Default for TransferConfig {
    fn default() -> Self {
        Self {
            strategy: TransferStrategy::Ranked,
            store: Rate::mbps(200),
            link: Rate::mbps(100),
            gateway_share: 50,
            cross: Rate::mbps(22),
            share: 75,
            hasty_share: 85,
            takeover: Interval::secs(2),
            hasty_takeover: Interval::secs(1),
            flights: 6,
            depth: 2,
            ask_every: Interval::millis(200),
            fanout: 4,
            hedge_after: Interval::secs(2),
            hedge_budget: 5,
            timeout: Interval::secs(5),
            down: Interval::secs(10),
            ban: Interval::secs(60),
            slots: 6,
            far_slots: 1,
            peer_slots: 2,
            memory: Bytes::mib(4096),
            keep: Interval::secs(600),
        }
    }
}

//! Settings of [`crate::transfer`].

use apricothall_types::{Bytes, Interval, Rate};
use serde::{Deserialize, Serialize};

/// How the chunks of a version reach the agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferStrategy {
    /// Every agent draws every chunk from the store or origin.
    Origin,
    /// A gateway by rendezvous hash for each chunk and region; peers spread it.
    #[default]
    Ranked,
    /// The first agent of a region draws every chunk; each other one copies its predecessor.
    Chain,
}

/// Settings of [`crate::transfer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferConfig {
    /// How chunks reach the agents.
    pub strategy: TransferStrategy,
    /// Rate of the store's link that one burst may use.
    pub store: Rate,
    /// Rate of a VM's link.
    pub link: Rate,
    /// Percentage of a VM's link for chunks from the store, so that peers' chunks fit beside.
    pub gateway_share: u8,
    /// Rate of a link between two regions.
    pub cross: Rate,
    /// Percentage of a link between regions for chunks when bytes weigh more.
    pub share: u8,
    /// Percentage of a link between regions for chunks when time weighs more.
    pub hasty_share: u8,
    /// Take-over delay for each rank when bytes weigh more.
    pub takeover: Interval,
    /// Take-over delay for each rank when time weighs more.
    pub hasty_takeover: Interval,
    /// Chunks in flight to this agent.
    pub flights: usize,
    /// Chunks in flight from one peer.
    pub depth: usize,
    /// Time between two rounds of asking peers for their bitmaps.
    pub ask_every: Interval,
    /// Peers asked in one round.
    pub fanout: usize,
    /// Shortest time before a second fetch of a chunk in flight.
    pub hedge_after: Interval,
    /// Percentage of the version's size that second fetches may draw.
    pub hedge_budget: u8,
    /// Shortest timeout of a fetch.
    pub timeout: Interval,
    /// Time for which a source that stalled, and a store that sent a corrupt chunk, is not used.
    pub down: Interval,
    /// Time for which a peer that sent a corrupt chunk is not used.
    pub ban: Interval,
    /// Chunks that an agent uploads at once.
    pub slots: usize,
    /// Upload slots that only gateways of other regions may take.
    pub far_slots: usize,
    /// Chunks that an agent uploads to one peer at once.
    pub peer_slots: usize,
    /// Memory for chunks of versions that no engine is loading.
    pub memory: Bytes,
    /// Time for which a version is kept after its last use.
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

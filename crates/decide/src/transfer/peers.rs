//! State of the peers that need or hold a version, and ranking of chunk owners.

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp, Zone};

use super::chunks::ChunkSet;
use crate::rank;

/// A live agent that needs or holds the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the agent.
    pub id: MemberId,
    /// Region of the agent's VM.
    pub region: Region,
    /// Availability zone of the agent's VM.
    pub zone: Zone,
}

/// A peer with its reported chunks and its health.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub peer: Peer,
    pub held: ChunkSet,
    /// Fetches in flight from this peer.
    pub in_flight: usize,
    /// Earliest time of the next fetch from this peer.
    pub retry_at: Timestamp,
    /// Last time that the peer reported a new chunk out of those that it owns.
    pub last_progress: Timestamp,
    /// Number of chunks that the peer owns, that is, fetches from outside the region.
    pub owned: u32,
    /// Failed or refused fetches since the last successful one.
    pub failures: u64,
    /// Moving average of the fetch time in nanoseconds, or zero before the first fetch.
    pub fetch_nanos: u64,
}

impl PeerState {
    pub fn new(peer: Peer, now: Timestamp) -> Self {
        Self {
            peer,
            held: ChunkSet::default(),
            in_flight: 0,
            retry_at: Timestamp::default(),
            last_progress: now,
            owned: 0,
            failures: 0,
            fetch_nanos: 0,
        }
    }
}

/// Owner of one chunk, and the rank of this agent for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Gateway {
    /// Highest-ranked member of the region, which fetches the chunk from outside.
    pub owner: MemberId,
    /// Number of members ranked above this agent.
    pub rank: u32,
}

/// Returns the owner of a subject among `me` and `members`, and the rank of `me`.
pub(super) fn gateway<'a>(
    subject: &[u8],
    me: &MemberId,
    members: impl Iterator<Item = &'a MemberId>,
) -> Gateway {
    let own = (rank::weight(subject, me), me);
    let mut best = own;
    let mut before = 0;
    for id in members {
        let other = (rank::weight(subject, id), id);
        before += u32::from(other > own);
        best = best.max(other);
    }
    Gateway {
        owner: best.1.clone(),
        rank: before,
    }
}

/// Returns the rendezvous hash key of one chunk of a version.
pub(super) fn subject(manifest: &[u8], chunk: ChunkIndex) -> Vec<u8> {
    [manifest, &chunk.0.to_le_bytes()].concat()
}

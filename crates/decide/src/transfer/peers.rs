//! What is known of the peers that want or hold a version.

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp, Zone};

use super::chunks::ChunkSet;
use crate::rank;

/// A live agent that wants or holds the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the agent.
    pub id: MemberId,
    /// Region of its VM.
    pub region: Region,
    /// Availability zone of its VM.
    pub zone: Zone,
}

/// A peer with its chunks and health.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub peer: Peer,
    pub held: ChunkSet,
    /// Fetches in flight from it.
    pub in_flight: usize,
    /// Not used before this time.
    pub retry_at: Timestamp,
    /// Last time that it was asked for its bitmap.
    pub last_asked: Timestamp,
    /// Last time that one of the chunks it draws from outside was seen to arrive.
    pub last_progress: Timestamp,
    /// Chunks that it draws from outside.
    pub owned: u32,
    /// Failed or refused fetches since the last chunk.
    pub failures: u64,
    /// Smoothed time of a fetch, in nanoseconds.
    pub fetch_nanos: u64,
}

impl PeerState {
    pub fn new(peer: Peer, now: Timestamp) -> Self {
        Self {
            peer,
            held: ChunkSet::default(),
            in_flight: 0,
            retry_at: Timestamp::default(),
            last_asked: Timestamp::default(),
            last_progress: now,
            owned: 0,
            failures: 0,
            fetch_nanos: 0,
        }
    }
}

/// Who draws one chunk from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Gateway {
    /// First of the region's order.
    pub owner: MemberId,
    /// Number of members before this agent.
    pub rank: u32,
}

/// First member and the rank of `me` among `members` for a subject.
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

/// Subject of the order for one chunk of a version.
pub(super) fn subject(manifest: &[u8], chunk: ChunkIndex) -> Vec<u8> {
    [manifest, &chunk.0.to_le_bytes()].concat()
}

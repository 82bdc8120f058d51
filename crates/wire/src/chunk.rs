//! Transfer of weight chunks between agents.

use std::time::Duration;

use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, Digest, MemberId};
use serde::{Deserialize, Serialize};

use crate::Payload;

/// Requested part of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkQuery {
    /// The manifest as published.
    Manifest,
    /// Which chunks the agent holds.
    Held,
    /// One chunk.
    Chunk(ChunkIndex),
}

/// Request for a part of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Requesting agent.
    pub from: MemberId,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Requested part.
    pub want: ChunkQuery,
}

/// The reply to a [`ChunkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkFrame {
    /// The bytes, unverified.
    Chunk(Payload),
    /// Chunks that the agent holds.
    Held(ChunkSet),
    /// The agent does not hold the requested part.
    Absent,
    /// All upload slots are in use.
    Busy {
        /// Delay before the next request.
        retry: Duration,
    },
}

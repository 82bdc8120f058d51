//! Chunks of weights between agents.

use std::time::Duration;

use apricothall_types::{ChunkIndex, Digest, MemberId};
use serde::{Deserialize, Serialize};

use crate::Payload;

/// Asks for one chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Agent that asks.
    pub from: MemberId,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// The chunk; absent to ask for the manifest itself.
    pub index: Option<ChunkIndex>,
}

/// The reply to a [`ChunkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkFrame {
    /// The bytes, unverified.
    Chunk(Payload),
    /// The agent does not hold it.
    Absent,
    /// All upload slots are taken.
    Busy {
        /// When to ask again.
        retry: Duration,
    },
}

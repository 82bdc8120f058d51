//! The list of chunks that make up one version of a model's weights.

use serde::{Deserialize, Serialize};

use crate::{Bytes, ChunkIndex, Digest};

/// Chunks of one version, as published by the origin.
///
/// The catalogue names the digest of the manifest's bytes as published, and the manifest names
/// the digest of each chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Size of all chunks together.
    pub size: Bytes,
    /// Size of each chunk but the last, which may be smaller.
    pub chunk: Bytes,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Builds the manifest of `weights`, split into chunks of `chunk` bytes.
    #[must_use]
    pub fn of(weights: &[u8], chunk: Bytes) -> Self {
        let step = usize::try_from(chunk.0.max(1)).unwrap_or(usize::MAX);
        let chunks = weights.chunks(step).map(Digest::of).collect();
        Self {
            size: Bytes(weights.len() as u64),
            chunk,
            chunks,
        }
    }

    /// Whether size, chunk size and number of chunks agree.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        self.chunk.0 > 0 && self.chunks.len() as u64 == self.size.0.div_ceil(self.chunk.0)
    }

    /// Number of chunks.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Digest of the chunk at `index`, if there is one.
    #[must_use]
    pub fn digest(&self, index: ChunkIndex) -> Option<Digest> {
        self.chunks.get(index.0 as usize).copied()
    }

    /// Size of the chunk at `index`; zero past the end.
    #[must_use]
    pub fn chunk_size(&self, index: ChunkIndex) -> Bytes {
        let start = u64::from(index.0).saturating_mul(self.chunk.0);
        Bytes(self.size.0.saturating_sub(start).min(self.chunk.0))
    }
}

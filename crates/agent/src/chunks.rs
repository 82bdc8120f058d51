//! Verified chunks in memory. VMs have no disks.

use std::collections::HashMap;
use std::sync::{PoisonError, RwLock};

use apricothall_types::{Bytes as Size, ChunkIndex, Digest, Manifest};
use bytes::Bytes;
use thiserror::Error;

/// Why a chunk is not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChunkError {
    /// The version's manifest is not known.
    #[error("manifest is not known")]
    UnknownManifest,
    /// The bytes do not have the digest that the manifest names.
    #[error("chunk {0} has another digest")]
    Corrupt(ChunkIndex),
}

/// Chunks of one version.
struct Version {
    published: Bytes,
    manifest: Manifest,
    chunks: Vec<Option<Bytes>>,
}

/// Chunks of all versions held, by the digest of their manifest.
#[derive(Default)]
pub struct ChunkStore {
    versions: RwLock<HashMap<Digest, Version>>,
}

impl ChunkStore {
    /// Starts to hold a version whose published manifest has `digest`.
    pub fn open(&self, digest: Digest, published: Bytes, manifest: Manifest) {
        let mut versions = self
            .versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let chunks = vec![None; manifest.chunks.len()];
        versions.entry(digest).or_insert(Version {
            published,
            manifest,
            chunks,
        });
    }

    /// Keeps a chunk if its digest is the one in the manifest.
    ///
    /// # Errors
    /// When the manifest is unknown or the digest differs.
    pub fn put(&self, digest: Digest, index: ChunkIndex, data: Bytes) -> Result<(), ChunkError> {
        let expected = self.manifest(digest).and_then(|m| m.digest(index));
        let expected = expected.ok_or(ChunkError::UnknownManifest)?;
        if Digest::of(&data) != expected {
            return Err(ChunkError::Corrupt(index));
        }
        let mut versions = self
            .versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let version = versions
            .get_mut(&digest)
            .ok_or(ChunkError::UnknownManifest)?;
        version.chunks[index.0 as usize] = Some(data);
        Ok(())
    }

    /// A verified chunk.
    #[must_use]
    pub fn chunk(&self, digest: Digest, index: ChunkIndex) -> Option<Bytes> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        versions.get(&digest)?.chunks.get(index.0 as usize)?.clone()
    }

    /// The manifest of a version.
    #[must_use]
    pub fn manifest(&self, digest: Digest) -> Option<Manifest> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        versions.get(&digest).map(|v| v.manifest.clone())
    }

    /// The manifest of a version as published.
    #[must_use]
    pub fn published(&self, digest: Digest) -> Option<Bytes> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        versions.get(&digest).map(|v| v.published.clone())
    }

    /// Chunks of a version that are not held.
    #[must_use]
    pub fn missing(&self, digest: Digest) -> Option<Vec<ChunkIndex>> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        let chunks = &versions.get(&digest)?.chunks;
        let absent = (0_u32..).zip(chunks).filter(|(_, chunk)| chunk.is_none());
        Some(absent.map(|(index, _)| ChunkIndex(index)).collect())
    }

    /// Whether all chunks of a version are held.
    #[must_use]
    pub fn is_complete(&self, digest: Digest) -> bool {
        self.missing(digest)
            .is_some_and(|missing| missing.is_empty())
    }

    /// Gives up a version.
    pub fn remove(&self, digest: Digest) {
        self.versions
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&digest);
    }

    /// Memory taken by chunks.
    #[must_use]
    pub fn size(&self) -> Size {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        let chunks = versions.values().flat_map(|v| v.chunks.iter().flatten());
        chunks.map(|chunk| Size(chunk.len() as u64)).sum()
    }
}

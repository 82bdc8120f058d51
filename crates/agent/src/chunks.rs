//! In-memory store of verified chunks; VMs have no disks.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use apricothall_decide::transfer::{CachedVersion, ChunkSet, Verified};
use apricothall_types::{Bytes as Size, ChunkIndex, Digest, Manifest, Timestamp};
use bytes::Bytes;
use thiserror::Error;

/// Why a chunk is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChunkError {
    /// The version's manifest is not in the store.
    #[error("manifest is not known")]
    UnknownManifest,
    /// The digest of the bytes differs from the one in the manifest.
    #[error("chunk {0} has another digest")]
    Corrupt(ChunkIndex),
}

/// Manifest and chunks of one version.
struct Version {
    published: Bytes,
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Bytes>>,
    held: ChunkSet,
    last_used: Timestamp,
}

impl Version {
    fn size(&self) -> Size {
        let held = self.chunks.iter().flatten();
        held.map(|chunk| Size(chunk.len() as u64)).sum()
    }
}

type Versions = HashMap<Digest, Version>;

/// Chunks of all versions in memory, by the digest of their manifest.
#[derive(Default)]
pub struct ChunkStore {
    versions: RwLock<Versions>,
}

impl ChunkStore {
    /// Adds a version without chunks; `digest` is that of its published manifest.
    pub fn open(&self, digest: Digest, published: Bytes, manifest: Manifest, now: Timestamp) {
        let chunks = vec![None; manifest.chunks.len()];
        self.write().entry(digest).or_insert(Version {
            published,
            manifest: Arc::new(manifest),
            chunks,
            held: ChunkSet::default(),
            last_used: now,
        });
    }

    /// Stores a chunk if its digest matches the manifest, and returns the proof.
    ///
    /// # Errors
    /// When the manifest is unknown or the digest differs.
    pub fn put(
        &self,
        digest: Digest,
        index: ChunkIndex,
        data: Bytes,
    ) -> Result<Verified, ChunkError> {
        let manifest = self.manifest(digest).ok_or(ChunkError::UnknownManifest)?;
        let proof = Verified::check(digest, &manifest, index, &data);
        let proof = proof.ok_or(ChunkError::Corrupt(index))?;
        let mut versions = self.write();
        let version = versions.get_mut(&digest);
        let version = version.ok_or(ChunkError::UnknownManifest)?;
        version.chunks[index.0 as usize] = Some(data);
        version.held.insert(index);
        Ok(proof)
    }

    /// Returns a verified chunk and updates the time of last use of the version.
    #[must_use]
    pub fn chunk(&self, digest: Digest, index: ChunkIndex, now: Timestamp) -> Option<Bytes> {
        let mut versions = self.write();
        let version = versions.get_mut(&digest)?;
        version.last_used = now;
        version.chunks.get(index.0 as usize)?.clone()
    }

    /// Verifies the stored chunks again and returns their proofs.
    #[must_use]
    pub fn proofs(&self, digest: Digest) -> Vec<Verified> {
        let versions = self.read();
        let Some(version) = versions.get(&digest) else {
            return Vec::new();
        };
        let held = (0_u32..).zip(&version.chunks);
        let held = held.filter_map(|(index, chunk)| Some((ChunkIndex(index), chunk.as_ref()?)));
        held.filter_map(|(index, chunk)| Verified::check(digest, &version.manifest, index, chunk))
            .collect()
    }

    /// Returns the manifest of a version.
    #[must_use]
    pub fn manifest(&self, digest: Digest) -> Option<Arc<Manifest>> {
        self.read().get(&digest).map(|v| v.manifest.clone())
    }

    /// Returns the manifest of a version in its published bytes.
    #[must_use]
    pub fn published(&self, digest: Digest) -> Option<Bytes> {
        self.read().get(&digest).map(|v| v.published.clone())
    }

    /// Returns which chunks of a version are stored.
    #[must_use]
    pub fn held(&self, digest: Digest) -> ChunkSet {
        let versions = self.read();
        let version = versions.get(&digest);
        version.map(|v| v.held.clone()).unwrap_or_default()
    }

    /// Returns whether all chunks of a version are stored.
    #[must_use]
    pub fn is_complete(&self, digest: Digest) -> bool {
        let versions = self.read();
        let version = versions.get(&digest);
        version.is_some_and(|v| v.chunks.iter().all(Option::is_some))
    }

    /// Returns whether any chunk of a version is stored.
    #[must_use]
    pub fn has_any_chunk(&self, digest: Digest) -> bool {
        self.held(digest).count() > 0
    }

    /// Returns the versions in memory; those in `pinned` are marked as pinned.
    #[must_use]
    pub fn cached_versions(&self, pinned: &BTreeSet<Digest>) -> Vec<CachedVersion> {
        let versions = self.read();
        let cached = versions.iter().map(|(digest, version)| CachedVersion {
            manifest: *digest,
            size: version.size(),
            pinned: pinned.contains(digest),
            last_used: version.last_used,
        });
        cached.collect()
    }

    /// Removes a version.
    pub fn remove(&self, digest: Digest) {
        self.write().remove(&digest);
    }

    /// Returns the memory used by all chunks.
    #[must_use]
    pub fn size(&self) -> Size {
        self.read().values().map(Version::size).sum()
    }

    fn read(&self) -> RwLockReadGuard<'_, Versions> {
        self.versions.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Versions> {
        self.versions
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

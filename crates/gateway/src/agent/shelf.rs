//! Verified pieces of one version, in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use apricothall_decide::transfer::ChunkSet;
use apricothall_types::ChunkIndex;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Names one version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionId {
    /// The model.
    pub model: SmolStr,
    /// The version.
    pub version: u64,
}

struct Held {
    id: VersionId,
    digests: Vec<[u8; 32]>,
    pieces: Vec<Option<Bytes>>,
}

/// The version that an agent fetches or holds. Cheap to clone.
#[derive(Clone, Default)]
pub struct Shelf {
    held: Arc<Mutex<Option<Held>>>,
}

impl Shelf {
    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a version with the digests of its pieces. What was held of another one is dropped.
    pub fn begin(&self, id: VersionId, digests: Vec<[u8; 32]>) {
        let pieces = vec![None; digests.len()];
        *self.held() = Some(Held {
            id,
            digests,
            pieces,
        });
    }

    /// The version held.
    #[must_use]
    pub fn id(&self) -> Option<VersionId> {
        self.held().as_ref().map(|h| h.id.clone())
    }

    /// Digests of the pieces of `id`.
    #[must_use]
    pub fn digests(&self, id: &VersionId) -> Option<Vec<[u8; 32]>> {
        let held = self.held();
        held.as_ref()
            .filter(|h| h.id == *id)
            .map(|h| h.digests.clone())
    }

    /// Takes a piece if its digest is right. False if it is not, or of another version.
    pub fn put(&self, id: &VersionId, index: ChunkIndex, bytes: Bytes) -> bool {
        let found: [u8; 32] = Sha256::digest(&bytes).into();
        let mut held = self.held();
        let Some(held) = held.as_mut().filter(|h| h.id == *id) else {
            return false;
        };
        let at = index.0 as usize;
        if held.digests.get(at) != Some(&found) {
            return false;
        }
        held.pieces[at] = Some(bytes);
        true
    }

    /// A piece of `id`.
    #[must_use]
    pub fn get(&self, id: &VersionId, index: ChunkIndex) -> Option<Bytes> {
        let held = self.held();
        let held = held.as_ref().filter(|h| h.id == *id)?;
        held.pieces.get(index.0 as usize)?.clone()
    }

    /// Which pieces are held.
    #[must_use]
    pub fn set(&self) -> ChunkSet {
        let mut set = ChunkSet::default();
        for index in self.indices(true) {
            set.insert(index);
        }
        set
    }

    /// Pieces that are missing; none before the digests are known.
    #[must_use]
    pub fn missing(&self) -> Vec<ChunkIndex> {
        self.indices(false)
    }

    fn indices(&self, present: bool) -> Vec<ChunkIndex> {
        let held = self.held();
        let pieces = held.as_ref().map_or(&[][..], |h| &h.pieces);
        (0..)
            .zip(pieces)
            .filter(|(_, p)| p.is_some() == present)
            .map(|(i, _)| ChunkIndex(i))
            .collect()
    }

    /// All pieces of `id`, if none is missing.
    #[must_use]
    pub fn whole(&self, id: &VersionId) -> Option<Vec<Bytes>> {
        let held = self.held();
        let held = held.as_ref().filter(|h| h.id == *id)?;
        held.pieces.iter().cloned().collect()
    }
}

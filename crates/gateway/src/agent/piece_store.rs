//! Verified pieces in memory: of the version that is fetched, and of the last one that was whole.

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

struct StoredVersion {
    id: VersionId,
    digests: Vec<[u8; 32]>,
    pieces: Vec<Option<Bytes>>,
}

impl StoredVersion {
    fn is_complete(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }
}

#[derive(Default)]
struct Contents {
    /// The version that is fetched.
    current: Option<StoredVersion>,
    /// The version before it, if that was whole, for the engine and for other agents.
    previous: Option<StoredVersion>,
}

impl Contents {
    fn find(&self, id: &VersionId) -> Option<&StoredVersion> {
        let all = self.current.iter().chain(&self.previous);
        all.into_iter().find(|v| v.id == *id)
    }
}

/// The versions that an agent fetches or holds. Cheap to clone.
#[derive(Clone, Default)]
pub struct PieceStore {
    contents: Arc<Mutex<Contents>>,
}

impl PieceStore {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a version with the digests of its pieces. The one before is kept only if it is
    /// whole.
    pub fn begin(&self, id: VersionId, digests: Vec<[u8; 32]>) {
        let pieces = vec![None; digests.len()];
        let mut contents = self.contents();
        let replaced = contents.current.replace(StoredVersion {
            id,
            digests,
            pieces,
        });
        if let Some(complete) = replaced.filter(StoredVersion::is_complete) {
            contents.previous = Some(complete);
        }
    }

    /// The version that is fetched.
    #[must_use]
    pub fn current(&self) -> Option<VersionId> {
        self.contents().current.as_ref().map(|v| v.id.clone())
    }

    /// The newest version that is whole.
    #[must_use]
    pub fn newest_complete(&self) -> Option<VersionId> {
        let contents = self.contents();
        let mut all = contents.current.iter().chain(&contents.previous);
        all.find(|v| v.is_complete()).map(|v| v.id.clone())
    }

    /// Digests of the pieces of `id`.
    #[must_use]
    pub fn digests(&self, id: &VersionId) -> Option<Vec<[u8; 32]>> {
        self.contents().find(id).map(|v| v.digests.clone())
    }

    /// Takes a piece if its digest is right. False if it is not, or not of the version that is
    /// fetched.
    pub fn put(&self, id: &VersionId, index: ChunkIndex, bytes: Bytes) -> bool {
        let found: [u8; 32] = Sha256::digest(&bytes).into();
        let mut contents = self.contents();
        let Some(stored) = contents.current.as_mut().filter(|v| v.id == *id) else {
            return false;
        };
        let at = index.0 as usize;
        if stored.digests.get(at) != Some(&found) {
            return false;
        }
        stored.pieces[at] = Some(bytes);
        true
    }

    /// A piece of `id`.
    #[must_use]
    pub fn get(&self, id: &VersionId, index: ChunkIndex) -> Option<Bytes> {
        let contents = self.contents();
        contents.find(id)?.pieces.get(index.0 as usize)?.clone()
    }

    /// Which pieces of the version that is fetched are held.
    #[must_use]
    pub fn held(&self) -> ChunkSet {
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
        let contents = self.contents();
        let pieces = contents.current.as_ref().map_or(&[][..], |v| &v.pieces);
        (0..)
            .zip(pieces)
            .filter(|(_, p)| p.is_some() == present)
            .map(|(i, _)| ChunkIndex(i))
            .collect()
    }

    /// All pieces of `id`, if none is missing.
    #[must_use]
    pub fn all_pieces(&self, id: &VersionId) -> Option<Vec<Bytes>> {
        self.contents().find(id)?.pieces.iter().cloned().collect()
    }
}

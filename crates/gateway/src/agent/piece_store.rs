//! In-memory store of verified pieces: those of the version being fetched, and of the last
//! complete version before it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use apricothall_decide::transfer::ChunkSet;
use apricothall_types::ChunkIndex;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Identifies a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionId {
    /// Name of the model.
    pub model: SmolStr,
    /// Version number.
    pub version: u64,
}

impl From<&(SmolStr, u64)> for VersionId {
    fn from((model, version): &(SmolStr, u64)) -> Self {
        Self {
            model: model.clone(),
            version: *version,
        }
    }
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
    /// The version being fetched, or fetched last.
    current: Option<StoredVersion>,
    /// The last complete version before `current`, kept for the engine and for other agents.
    previous: Option<StoredVersion>,
}

impl Contents {
    fn find(&self, id: &VersionId) -> Option<&StoredVersion> {
        let all = self.current.iter().chain(&self.previous);
        all.into_iter().find(|v| v.id == *id)
    }
}

/// Store of the versions that an agent is fetching or holds. Clones share the contents.
#[derive(Clone, Default)]
pub struct PieceStore {
    contents: Arc<Mutex<Contents>>,
}

impl PieceStore {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a version with the digests of its pieces. The version before it is kept only if it
    /// is complete.
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

    /// Returns the version being fetched, or fetched last.
    #[must_use]
    pub fn current(&self) -> Option<VersionId> {
        self.contents().current.as_ref().map(|v| v.id.clone())
    }

    /// Returns the version of which all pieces are held: the current one if it is complete, else
    /// the one before it.
    #[must_use]
    pub fn newest_complete(&self) -> Option<VersionId> {
        let contents = self.contents();
        let mut all = contents.current.iter().chain(&contents.previous);
        all.find(|v| v.is_complete()).map(|v| v.id.clone())
    }

    /// Returns the digests of the pieces of `id`, if the version is in the store.
    #[must_use]
    pub fn digests(&self, id: &VersionId) -> Option<Vec<[u8; 32]>> {
        self.contents().find(id).map(|v| v.digests.clone())
    }

    /// Stores a piece after verifying its digest. Returns `false` if the digest differs or `id` is
    /// not the current version.
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

    /// Replaces the digests of missing pieces of `id` by those in `digests`. Returns how many differ.
    #[must_use]
    pub fn correct_digests(&self, id: &VersionId, digests: &[[u8; 32]]) -> usize {
        let mut contents = self.contents();
        let stored = contents.current.as_mut().filter(|v| v.id == *id);
        let Some(stored) = stored.filter(|v| v.digests.len() == digests.len()) else {
            return 0;
        };
        let mut corrected = 0;
        for (at, digest) in digests.iter().enumerate() {
            if stored.pieces[at].is_none() && stored.digests[at] != *digest {
                stored.digests[at] = *digest;
                corrected += 1;
            }
        }
        corrected
    }

    /// Returns a piece of `id`, if it is held.
    #[must_use]
    pub fn get(&self, id: &VersionId, index: ChunkIndex) -> Option<Bytes> {
        let contents = self.contents();
        contents.find(id)?.pieces.get(index.0 as usize)?.clone()
    }

    /// Returns the pieces of the current version that are held.
    #[must_use]
    pub fn held(&self) -> ChunkSet {
        let mut set = ChunkSet::default();
        for index in self.indices(true) {
            set.insert(index);
        }
        set
    }

    /// Returns the pieces of the current version that are missing. Empty until the digests are
    /// in the store.
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

    /// Returns the pieces of `id` in order, if none is missing.
    #[must_use]
    pub fn all_pieces(&self, id: &VersionId) -> Option<Vec<Bytes>> {
        self.contents().find(id)?.pieces.iter().cloned().collect()
    }
}

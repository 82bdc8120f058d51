//! Which versions are kept in memory to serve peers.

use apricothall_types::{Bytes, Digest, Timestamp};

use crate::configs::TransferConfig;

/// A version in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Memory of its chunks.
    pub size: Bytes,
    /// Whether it is being fetched or an engine is loading it.
    pub pinned: bool,
    /// Last time that a peer or engine read it.
    pub used: Timestamp,
}

/// Versions to drop, least recently used first; never a pinned one.
///
/// Versions unused for `keep` go, then further ones until the rest fit into `memory`. Pinned
/// versions count against the memory, so they push out the others but are never refused here.
#[must_use]
pub fn evict(config: &TransferConfig, kept: &[Kept], now: Timestamp) -> Vec<Digest> {
    let mut total: Bytes = kept.iter().map(|k| k.size).sum();
    let mut loose: Vec<_> = kept.iter().filter(|k| !k.pinned).collect();
    loose.sort_by_key(|k| (k.used, k.manifest));
    let mut dropped = Vec::new();
    for version in loose {
        let is_idle = now.since(version.used) > config.keep.0;
        if !is_idle && total <= config.memory {
            break;
        }
        total = total.saturating_sub(version.size);
        dropped.push(version.manifest);
    }
    dropped
}

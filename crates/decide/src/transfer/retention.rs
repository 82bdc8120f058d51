//! Which versions are kept in memory to serve peers.

use apricothall_types::{Bytes, Digest, Timestamp};

use crate::configs::TransferConfig;

/// A version in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedVersion {
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Memory of its chunks.
    pub size: Bytes,
    /// Whether it is being fetched or an engine is loading it.
    pub pinned: bool,
    /// Last time that a peer or engine read it.
    pub last_used: Timestamp,
}

/// Versions to drop, least recently used first; never a pinned one.
///
/// Versions unused for `keep` go, then further ones until the rest fit into `memory`. Pinned
/// versions count against the memory, so they push out the others but are never refused here.
#[must_use]
pub fn evict(config: &TransferConfig, cached: &[CachedVersion], now: Timestamp) -> Vec<Digest> {
    let mut total: Bytes = cached.iter().map(|v| v.size).sum();
    let mut unpinned: Vec<_> = cached.iter().filter(|v| !v.pinned).collect();
    unpinned.sort_by_key(|v| (v.last_used, v.manifest));
    let mut dropped = Vec::new();
    for version in unpinned {
        let is_idle = now.since(version.last_used) > config.keep.0;
        if !is_idle && total <= config.memory {
            break;
        }
        total = total.saturating_sub(version.size);
        dropped.push(version.manifest);
    }
    dropped
}

//! Eviction of versions cached in memory for peers.

use apricothall_types::{Bytes, Digest, Timestamp};

use crate::configs::TransferConfig;

/// A version cached in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedVersion {
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Memory used by the version's chunks.
    pub size: Bytes,
    /// Whether the version is being fetched or loaded by an engine.
    pub pinned: bool,
    /// Last time that a peer or an engine read the version.
    pub last_used: Timestamp,
}

/// Returns the versions to evict, least recently used first. Pinned versions are never evicted.
///
/// Evicts versions unused for longer than `keep`, then further ones until the rest fit into
/// `memory`. Pinned versions count towards the memory limit even if they exceed it on their own.
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

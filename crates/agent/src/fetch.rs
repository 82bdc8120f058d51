//! Fetches the chunks of a version until it is complete.

use std::sync::Arc;
use std::time::Duration;

use apricothall_platform::weights::parse_manifest;
use apricothall_platform::{PlatformError, WeightsClient};
use apricothall_types::{ChunkIndex, Digest, Manifest};
use futures::StreamExt;

use crate::chunks::ChunkStore;

/// Chunks that are fetched at once.
const PARALLEL_FETCHES: usize = 4;

/// Longest wait for one chunk or manifest.
const FETCH_LIMIT: Duration = Duration::from_secs(30);

/// Pause after a failed fetch.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Fetches from the store, and from the origin where the store fails.
#[derive(Clone)]
pub struct Fetcher {
    /// Where chunks are kept.
    pub store: Arc<ChunkStore>,
    /// Sources in the order in which they are tried.
    pub sources: Vec<WeightsClient>,
}

impl Fetcher {
    /// Returns once all chunks of the version are held and verified.
    pub async fn complete(&self, digest: Digest) {
        let manifest = self.open(digest).await;
        while let Some(missing) = self.store.missing(digest).filter(|m| !m.is_empty()) {
            futures::stream::iter(missing)
                .for_each_concurrent(PARALLEL_FETCHES, |index| {
                    self.fetch(digest, &manifest, index)
                })
                .await;
        }
    }

    async fn open(&self, digest: Digest) -> Manifest {
        loop {
            if let Some(manifest) = self.store.manifest(digest) {
                return manifest;
            }
            if let Err(error) = self.read_manifest(digest).await {
                tracing::warn!(%digest, %error, "cannot read the manifest");
                tokio::time::sleep(FETCH_PAUSE).await;
            }
        }
    }

    async fn read_manifest(&self, digest: Digest) -> Result<(), PlatformError> {
        let mut result = Err(PlatformError::Timeout);
        for source in &self.sources {
            result = source.manifest(digest, FETCH_LIMIT).await;
            if result.is_ok() {
                break;
            }
        }
        let published = result?;
        let manifest = parse_manifest(&published)?;
        self.store.open(digest, published, manifest);
        Ok(())
    }

    async fn fetch(&self, digest: Digest, manifest: &Manifest, index: ChunkIndex) {
        let size = manifest.chunk_size(index);
        for source in &self.sources {
            let fetched = source.chunk(digest, index, size, FETCH_LIMIT).await;
            let Ok(data) = fetched else {
                continue;
            };
            match self.store.put(digest, index, data) {
                Ok(()) => return,
                Err(error) => {
                    metrics::counter!("apricothall_chunk_corrupt_total").increment(1);
                    tracing::warn!(%digest, %error, "chunk refused");
                }
            }
        }
        tokio::time::sleep(FETCH_PAUSE).await;
    }
}

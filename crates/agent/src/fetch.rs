//! Fetches manifests, chunk bitmaps and chunks from the weight store, the origin and other agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::weights::parse_manifest;
use apricothall_clients::{PlatformError, WeightsClient};
use apricothall_decide::transfer::{ChunkSet, Failure, Source, Verified};
use apricothall_fleet::MembershipView;
use apricothall_kernel::Clock;
use apricothall_types::{Bytes as Size, ChunkIndex, Digest, Manifest, MemberId};
use apricothall_wire::{
    CHUNK_PATH, Channel, ChunkFrame, ChunkQuery, ChunkRequest, Connector, TrafficClass, WireError,
};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::time::timeout;

use crate::chunks::{ChunkError, ChunkStore};

/// Timeout of a manifest read.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a bitmap read.
const BITMAP_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a busy reply without a retry delay.
const DEFAULT_BUSY_PAUSE: Duration = Duration::from_millis(500);

/// Fetches manifests and chunks. Cheap to clone.
#[derive(Clone)]
pub struct Fetcher {
    /// Store of the fetched chunks.
    pub chunks: Arc<ChunkStore>,
    /// Opens streams to other agents.
    pub connector: Arc<Connector>,
    /// Membership view with the addresses of other agents.
    pub view: Arc<MembershipView>,
    /// The weight store.
    pub store: WeightsClient,
    /// The origin of weights.
    pub origin: WeightsClient,
    /// Clock of the VM.
    pub clock: Clock,
}

impl Fetcher {
    /// Reads the manifest of a version from `source` and adds the version to the chunk store.
    pub async fn manifest(&self, digest: Digest, source: &Source) -> Option<Manifest> {
        let published = match source {
            Source::Store => self.store.manifest(digest, MANIFEST_TIMEOUT).await.ok()?,
            Source::Origin => self.origin.manifest(digest, MANIFEST_TIMEOUT).await.ok()?,
            Source::Peer(id) => {
                let requested =
                    self.request(id, digest, ChunkQuery::Manifest, TrafficClass::Control);
                let frame = timeout(MANIFEST_TIMEOUT, requested).await.ok()?.ok()?;
                let ChunkFrame::Chunk(data) = frame else {
                    return None;
                };
                data.0
            }
        };
        if Digest::of(&published) != digest {
            return None;
        }
        let manifest = parse_manifest(&published).ok()?;
        let now = self.clock.now();
        self.chunks.open(digest, published, manifest.clone(), now);
        Some(manifest)
    }

    /// Reads from `peer` which chunks it holds.
    pub async fn bitmap(&self, digest: Digest, peer: &MemberId) -> Option<ChunkSet> {
        let requested = self.request(peer, digest, ChunkQuery::Held, TrafficClass::Control);
        match timeout(BITMAP_TIMEOUT, requested).await.ok()?.ok()? {
            ChunkFrame::Held(held) => Some(held),
            _ => None,
        }
    }

    /// Fetches one chunk and stores it if it verifies.
    ///
    /// # Errors
    /// Returns why no verified chunk was received.
    pub async fn chunk(
        &self,
        digest: Digest,
        index: ChunkIndex,
        size: Size,
        source: &Source,
        wait: Duration,
    ) -> Result<Verified, Failure> {
        let data = match source {
            Source::Store => {
                self.fetch_from_store(&self.store, digest, index, size, wait)
                    .await?
            }
            Source::Origin => {
                self.fetch_from_store(&self.origin, digest, index, size, wait)
                    .await?
            }
            Source::Peer(id) => self.fetch_from_peer(id, digest, index).await?,
        };
        let length = data.len() as u64;
        metrics::counter!("apricothall_chunk_fetched_bytes_total", "source" => source_label(source))
            .increment(length);
        self.chunks.put(digest, index, data).map_err(|error| {
            metrics::counter!("apricothall_chunk_corrupt_total").increment(1);
            tracing::warn!(%digest, ?source, %error, "chunk refused");
            match error {
                ChunkError::Corrupt(_) => Failure::Corrupt,
                ChunkError::UnknownManifest => Failure::Lost,
            }
        })
    }

    async fn fetch_from_store(
        &self,
        client: &WeightsClient,
        digest: Digest,
        index: ChunkIndex,
        size: Size,
        wait: Duration,
    ) -> Result<Bytes, Failure> {
        let read = client.chunk(digest, index, size, wait).await;
        read.map_err(|error| match error {
            PlatformError::Busy { retry } => Failure::Busy(retry.unwrap_or(DEFAULT_BUSY_PAUSE)),
            _ => Failure::Lost,
        })
    }

    async fn fetch_from_peer(
        &self,
        id: &MemberId,
        digest: Digest,
        index: ChunkIndex,
    ) -> Result<Bytes, Failure> {
        let requested = self.request(id, digest, ChunkQuery::Chunk(index), TrafficClass::Bulk);
        match requested.await {
            Ok(ChunkFrame::Chunk(data)) => Ok(data.0),
            Ok(ChunkFrame::Busy { retry }) => Err(Failure::Busy(retry)),
            Ok(_) => Err(Failure::Lost),
            Err(error) => {
                tracing::debug!(peer = %id, %error, "chunk fetch from peer failed");
                Err(Failure::Lost)
            }
        }
    }

    async fn request(
        &self,
        id: &MemberId,
        manifest: Digest,
        want: ChunkQuery,
        lane: TrafficClass,
    ) -> Result<ChunkFrame, WireError> {
        let address = self.address(id).ok_or(WireError::Ended)?;
        let opened = self.connector.open(address, lane, CHUNK_PATH, None);
        let mut channel: Channel<ChunkFrame, ChunkRequest> = opened.await?;
        let from = self.view.own_id().clone();
        let request = ChunkRequest {
            from,
            manifest,
            want,
        };
        channel.send(request).await?;
        channel.next().await.ok_or(WireError::Ended)?
    }

    fn address(&self, id: &MemberId) -> Option<SocketAddr> {
        Some(self.view.member(id)?.address)
    }

    /// Drops the connection to `source`, so that the next fetch from it opens a new one.
    pub async fn reconnect(&self, source: &Source) {
        let Source::Peer(id) = source else {
            return;
        };
        if let Some(address) = self.address(id) {
            self.connector
                .drop_connection(address, TrafficClass::Bulk)
                .await;
        }
    }
}

fn source_label(source: &Source) -> &'static str {
    match source {
        Source::Store => "store",
        Source::Origin => "origin",
        Source::Peer(_) => "peer",
    }
}

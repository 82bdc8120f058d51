//! Results of fetches, and what they say about the sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::pieces::{Source, importer_index, origin_backoff};
use apricothall_types::{ChunkIndex, MemberId, Region, Role, Timestamp};
use bytes::Bytes;
use smol_str::SmolStr;

use super::Fetcher;
use crate::agent::piece_store::VersionId;
use crate::agent::pieces::PeerError;
use crate::peers::Phase;

/// Time for which a peer is not used after a failed fetch.
const PEER_BACKOFF: Duration = Duration::from_millis(1_500);

/// Time for which a peer is not used after it reported a full upload queue.
const BUSY_PEER_BACKOFF: Duration = Duration::from_millis(60);

/// Time for which a piece is not fetched again after its digest differed.
const MISMATCH_BACKOFF: Duration = Duration::from_millis(300);

/// What a task has fetched.
pub(super) enum Fetched {
    Piece(FetchResult),
    Digests(VersionId, Result<Vec<[u8; 32]>, SmolStr>),
}

/// Result of the fetch of a piece.
pub(super) struct FetchResult {
    pub(super) id: VersionId,
    pub(super) since: Timestamp,
    pub(super) index: ChunkIndex,
    pub(super) source: Source,
    pub(super) bytes: Result<Bytes, FetchError>,
}

/// Reason for which a piece was not fetched.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    /// The fetch from a peer failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The fetch from the origin failed.
    #[error("origin: {0}")]
    Origin(SmolStr),
    /// The digest of the bytes is not that of the piece.
    #[error("digest mismatch, or the version is no longer being fetched")]
    DigestMismatch,
}

impl Fetcher {
    /// Stores a fetched piece, or backs off from its source.
    pub(super) fn complete(&mut self, fetched: FetchResult) {
        self.in_flight.remove(&fetched.index);
        let now = self.context.clock.now();
        let took = now.since(fetched.since);
        if let Source::Peer(id) = &fetched.source {
            self.record_fetch_time(id, &fetched.bytes, took);
        }
        let from = match &fetched.source {
            Source::Origin => "origin",
            Source::Peer(_) => "peer",
        };
        let error = match fetched.bytes {
            Ok(bytes) => {
                let size = bytes.len() as u64;
                if self.piece_store.put(&fetched.id, fetched.index, bytes) {
                    if fetched.source == Source::Origin {
                        self.record_origin_answer(took, now);
                        self.report_to_importers(fetched.index, now);
                    }
                    self.mismatches.remove(&fetched.index);
                    metrics::counter!("apricothall_piece_bytes_total", "source" => from)
                        .increment(size);
                    return;
                }
                let until = now + MISMATCH_BACKOFF;
                self.mismatch_backoff.insert(fetched.index, until);
                self.record_mismatch(&fetched.id, fetched.index);
                FetchError::DigestMismatch
            }
            Err(error) => error,
        };
        let is_busy = matches!(error, FetchError::Peer(PeerError::Busy));
        tracing::info!(version = fetched.id.version, index = %fetched.index, source = ?fetched.source, %error, "piece not fetched");
        metrics::counter!("apricothall_piece_failures_total", "source" => from).increment(1);
        match fetched.source {
            Source::Peer(id) if is_busy => {
                self.busy_peers.insert(id, now + BUSY_PEER_BACKOFF);
            }
            Source::Peer(id) => {
                self.peer_backoff.insert(id, now + PEER_BACKOFF);
            }
            Source::Origin => self.back_off_origin(),
        }
    }

    /// Records how long a fetch from the peer `id` took. One that failed at once, or that the peer had
    /// no room for, says nothing about the links.
    fn record_fetch_time(
        &mut self,
        id: &MemberId,
        bytes: &Result<Bytes, FetchError>,
        took: Duration,
    ) {
        let is_measured = matches!(bytes, Ok(_) | Err(FetchError::Peer(PeerError::Timeout)));
        if !is_measured {
            return;
        }
        self.mean_fetch_time = (self.mean_fetch_time * 3 + took) / 4;
        let mean = self.peer_times.entry(id.clone()).or_insert(took);
        *mean = (*mean * 3 + took) / 4;
    }

    /// Reports at once to the agents that fetch the piece into their regions. Periodic reports reach
    /// an agent of another region too seldom for that.
    fn report_to_importers(&self, chunk: ChunkIndex, now: Timestamp) {
        let own = &self.context.settings().region;
        let mut regions: BTreeMap<Region, BTreeMap<MemberId, SocketAddr>> = BTreeMap::new();
        self.context.peers.each(now, |peer| {
            let hello = &peer.hello;
            let is_agent = hello.role == Role::Agent && hello.phase != Phase::Leaving;
            if is_agent && hello.region != *own {
                let region = regions.entry(hello.region.clone()).or_default();
                region.insert(hello.id.clone(), hello.address);
            }
        });
        for agents in regions.values() {
            let importer = importer_index(agents.len(), chunk);
            if let Some(address) = agents.values().nth(importer) {
                self.context.fleet.request_report(*address);
            }
        }
    }

    /// Records a piece that the origin sent in the time `took`.
    fn record_origin_answer(&mut self, took: Duration, now: Timestamp) {
        self.origin_failures = 0;
        self.origin_progress = now;
        let mean = self.mean_origin_time.unwrap_or(took);
        self.mean_origin_time = Some((mean * 3 + took) / 4);
    }

    /// Sends no requests to the origin for a time that grows with its consecutive failures.
    pub(super) fn back_off_origin(&mut self) {
        self.origin_failures = self.origin_failures.saturating_add(1);
        self.origin_retry_at = self.context.clock.now() + origin_backoff(self.origin_failures);
    }
}

//! Transfer of weight pieces between agents.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Bytes as Size, ChunkIndex, Timestamp};
use apricothall_wire::{Channel, Connector, Incoming, Payload, TrafficClass, WireError};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::Context;
use crate::agent::piece_store::VersionId;
use crate::traffic::Kind;

/// Path of streams that request a piece or the digests.
pub const PATH: &str = "/piece";

/// Time limit of a request to another agent.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Maximum number of pieces sent but not yet received by the other agent.
const MAX_UNRECEIVED: usize = 2;

/// Maximum number of queued uploads ahead of a new request. Requests beyond it are answered with
/// [`PieceResponse::Busy`], so that the requester uses another source.
const MAX_QUEUED: u32 = 4;

/// Maximum expected wait of a queued upload. A slow link has a shorter queue, so that requests do
/// not time out before their turn.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(900);

/// Mean time of an upload from which a link counts as slow. Pieces are sent over it only once to this
/// region and once to others, where they are copied faster from whoever has received them.
const SLOW_UPLOAD: Duration = Duration::from_millis(300);

/// Time after which a piece may be sent over a slow link again.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Time limit for the other agent to receive a piece.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Share of the VM's link bandwidth used for uploads, in percent.
const LINK_SHARE_PERCENT: u32 = 92;

/// Upload priority of the requesting agent; lower values go first. 0 is for agents of other
/// regions, which bring a piece into their region; the others follow in the order in which their
/// engines load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank(pub u16);

impl Rank {
    /// An agent of another region.
    pub const FAR: Self = Self(0);
}

#[derive(Debug, Serialize, Deserialize)]
struct PieceRequest {
    model: SmolStr,
    version: u64,
    /// Priority of the requester.
    rank: Rank,
    want: RequestedItem,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum RequestedItem {
    Digests,
    Piece(ChunkIndex),
}

#[derive(Debug, Serialize, Deserialize)]
enum PieceResponse {
    Digests(Vec<[u8; 32]>),
    Piece(Payload),
    Absent,
    Busy,
}

/// Reason for which a peer did not return the requested item.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The stream failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The peer did not respond in time.
    #[error("no answer in time")]
    Timeout,
    /// The peer does not hold the item.
    #[error("the peer does not hold it")]
    Absent,
    /// The peer's upload queue is full.
    #[error("busy")]
    Busy,
}

/// Serves a peer's request for a piece or the digests of a version.
///
/// # Errors
/// When the stream fails.
pub async fn serve(context: &Context, incoming: Incoming) -> Result<(), WireError> {
    let mut channel = incoming.accept::<PieceRequest, PieceResponse>()?;
    let Some(request) = channel.next().await.transpose()? else {
        return Ok(());
    };
    let id = VersionId {
        model: request.model,
        version: request.version,
    };
    let response = match request.want {
        RequestedItem::Digests => context
            .piece_store
            .digests(&id)
            .map_or(PieceResponse::Absent, PieceResponse::Digests),
        RequestedItem::Piece(index) => {
            let now = context.clock.now();
            let upload = Upload {
                version: id,
                chunk: index,
                is_far: request.rank == Rank::FAR,
            };
            let rank = request.rank;
            match context.piece_store.get(&upload.version, index) {
                None => PieceResponse::Absent,
                Some(_) if context.uploads.is_busy(rank, &upload, now) => PieceResponse::Busy,
                Some(bytes) => {
                    return send_piece(context, &mut channel, rank, upload, bytes).await;
                }
            }
        }
    };
    channel.send(response).await?;
    channel.close().await
}

/// A piece that is sent to this region or to another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Upload {
    version: VersionId,
    chunk: ChunkIndex,
    is_far: bool,
}

/// Queued uploads, ordered by rank and then by arrival.
type WaitQueue = BTreeSet<(Rank, u64)>;

#[derive(Default)]
struct Queue {
    waiting: WaitQueue,
    arrivals: u64,
    sending: bool,
    unreceived: usize,
    /// Mean time from the start of an upload until the other agent has the piece.
    mean_time: Duration,
    /// When each piece was last sent.
    sent: HashMap<Upload, Timestamp>,
}

impl Queue {
    /// Whether the link is slow and has carried the piece a moment ago.
    fn is_resent_too_soon(&self, piece: &Upload, now: Timestamp) -> bool {
        let sent = self.sent.get(piece);
        let is_recent = sent.is_some_and(|at| now.since(*at) < RESEND_INTERVAL);
        self.mean_time >= SLOW_UPLOAD && is_recent
    }

    /// Whether `ahead` queued uploads are too many for another one.
    fn is_full(&self, ahead: usize) -> bool {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        ahead >= MAX_QUEUED || self.mean_time.saturating_mul(ahead) > MAX_QUEUE_TIME
    }
}

/// Priority queue of uploads to other agents.
///
/// Pieces are sent one at a time, and only few may be sent but not yet received. The lowest rank
/// goes first, so that its engine can load while other agents are still fetching.
#[derive(Default)]
pub struct UploadQueue {
    queue: Mutex<Queue>,
    changed: Notify,
}

impl UploadQueue {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the queue ahead of a request of `rank` is full, or the piece was sent over a
    /// slow link a moment ago.
    fn is_busy(&self, rank: Rank, piece: &Upload, now: Timestamp) -> bool {
        let queue = self.queue();
        if queue.is_resent_too_soon(piece, now) {
            return true;
        }
        let waiting = queue.waiting.range(..=(rank, u64::MAX)).count();
        queue.is_full(waiting + usize::from(queue.sending))
    }

    /// Waits until an upload of `rank` may start.
    async fn wait_for_turn(&self, rank: Rank) {
        let mut entry = QueueEntry::join(self, rank);
        loop {
            let changed = self.changed.notified();
            if entry.try_start() {
                return;
            }
            changed.await;
        }
    }

    /// Records that a piece is sent, and forgets those sent long ago.
    fn record_sent(&self, piece: Upload, now: Timestamp) {
        let mut queue = self.queue();
        queue.sent.retain(|_, at| now.since(*at) < RESEND_INTERVAL);
        queue.sent.insert(piece, now);
    }

    /// Lets the next upload start.
    fn release_link(&self) {
        self.queue().sending = false;
        self.changed.notify_waiters();
    }

    /// Records that an upload was received, after the time `took`, or that the wait for it timed out.
    fn mark_received(&self, piece: &Upload, took: Option<Duration>) {
        let mut queue = self.queue();
        queue.unreceived -= 1;
        match took {
            Some(took) => queue.mean_time = (queue.mean_time * 3 + took) / 4,
            None => {
                queue.sent.remove(piece);
            }
        }
        drop(queue);
        self.changed.notify_waiters();
    }
}

/// An entry of the queue; removed on drop.
struct QueueEntry<'a> {
    uploads: &'a UploadQueue,
    key: (Rank, u64),
}

impl<'a> QueueEntry<'a> {
    fn join(uploads: &'a UploadQueue, rank: Rank) -> Self {
        let mut queue = uploads.queue();
        queue.arrivals += 1;
        let key = (rank, queue.arrivals);
        queue.waiting.insert(key);
        Self { uploads, key }
    }

    /// Starts the upload if the link is free and no other entry has priority.
    fn try_start(&mut self) -> bool {
        let mut queue = self.uploads.queue();
        let free = !queue.sending && queue.unreceived < MAX_UNRECEIVED;
        if !free || queue.waiting.first() != Some(&self.key) {
            return false;
        }
        queue.waiting.remove(&self.key);
        queue.sending = true;
        queue.unreceived += 1;
        true
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.uploads.queue().waiting.remove(&self.key);
        self.uploads.changed.notify_waiters();
    }
}

/// Sends a piece when its turn comes, and blocks further uploads for as long as the piece occupies
/// the link.
async fn send_piece(
    context: &Context,
    channel: &mut Channel<PieceRequest, PieceResponse>,
    rank: Rank,
    piece: Upload,
    bytes: Bytes,
) -> Result<(), WireError> {
    let size = Size(u64::try_from(bytes.len()).unwrap_or(u64::MAX));
    let transmission_time = context.settings().link.time_for(size);
    context.uploads.wait_for_turn(rank).await;
    let started = context.clock.now();
    context.uploads.record_sent(piece.clone(), started);
    context.traffic.record(Kind::Pieces, bytes.len());
    let sent = channel.send(PieceResponse::Piece(Payload(bytes))).await;
    tokio::time::sleep(transmission_time * 100 / LINK_SHARE_PERCENT).await;
    context.uploads.release_link();
    // The receiver closes the stream once it has the piece, which takes longer on a slow link. The
    // next piece may be sent even if the stream is not closed in time.
    let closed = tokio::time::timeout(RECEIVE_TIMEOUT, channel.next()).await;
    let took = context.clock.now().since(started);
    let is_received = sent.is_ok() && closed.is_ok();
    context
        .uploads
        .mark_received(&piece, is_received.then_some(took));
    sent
}

/// Fetches a piece of `id` from the agent at `peer` without verifying it.
///
/// # Errors
/// When the peer does not return the piece.
pub async fn fetch(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
    index: ChunkIndex,
    rank: Rank,
) -> Result<Bytes, PeerError> {
    match request(connector, peer, id, RequestedItem::Piece(index), rank).await? {
        PieceResponse::Piece(payload) => Ok(payload.0),
        PieceResponse::Busy => Err(PeerError::Busy),
        PieceResponse::Digests(_) | PieceResponse::Absent => Err(PeerError::Absent),
    }
}

/// Fetches the digests of the pieces of `id` from the agent at `peer`.
///
/// # Errors
/// When the peer does not return the digests.
pub async fn digests(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
) -> Result<Vec<[u8; 32]>, PeerError> {
    match request(connector, peer, id, RequestedItem::Digests, Rank::FAR).await? {
        PieceResponse::Digests(digests) => Ok(digests),
        PieceResponse::Piece(_) | PieceResponse::Absent | PieceResponse::Busy => {
            Err(PeerError::Absent)
        }
    }
}

async fn request(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
    want: RequestedItem,
    rank: Rank,
) -> Result<PieceResponse, PeerError> {
    let exchange = async {
        let mut channel = connector
            .open::<PieceResponse, PieceRequest>(peer, TrafficClass::Bulk, PATH, None)
            .await?;
        let (model, version) = (id.model.clone(), id.version);
        channel
            .send(PieceRequest {
                model,
                version,
                rank,
                want,
            })
            .await?;
        let response = channel.next().await.transpose()?;
        Ok(response.unwrap_or(PieceResponse::Absent))
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    if !matches!(result, Ok(Ok(_))) {
        connector.drop_connection(peer, TrafficClass::Bulk).await;
    }
    result.map_err(|_| PeerError::Timeout)?
}

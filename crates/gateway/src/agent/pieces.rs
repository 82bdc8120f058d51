//! Pieces of weights between agents.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Bytes as Size, ChunkIndex};
use apricothall_wire::{Channel, Connector, Incoming, Payload, TrafficClass, WireError};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::Context;
use crate::agent::shelf::VersionId;

/// Path of streams that ask for a piece.
pub const PATH: &str = "/piece";

/// Longest wait for a piece from another agent.
const WAIT: Duration = Duration::from_millis(1_800);

/// Pieces sent and not yet taken.
const UNTAKEN: usize = 2;

/// Requests for pieces that may wait for their turn; others are told to ask elsewhere.
const WAITING: usize = 2;

/// Longest wait until a receiver has taken a piece.
const TAKE_WAIT: Duration = Duration::from_millis(1_500);

/// Part of the VM's link that pieces may take, in percent.
const LINK_PERCENT: u32 = 92;

/// Place of an agent among those that wait for pieces: 0 brings them into a region, the others
/// follow in the order in which their engines load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank(pub u16);

#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    model: SmolStr,
    version: u64,
    /// Place of the asker among those that wait.
    rank: Rank,
    want: Want,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Want {
    Digests,
    Piece(ChunkIndex),
}

#[derive(Debug, Serialize, Deserialize)]
enum Told {
    Digests(Vec<[u8; 32]>),
    Piece(Payload),
    Absent,
    Busy,
}

/// Why a peer gave nothing.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The stream failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// There was no answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The peer does not hold it.
    #[error("not held there")]
    Absent,
    /// The peer is sending to others.
    #[error("busy")]
    Busy,
}

/// Answers a peer that asks for a part of the version held here.
///
/// # Errors
/// When the stream fails.
pub async fn serve(context: &Context, incoming: Incoming) -> Result<(), WireError> {
    let mut channel = incoming.accept::<Ask, Told>()?;
    let Some(ask) = channel.next().await.transpose()? else {
        return Ok(());
    };
    let id = VersionId {
        model: ask.model,
        version: ask.version,
    };
    let told = match ask.want {
        Want::Digests => context
            .shelf
            .digests(&id)
            .map_or(Told::Absent, Told::Digests),
        Want::Piece(_) if context.uploads.is_busy(ask.rank) => Told::Busy,
        Want::Piece(index) => match context.shelf.get(&id, index) {
            Some(piece) => return send_piece(context, &mut channel, ask.rank, piece).await,
            None => Told::Absent,
        },
    };
    channel.send(told).await?;
    channel.close().await
}

/// Who waits to be sent a piece: by rank, then in the order of asking.
type Waiting = BTreeSet<(Rank, u64)>;

#[derive(Default)]
struct Queue {
    waiting: Waiting,
    asked: u64,
    pacing: bool,
    untaken: usize,
}

/// Turns of sending a piece to another agent: one at a time, few before they are taken, and the
/// first of the ranking first, so that its engine can load while others still fetch.
#[derive(Default)]
pub struct Uploads {
    queue: Mutex<Queue>,
    changed: Notify,
}

impl Uploads {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an asker of `rank` would wait behind too many.
    fn is_busy(&self, rank: Rank) -> bool {
        let queue = self.queue();
        queue.waiting.range(..=(rank, u64::MAX)).count() >= WAITING
    }

    /// Waits for the turn of an asker of `rank`.
    async fn turn(&self, rank: Rank) {
        let mut place = Place::take(self, rank);
        loop {
            let changed = self.changed.notified();
            if place.is_next() {
                return;
            }
            changed.await;
        }
    }

    fn paced(&self) {
        self.queue().pacing = false;
        self.changed.notify_waiters();
    }

    fn taken(&self) {
        self.queue().untaken -= 1;
        self.changed.notify_waiters();
    }
}

/// A place in the queue; dropping it leaves the queue.
struct Place<'a> {
    uploads: &'a Uploads,
    key: (Rank, u64),
}

impl<'a> Place<'a> {
    fn take(uploads: &'a Uploads, rank: Rank) -> Self {
        let mut queue = uploads.queue();
        queue.asked += 1;
        let key = (rank, queue.asked);
        queue.waiting.insert(key);
        Self { uploads, key }
    }

    /// Takes the turn if nothing is being sent and nobody goes before.
    fn is_next(&mut self) -> bool {
        let mut queue = self.uploads.queue();
        let free = !queue.pacing && queue.untaken < UNTAKEN;
        if !free || queue.waiting.first() != Some(&self.key) {
            return false;
        }
        queue.waiting.remove(&self.key);
        queue.pacing = true;
        queue.untaken += 1;
        true
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.uploads.queue().waiting.remove(&self.key);
        self.uploads.changed.notify_waiters();
    }
}

/// Sends a piece in its turn, and keeps the turn until the link is free for the next one.
async fn send_piece(
    context: &Context,
    channel: &mut Channel<Ask, Told>,
    rank: Rank,
    piece: Bytes,
) -> Result<(), WireError> {
    let size = Size(u64::try_from(piece.len()).unwrap_or(u64::MAX));
    let alone = context.settings().link.time_for(size);
    context.uploads.turn(rank).await;
    let sent = channel.send(Told::Piece(Payload(piece))).await;
    tokio::time::sleep(alone * 100 / LINK_PERCENT).await;
    context.uploads.paced();
    // The receiver ends the stream once it has the piece, later on a narrow link. If it does not
    // end it in time, the next piece may follow all the same.
    let _ = tokio::time::timeout(TAKE_WAIT, channel.next()).await;
    context.uploads.taken();
    sent
}

/// A piece of `id` from the agent at `peer`, unverified.
///
/// # Errors
/// When it gives none.
pub async fn fetch(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
    index: ChunkIndex,
    rank: Rank,
) -> Result<Bytes, PeerError> {
    match ask(connector, peer, id, Want::Piece(index), rank).await? {
        Told::Piece(payload) => Ok(payload.0),
        Told::Busy => Err(PeerError::Busy),
        Told::Digests(_) | Told::Absent => Err(PeerError::Absent),
    }
}

/// Digests of the pieces of `id` from the agent at `peer`.
///
/// # Errors
/// When it gives none.
pub async fn digests(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
) -> Result<Vec<[u8; 32]>, PeerError> {
    match ask(connector, peer, id, Want::Digests, Rank(0)).await? {
        Told::Digests(digests) => Ok(digests),
        Told::Piece(_) | Told::Absent | Told::Busy => Err(PeerError::Absent),
    }
}

async fn ask(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
    want: Want,
    rank: Rank,
) -> Result<Told, PeerError> {
    let exchange = async {
        let mut channel = connector
            .open::<Told, Ask>(peer, TrafficClass::Bulk, PATH, None)
            .await?;
        let (model, version) = (id.model.clone(), id.version);
        channel
            .send(Ask {
                model,
                version,
                rank,
                want,
            })
            .await?;
        let told = channel.next().await.transpose()?;
        Ok(told.unwrap_or(Told::Absent))
    };
    let answered = tokio::time::timeout(WAIT, exchange).await;
    if !matches!(answered, Ok(Ok(_))) {
        connector.drop_connection(peer, TrafficClass::Bulk).await;
    }
    answered.map_err(|_| PeerError::Timeout)?
}

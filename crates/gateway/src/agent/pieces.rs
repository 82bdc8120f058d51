//! Pieces of weights between agents.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Bytes as Size, ChunkIndex};
use apricothall_wire::{Connector, Incoming, Lane, Payload, WireError};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use tokio::sync::OwnedSemaphorePermit;

use crate::Context;
use crate::agent::shelf::VersionId;

/// Path of streams that ask for a piece.
pub const PATH: &str = "/piece";

/// Longest wait for a piece from another agent.
const WAIT: Duration = Duration::from_millis(1_800);

/// Longest wait until a receiver has taken a piece.
const TAKE_WAIT: Duration = Duration::from_millis(1_500);

/// Part of the VM's link that pieces may take, in percent.
const LINK_PERCENT: u32 = 85;

#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    model: SmolStr,
    version: u64,
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
        Want::Digests => context.shelf.digests(&id).map(Told::Digests),
        Want::Piece(index) => {
            let piece = context.shelf.get(&id, index);
            piece.map(|bytes| Told::Piece(Payload(bytes)))
        }
    };
    // The engine's answers share the link: one piece at a time, and with gaps between them.
    let turn = match &told {
        Some(Told::Piece(payload)) => Some(turn(context, payload.len()).await),
        _ => None,
    };
    let sent = channel.send(told.unwrap_or(Told::Absent)).await;
    if let Some((uploads, pause)) = turn {
        // The receiver ends the stream once it has the piece, later on a narrow link.
        let taken = tokio::time::timeout(TAKE_WAIT, channel.next());
        let _ = tokio::join!(taken, tokio::time::sleep(pause));
        drop(uploads);
    }
    sent?;
    channel.close().await
}

/// Waits for the turn to send `size` bytes; the next turn comes after the pause returned.
async fn turn(context: &Context, size: usize) -> (Option<OwnedSemaphorePermit>, Duration) {
    // The semaphore is never closed, so there is always a permit.
    let permit = context.uploads.clone().acquire_owned().await.ok();
    let size = Size(u64::try_from(size).unwrap_or(u64::MAX));
    let alone = context.settings().link.time_for(size);
    (permit, alone * 100 / LINK_PERCENT)
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
) -> Result<Bytes, PeerError> {
    match ask(connector, peer, id, Want::Piece(index)).await? {
        Told::Piece(payload) => Ok(payload.0),
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
    match ask(connector, peer, id, Want::Digests).await? {
        Told::Digests(digests) => Ok(digests),
        Told::Piece(_) | Told::Absent => Err(PeerError::Absent),
    }
}

async fn ask(
    connector: &Connector,
    peer: SocketAddr,
    id: &VersionId,
    want: Want,
) -> Result<Told, PeerError> {
    let exchange = async {
        let mut channel = connector
            .open::<Told, Ask>(peer, Lane::Bulk, PATH, None)
            .await?;
        let (model, version) = (id.model.clone(), id.version);
        channel
            .send(Ask {
                model,
                version,
                want,
            })
            .await?;
        let told = channel.next().await.transpose()?;
        Ok(told.unwrap_or(Told::Absent))
    };
    let answered = tokio::time::timeout(WAIT, exchange).await;
    if !matches!(answered, Ok(Ok(_))) {
        connector.forget(peer, Lane::Bulk).await;
    }
    answered.map_err(|_| PeerError::Timeout)?
}

//! Plug-in that uploads verified chunks to other agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::TransferConfig;
use apricothall_decide::transfer::{Slot, Uploads};
use apricothall_fleet::{MembershipView, PeerRoutes};
use apricothall_kernel::{
    Clock, Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture,
};
use apricothall_types::{ChunkIndex, Digest, MemberId, Role};
use apricothall_wire::{
    CHUNK_PATH, Channel, ChunkFrame, ChunkQuery, ChunkRequest, Incoming, Payload, WireError,
};
use futures::{SinkExt, StreamExt};
use linkme::distributed_slice;
use tokio::time::timeout;

use crate::chunks::ChunkStore;

#[distributed_slice(PLUGINS)]
static UPLOAD: Plugin = Plugin {
    name: "upload",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Timeout for the request on an opened stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Weight of the previous value in the moving average of upload times, out of [`TOTAL_WEIGHT`].
const PAST_WEIGHT: u32 = 7;

/// Sum of the weights of that average.
const TOTAL_WEIGHT: u32 = 8;

/// An upload times out after this multiple of the average upload time, if that is longer than the
/// configured timeout.
const TIMEOUT_FACTOR: u32 = 8;

/// Minimum retry delay of a busy reply.
const MIN_BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

struct Uploader {
    chunks: Arc<ChunkStore>,
    view: Arc<MembershipView>,
    lifecycle: Lifecycle,
    config: TransferConfig,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    uploads: Uploads,
    mean_duration: Duration,
}

/// Holds an upload slot until dropped.
struct SlotGuard<'a> {
    uploader: &'a Uploader,
    peer: MemberId,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.uploader.lock().uploads.release(&self.peer);
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let uploader = Arc::new(Uploader {
        chunks: context.component()?,
        view: context.component()?,
        lifecycle: context.lifecycle.clone(),
        config: context.settings.transfer.clone(),
        clock: context.clock,
        state: Mutex::default(),
    });
    context
        .component::<PeerRoutes>()?
        .add(CHUNK_PATH, move |incoming| {
            let uploader = uploader.clone();
            async move {
                if let Err(error) = uploader.serve(incoming).await {
                    tracing::debug!(%error, "upload failed");
                }
            }
        });
    Ok(())
}

impl Uploader {
    async fn serve(&self, incoming: Incoming) -> Result<(), WireError> {
        let mut channel: Channel<ChunkRequest, ChunkFrame> = incoming.accept()?;
        let received = timeout(REQUEST_TIMEOUT, channel.next()).await;
        let request = received.map_err(|_| WireError::Timeout)?;
        let request = request.ok_or(WireError::Ended)??;
        let digest = request.manifest;
        let frame = match request.want {
            ChunkQuery::Held => ChunkFrame::Held(self.chunks.held(digest)),
            ChunkQuery::Manifest => {
                let published = self.chunks.published(digest);
                published.map_or(ChunkFrame::Absent, |data| ChunkFrame::Chunk(Payload(data)))
            }
            ChunkQuery::Chunk(index) => {
                return self.upload(channel, &request.from, digest, index).await;
            }
        };
        channel.send(frame).await?;
        channel.close().await
    }

    async fn upload(
        &self,
        mut channel: Channel<ChunkRequest, ChunkFrame>,
        peer: &MemberId,
        digest: Digest,
        index: ChunkIndex,
    ) -> Result<(), WireError> {
        // Registered before the check, so that a shutdown that begins in between waits for this
        // upload.
        let _work = self.lifecycle.begin_transfer();
        let started = self.clock.now();
        let chunk = self.chunks.chunk(digest, index, started);
        let Some(data) = chunk.filter(|_| !self.lifecycle.is_leaving()) else {
            channel.send(ChunkFrame::Absent).await?;
            return channel.close().await;
        };
        let _slot = match self.acquire_slot(peer) {
            Ok(slot) => slot,
            Err(retry) => {
                channel.send(ChunkFrame::Busy { retry }).await?;
                return channel.close().await;
            }
        };
        let length = data.len() as u64;
        let limit = self.send_timeout();
        let sent = timeout(limit, send(&mut channel, data)).await;
        sent.map_err(|_| WireError::Timeout)??;
        metrics::counter!("apricothall_chunk_uploaded_bytes_total").increment(length);
        self.record_duration(self.clock.now().since(started));
        Ok(())
    }

    fn acquire_slot(&self, peer: &MemberId) -> Result<SlotGuard<'_>, Duration> {
        let own_region = self.view.own().region;
        let is_far = self
            .view
            .member(peer)
            .is_some_and(|m| m.region != own_region);
        let mut state = self.lock();
        let mean_duration = state.mean_duration.max(MIN_BUSY_RETRY_DELAY);
        match state
            .uploads
            .request(&self.config, peer, is_far, mean_duration)
        {
            Slot::Busy(retry) => Err(retry),
            Slot::Granted => Ok(SlotGuard {
                uploader: self,
                peer: peer.clone(),
            }),
        }
    }

    /// Returns the timeout of an upload. A peer that has not read the chunk by then has abandoned
    /// it.
    fn send_timeout(&self) -> Duration {
        let minimum = self.lock().mean_duration * TIMEOUT_FACTOR;
        self.config.timeout.0.max(minimum)
    }

    fn record_duration(&self, elapsed: Duration) {
        let mut state = self.lock();
        state.mean_duration = if state.mean_duration.is_zero() {
            elapsed
        } else {
            (state.mean_duration * PAST_WEIGHT + elapsed) / TOTAL_WEIGHT
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send(
    channel: &mut Channel<ChunkRequest, ChunkFrame>,
    data: bytes::Bytes,
) -> Result<(), WireError> {
    channel.send(ChunkFrame::Chunk(Payload(data))).await?;
    channel.close().await
}

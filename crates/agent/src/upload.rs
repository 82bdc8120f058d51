//! Plug-in that gives verified chunks to other agents.

use std::sync::Arc;

use apricothall_fleet::PeerRoutes;
use apricothall_kernel::{Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::Role;
use apricothall_wire::{
    CHUNK_PATH, Channel, ChunkFrame, ChunkRequest, Incoming, Payload, WireError,
};
use futures::{SinkExt, StreamExt};
use linkme::distributed_slice;

use crate::chunks::ChunkStore;

#[distributed_slice(PLUGINS)]
static UPLOAD: Plugin = Plugin {
    name: "upload",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

fn start(context: &Context) -> Result<(), StartError> {
    let store = context.part::<ChunkStore>()?;
    let lifecycle = context.lifecycle.clone();
    context
        .part::<PeerRoutes>()?
        .add(CHUNK_PATH, move |incoming| {
            let (store, lifecycle) = (store.clone(), lifecycle.clone());
            async move {
                if let Err(error) = upload(&store, &lifecycle, incoming).await {
                    tracing::debug!(%error, "upload ended");
                }
            }
        });
    Ok(())
}

async fn upload(
    store: &Arc<ChunkStore>,
    lifecycle: &Lifecycle,
    incoming: Incoming,
) -> Result<(), WireError> {
    let _work = lifecycle.begin_transfer();
    let mut channel: Channel<ChunkRequest, ChunkFrame> = incoming.accept()?;
    let request = channel.next().await.ok_or(WireError::Ended)??;
    let found = match request.index {
        Some(index) => store.chunk(request.manifest, index),
        None => store.published(request.manifest),
    };
    let frame = found.map_or(ChunkFrame::Absent, |data| ChunkFrame::Chunk(Payload(data)));
    channel.send(frame).await?;
    channel.close().await
}

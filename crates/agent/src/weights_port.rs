//! Plug-in that serves complete versions to the engines of this VM over loopback.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::StatusBoard;
use apricothall_fleet::http_server::{Body, listen, serve, text, with_content_type};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{ChunkIndex, Digest, Role, Timestamp};
use http::{Response, StatusCode};
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::chunks::ChunkStore;

#[distributed_slice(PLUGINS)]
static WEIGHTS_PORT: Plugin = Plugin {
    name: "weights port",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(start(context)) },
};

/// Timeout for the head of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

const BINARY: &str = "application/octet-stream";

async fn start(context: Context) -> Result<(), StartError> {
    let store = Arc::new(ChunkStore::default());
    context.provide(store.clone());
    let status_source = store.clone();
    let board = context.component::<StatusBoard>()?;
    board.add_section("weights", move || status(&status_source));
    let Some(config) = &context.settings.weights else {
        return Ok(());
    };
    let listener = listen(config.listen).await?;
    let clock = context.clock;
    let closing = context.lifecycle.stop_token();
    context
        .lifecycle
        .spawn(serve(listener, READ_TIMEOUT, closing, move |request| {
            let store = store.clone();
            async move { answer(&store, request.uri().path(), clock.now()) }
        }));
    Ok(())
}

/// Returns the memory used and the progress of each version.
fn status(store: &ChunkStore) -> Value {
    let cached = store.cached_versions(&BTreeSet::new());
    let transfers = cached.iter().map(|version| {
        let chunks = store.manifest(version.manifest).map(|m| m.count());
        let held = store.held(version.manifest).count();
        json!({ "manifest": version.manifest, "held": held, "chunks": chunks })
    });
    json!({ "bytes": store.size().0, "transfers": transfers.collect::<Vec<_>>() })
}

fn answer(store: &ChunkStore, path: &str, now: Timestamp) -> Response<Body> {
    let response = find(store, path, now);
    response.unwrap_or_else(|| text(StatusCode::NOT_FOUND, "no complete version holds this\n"))
}

/// Serves `/weights/{digest}/manifest` and `/weights/{digest}/chunks/{index}`.
fn find(store: &ChunkStore, path: &str, now: Timestamp) -> Option<Response<Body>> {
    let rest = path.strip_prefix("/weights/")?;
    let (digest, rest) = rest.split_once('/')?;
    let digest: Digest = digest.parse().ok()?;
    if !store.is_complete(digest) {
        return None;
    }
    if rest == "manifest" {
        return Some(with_content_type(
            StatusCode::OK,
            "application/json",
            store.published(digest)?,
        ));
    }
    let index: ChunkIndex = rest.strip_prefix("chunks/")?.parse().ok()?;
    Some(with_content_type(
        StatusCode::OK,
        BINARY,
        store.chunk(digest, index, now)?,
    ))
}

//! Plug-in that lets the engines of this VM read complete versions over loopback.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::StatusBoard;
use apricothall_fleet::http_server::{Body, listen, serve, text, with_type};
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

/// Longest wait for the head of a request.
const READ_LIMIT: Duration = Duration::from_secs(5);

const BINARY: &str = "application/octet-stream";

async fn start(context: Context) -> Result<(), StartError> {
    let store = Arc::new(ChunkStore::default());
    context.provide(store.clone());
    let shown = store.clone();
    let board = context.component::<StatusBoard>()?;
    board.section("weights", move || status(&shown));
    let Some(config) = &context.settings.weights else {
        return Ok(());
    };
    let listener = listen(config.listen).await?;
    let clock = context.clock;
    let closing = context.lifecycle.stop_token();
    context
        .lifecycle
        .spawn(serve(listener, READ_LIMIT, closing, move |request| {
            let store = store.clone();
            async move { answer(&store, request.uri().path(), clock.now()) }
        }));
    Ok(())
}

/// Memory taken, and how far each version has come.
fn status(store: &ChunkStore) -> Value {
    let kept = store.kept(&BTreeSet::new());
    let transfers = kept.iter().map(|version| {
        let chunks = store.manifest(version.manifest).map(|m| m.count());
        let held = store.held(version.manifest).count();
        json!({ "manifest": version.manifest, "held": held, "chunks": chunks })
    });
    json!({ "bytes": store.size().0, "transfers": transfers.collect::<Vec<_>>() })
}

fn answer(store: &ChunkStore, path: &str, now: Timestamp) -> Response<Body> {
    let found = find(store, path, now);
    found.unwrap_or_else(|| text(StatusCode::NOT_FOUND, "no complete version holds this\n"))
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
        return Some(with_type(
            StatusCode::OK,
            "application/json",
            store.published(digest)?,
        ));
    }
    let index: ChunkIndex = rest.strip_prefix("chunks/")?.parse().ok()?;
    Some(with_type(
        StatusCode::OK,
        BINARY,
        store.chunk(digest, index, now)?,
    ))
}

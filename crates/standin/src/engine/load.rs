//! Load orders: an engine fetches the weights of a version and serves it.

use std::sync::Arc;

use apricothall_types::{Digest, EntryName, Fence, Manifest, Version};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{Core, Serving};
use crate::StandinError;
use crate::server::{Reply, json, reply};

/// Body of `POST /v1/load`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Name of the model.
    pub name: EntryName,
    /// Version of the model.
    pub version: Version,
    /// Digest of the manifest of the version.
    pub manifest: Digest,
    /// Base URI of its manifest and chunks.
    pub source: SmolStr,
    /// Fence of the order.
    pub fence: Fence,
}

/// Response to an order with an outdated fence.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FenceRefusal {
    /// Highest fence received.
    pub fence: Fence,
}

/// Executes an order. It continues even if the client disconnects.
pub(super) async fn load(core: Arc<Core>, order: LoadOrder) -> Reply {
    let task = tokio::spawn(async move { run(&core, order).await });
    let failed = |_| reply(StatusCode::INTERNAL_SERVER_ERROR, "");
    task.await.unwrap_or_else(failed)
}

async fn run(core: &Core, order: LoadOrder) -> Reply {
    let Some(number) = accept(core, &order) else {
        let fence = core.lock().fence;
        return json(StatusCode::CONFLICT, &FenceRefusal { fence });
    };
    if core.lock().faults.ignored {
        return json(StatusCode::OK, &core.report(Instant::now()));
    }
    core.stop_all();
    let read = read_weights(core, &order.source).await;
    tokio::time::sleep(core.settings.load).await;
    core.gate.wait_unfrozen().await;
    let mut state = core.lock();
    if state.load != number {
        let fence = state.fence;
        return json(StatusCode::CONFLICT, &FenceRefusal { fence });
    }
    state.loading = false;
    let weights = match read {
        Ok(weights) => weights,
        Err(e) => return reply(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()),
    };
    let serving = Serving {
        name: order.name,
        version: order.version,
        manifest: order.manifest,
    };
    state.serving = Some((serving, weights));
    drop(state);
    json(StatusCode::OK, &core.report(Instant::now()))
}

/// Accepts the order unless its fence is outdated, and returns the number of the load.
fn accept(core: &Core, order: &LoadOrder) -> Option<u64> {
    let mut state = core.lock();
    if core.settings.fenced && order.fence < state.fence {
        return None;
    }
    state.fence = state.fence.max(order.fence);
    state.orders.push(order.fence);
    if state.faults.ignored {
        return Some(state.load);
    }
    state.load += 1;
    state.loading = true;
    state.serving = None;
    Some(state.load)
}

/// Fetches all chunks and returns the digest of their bytes, without verifying them against the
/// manifest.
async fn read_weights(core: &Core, source: &str) -> Result<Digest, StandinError> {
    let manifest = core.client.get(&format!("{source}/manifest")).await?;
    let manifest: Manifest = serde_json::from_slice(&manifest)?;
    let mut hasher = blake3::Hasher::new();
    for index in 0..manifest.count() {
        let chunk = core.client.get(&format!("{source}/chunks/{index}")).await?;
        core.gate.wait_unfrozen().await;
        hasher.update(&chunk);
    }
    Ok(Digest(*hasher.finalize().as_bytes()))
}

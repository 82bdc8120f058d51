//! Agent of a model engine: supplies the engine with weights and reports its load to entries.

pub mod engine;
pub mod fetch;
pub mod loading;
pub mod order;
pub mod piece_store;
pub mod pieces;
pub mod updater;

use crate::Context;
use engine::Engine;

/// Starts the task that keeps the engine up to date, if an engine is configured.
pub fn start(context: &Context) {
    let settings = context.settings();
    let Some(local) = settings.engine.clone() else {
        tracing::warn!("no engine is configured for this agent");
        return;
    };
    let engine = Engine::new(context, local.address);
    let updater_context = context.clone();
    context
        .lifecycle
        .spawn(async move { updater::run(&updater_context, engine, local).await });
}

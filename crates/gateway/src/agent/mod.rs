//! The agent beside a model engine: brings it its weights and tells entries how loaded it is.

pub mod engine;
pub mod fetch;
pub mod piece_store;
pub mod pieces;
pub mod updater;

use crate::Context;
use engine::Engine;

/// Starts the agent's parts.
pub fn start(context: &Context) {
    let settings = context.settings();
    let Some(local) = settings.engine.clone() else {
        tracing::warn!("no engine stands beside this agent");
        return;
    };
    let engine = Engine::new(context, local.address);
    let updater_context = context.clone();
    context
        .lifecycle
        .spawn(async move { updater::run(&updater_context, engine, local).await });
}

//! Runs a daemon from start to exit.

use apricothall_decide::drain::{DrainTrigger, Step};
use apricothall_types::Role;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::plugin::{self, StartError};
use crate::telemetry::{Telemetry, TelemetryError};
use crate::{Context, Settings};

/// Why a daemon ended with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A plug-in did not start.
    #[error("plug-in {name}: {source}")]
    Start {
        /// Name of the plug-in.
        name: &'static str,
        /// What went wrong.
        source: StartError,
    },
    /// Metrics cannot be recorded.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signal(#[from] std::io::Error),
}

/// Runs the plug-ins of `role` until the daemon has drained.
///
/// # Errors
/// When a plug-in does not start.
pub async fn run(settings: Settings, role: Role) -> Result<(), RunError> {
    let term = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let context = Context::new(settings, role, Telemetry::install()?);
    start(&context).await?;
    tracing::info!(id = %context.settings.daemon.id, %role, "started");
    watch_signals(&context, term, interrupt);
    let telemetry = context.telemetry.clone();
    context.lifecycle.spawn(telemetry.condense_repeatedly());
    context.lifecycle.drain_started().await;
    finish(context).await;
    Ok(())
}

async fn start(context: &Context) -> Result<(), RunError> {
    for plugin in plugin::for_role(context.role) {
        tracing::debug!(plugin = plugin.name, "starting");
        let started = (plugin.start)(context.clone()).await;
        started.map_err(|source| RunError::Start {
            name: plugin.name,
            source,
        })?;
    }
    Ok(())
}

/// Starts to drain at the first signal. Later ones have no effect: work in progress is not
/// interrupted.
fn watch_signals(context: &Context, mut term: Signal, mut interrupt: Signal) {
    let lifecycle = context.lifecycle.clone();
    context.lifecycle.spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            lifecycle.start_drain(DrainTrigger::Signal);
        }
    });
}

async fn finish(context: Context) {
    if context.lifecycle.drained().await == Step::Abort {
        let left = context.lifecycle.in_progress();
        let undelivered = context.lifecycle.deliveries();
        tracing::error!(
            left,
            undelivered,
            "drain.limit reached; aborting work in progress"
        );
        metrics::counter!("apricothall_drain_aborted_total").increment(1);
    }
    tracing::info!("stopped");
    context.lifecycle.clone().close().await;
}

//! Runs a process from start to exit.

use std::time::Duration;

use apricothall_decide::configs::DrainConfig;
use apricothall_decide::drain::{DrainTrigger, Step};
use apricothall_decide::load::Entries;
use apricothall_kernel::telemetry::{Telemetry, TelemetryError};
use apricothall_kernel::{Clock, Lifecycle, StartError};
use apricothall_types::{Interval, Role};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::dialect::{Dialect, DialectError};

use crate::settings::Settings;
use crate::{Context, agent, callers, directory, gossip, relay, store};

/// Time for which a leaving entry still forwards, so that callers have learned of others.
const NOTICE: Interval = Interval::millis(2_500);

/// Time before the process is killed at which it ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time between two looks at whether the settings have changed.
const RELOAD_EVERY: Duration = Duration::from_secs(5);

/// Time between two looks at the servers known.
const KEEP_HOUSE: Duration = Duration::from_millis(200);

/// Why a process ended with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A part did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A port cannot be bound, or signals cannot be received.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// Metrics cannot be recorded.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The settings cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] DialectError),
}

/// Reads the settings, at the start and whenever they may have changed.
pub type ReadSettings = fn() -> Result<Settings, DialectError>;

/// Runs until a termination signal has been obeyed.
///
/// # Errors
/// When it does not start.
pub async fn run(read: ReadSettings, dialect: Dialect) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate())?;
    let settings = read()?;
    let role = settings.role;
    let lifecycle = Lifecycle::new(drain(&settings), role, Clock);
    let context = Context::new(settings, dialect, lifecycle, Telemetry::install()?);
    start(&context).await?;
    let settings = context.settings();
    tracing::info!(id = %settings.id, %role, zone = %settings.zone, incarnation = %context.incarnation, "started");
    watch_settings(&context, read)?;
    term.recv().await;
    context.lifecycle.start_drain(DrainTrigger::Signal);
    if context.lifecycle.drained().await == Step::Abort {
        tracing::error!(
            left = context.lifecycle.in_progress(),
            "work is cut off at the end of the grace"
        );
    }
    tracing::info!("stopped");
    Ok(())
}

/// Starts all parts of the role, in order.
///
/// # Errors
/// When a port cannot be bound.
pub async fn start(context: &Context) -> Result<(), RunError> {
    store::start(context);
    gossip::start(context).await?;
    relay::start(context).await?;
    let role = context.settings().role;
    if role == Role::Agent {
        agent::start(context);
    }
    directory::start(context).await?;
    callers::start(context).await?;
    keep_house(context);
    Ok(())
}

fn drain(settings: &Settings) -> DrainConfig {
    let grace = settings.bounds.grace.saturating_sub(END_MARGIN);
    DrainConfig {
        grace: NOTICE,
        keep: NOTICE,
        transfer: Interval::default(),
        limit: Interval(grace),
    }
}

/// Reads the settings again on a hang-up signal and now and then.
fn watch_settings(context: &Context, read: ReadSettings) -> Result<(), RunError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let watching = context.clone();
    context.lifecycle.spawn(async move {
        loop {
            let reason = tokio::select! {
                _ = hangup.recv() => "signal",
                () = tokio::time::sleep(RELOAD_EVERY) => "time",
            };
            reload(&watching, read, reason);
        }
    });
    Ok(())
}

fn reload(context: &Context, read: ReadSettings, reason: &str) {
    match read() {
        Ok(settings) => {
            if context.set_settings(settings) {
                tracing::info!(reason, "settings changed");
            }
        }
        Err(error) => {
            let error: SmolStr = error.0;
            tracing::warn!(reason, %error, "settings not understood; those before stay");
        }
    }
}

fn count_entries(context: &Context) -> Entries {
    let settings = context.settings();
    let mut entries = Entries::ALONE;
    context.peers.each(context.clock.now(), |peer| {
        let other = &peer.hello;
        if other.role != Role::Entry {
            return;
        }
        entries.all += 1;
        if other.zone == settings.zone {
            entries.zone += 1;
            entries.index += u32::from(other.id < settings.id);
        }
    });
    entries
}

/// Drops servers that did not come back after an outage, and what is known of them.
fn keep_house(context: &Context) {
    let keeping = context.clone();
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(KEEP_HOUSE).await;
            let now = keeping.clock.now();
            keeping.published.expire_servers(now);
            keeping.fleet.retain(keeping.published.places());
            keeping.fleet.set_entries(count_entries(&keeping));
        }
    });
}

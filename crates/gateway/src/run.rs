//! Process lifecycle from start to exit.

use std::time::Duration;

use apricothall_decide::configs::DrainConfig;
use apricothall_decide::drain::{DrainTrigger, Step};
use apricothall_decide::load::Entries;
use apricothall_kernel::telemetry::{Telemetry, TelemetryError};
use apricothall_kernel::{Clock, Lifecycle, StartError};
use apricothall_types::{Interval, Role};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::dialect::{Dialect, DialectError};

use crate::settings::{ReadSettings, Settings};
use crate::{Context, agent, callers, directory, gossip, peer_sync, store, traffic};

/// Time for which a draining entry still forwards requests, so that callers can discover other
/// entries.
const DRAIN_FORWARD_TIME: Interval = Interval::millis(2_500);

/// Margin by which the process ends before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Interval of checks whether the settings have changed.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which expired servers are removed and the number of entries is updated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

/// Reason why a process ended with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A component failed to start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A port cannot be bound, or a signal handler cannot be installed.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The settings cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] DialectError),
}

/// Reads the settings, at start and whenever they may have changed. The argument is the settings in
/// effect, whose values replace those that cannot be used.
pub type SettingsReader = fn(Option<&Settings>) -> Result<ReadSettings, DialectError>;

/// Runs until the drain after a termination signal is complete.
///
/// # Errors
/// If it fails to start.
pub async fn run(read: SettingsReader, dialect: Dialect) -> Result<(), RunError> {
    // Without a handler, a change of the settings ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let ReadSettings { settings, unusable } = read(None)?;
    let role = settings.role;
    let lifecycle = Lifecycle::new(drain_config(&settings), role, Clock);
    let context = Context::new(settings, dialect, lifecycle, Telemetry::install()?);
    start(&context).await?;
    let settings = context.settings();
    tracing::info!(id = %settings.id, %role, zone = %settings.zone, incarnation = %context.incarnation, "started");
    report_unusable(&unusable, &[]);
    watch_settings(&context, read, hangup, unusable);
    term.recv().await;
    context.lifecycle.start_drain(DrainTrigger::Signal);
    if context.lifecycle.drained().await == Step::Abort {
        tracing::error!(
            left = context.lifecycle.in_progress(),
            undelivered = context.lifecycle.deliveries(),
            "drain limit reached; aborting requests in progress"
        );
    }
    tracing::info!("stopped");
    Ok(())
}

/// Starts all components of the role, in order.
///
/// # Errors
/// If a port cannot be bound.
pub async fn start(context: &Context) -> Result<(), RunError> {
    store::start(context);
    gossip::start(context).await?;
    peer_sync::start(context).await?;
    let role = context.settings().role;
    if role == Role::Agent {
        agent::start(context);
    }
    directory::start(context).await?;
    callers::start(context).await?;
    maintain_servers(context);
    let telemetry = context.telemetry.clone();
    context.lifecycle.spawn(telemetry.condense_repeatedly());
    traffic::start(context);
    Ok(())
}

fn drain_config(settings: &Settings) -> DrainConfig {
    let grace = settings.bounds.grace.saturating_sub(KILL_MARGIN);
    DrainConfig {
        grace: DRAIN_FORWARD_TIME,
        keep: DRAIN_FORWARD_TIME,
        transfer: Interval::default(),
        limit: Interval(grace),
    }
}

/// Reloads the settings on a hang-up signal and periodically. `unusable` is what was found unusable
/// at the start.
fn watch_settings(
    context: &Context,
    read: SettingsReader,
    mut hangup: Signal,
    mut unusable: Vec<SmolStr>,
) {
    let watching = context.clone();
    context.lifecycle.spawn(async move {
        loop {
            let reason = tokio::select! {
                _ = hangup.recv() => "signal",
                () = tokio::time::sleep(RELOAD_INTERVAL) => "time",
            };
            if let Some(found) = reload(&watching, read, reason) {
                report_unusable(&found, &unusable);
                unusable = found;
            }
        }
    });
}

/// Applies the current settings. Returns what in them is unusable; `None` if they cannot be read.
fn reload(context: &Context, read: SettingsReader, reason: &str) -> Option<Vec<SmolStr>> {
    match read(Some(&context.settings())) {
        Ok(ReadSettings { settings, unusable }) => {
            if context.set_settings(settings) {
                tracing::info!(reason, "settings changed");
            }
            Some(unusable)
        }
        Err(error) => {
            let error: SmolStr = error.0;
            metrics::counter!("apricothall_settings_unreadable_total").increment(1);
            tracing::warn!(reason, %error, "cannot read the settings; the previous ones stay in effect");
            None
        }
    }
}

/// Reports settings that cannot be used, once for each that was not among those found `before`.
fn report_unusable(found: &[SmolStr], before: &[SmolStr]) {
    let count = u32::try_from(found.len()).unwrap_or(u32::MAX);
    metrics::gauge!("apricothall_settings_unusable").set(f64::from(count));
    for reason in found.iter().filter(|reason| !before.contains(reason)) {
        tracing::warn!(%reason, "a setting is not used as it stands");
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

/// Periodically drops servers that did not return after an outage along with their state, and
/// updates the number of entries.
fn maintain_servers(context: &Context) {
    let keeping = context.clone();
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            let now = keeping.clock.now();
            keeping.published.expire_servers(now);
            keeping.published.refresh_evacuations(now);
            keeping.fleet.retain(keeping.published.server_refs());
            keeping.fleet.set_entries(count_entries(&keeping));
            keeping.server_limits.maintain(&keeping);
        }
    });
}

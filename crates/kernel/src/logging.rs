//! Logs on standard error, for people or as JSON lines.

use smol_str::SmolStr;
use thiserror::Error;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

use crate::configs::{LogConfig, LogFormat};

/// Logs cannot be written as asked.
#[derive(Debug, Error)]
#[error("logs cannot be set up: {0}")]
pub struct LogError(SmolStr);

/// Sends all logs of the process to standard error.
///
/// # Errors
/// When the level is not understood or logs have been set up before.
pub fn install(config: &LogConfig) -> Result<(), LogError> {
    let fail = |text: String| LogError(text.into());
    let filter = EnvFilter::try_new(&config.level).map_err(|e| fail(e.to_string()))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(std::io::stderr);
    let done = match config.format {
        LogFormat::Human => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    done.map_err(|e| fail(e.to_string()))
}

/// Lines that wait for the writer before more are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Sends logs as JSON lines to standard output. Lines are dropped, never waited for, when the
/// reader is slow. The guard writes what is left when it is dropped.
///
/// # Errors
/// When logs have been set up before.
pub fn install_json_stdout() -> Result<tracing_appender::non_blocking::WorkerGuard, LogError> {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let done = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .try_init();
    done.map_err(|e| LogError(e.to_string().into()))?;
    Ok(guard)
}

//! Log output, either human-readable or as JSON lines.

use smol_str::SmolStr;
use thiserror::Error;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

use crate::configs::{LogConfig, LogFormat};

/// Logging cannot be set up.
#[derive(Debug, Error)]
#[error("logs cannot be set up: {0}")]
pub struct LogError(SmolStr);

/// Writes all logs of the process to standard error.
///
/// # Errors
/// When the level is invalid or logging has already been set up.
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

/// Number of buffered log lines beyond which further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Writes logs as JSON lines to standard output. With a slow reader, lines are dropped instead of
/// blocking the process. Dropping the guard writes the remaining lines.
///
/// # Errors
/// When logging has already been set up.
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

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

//! Logging of a daemon.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Format and level of the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Log format.
    pub format: LogFormat,
    /// Level, or a filter by module such as `info,apricothall_agent=debug`.
    pub level: SmolStr,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: SmolStr::new_static("info,tarpc=warn"),
        }
    }
}

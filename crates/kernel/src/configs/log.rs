//! Logs of a daemon.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Form of the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Form and level of the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Form of the logs.
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

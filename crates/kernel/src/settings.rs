//! Settings of a daemon: one TOML file, read and validated before anything starts.

use std::path::{Path, PathBuf};

use apricothall_decide::configs as decide;
use apricothall_types::Role;
use apricothall_types::catalogue::line_of;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::configs::{
    CallersConfig, DaemonConfig, LogConfig, OperatorsConfig, PeersConfig, PlatformConfig,
    ServerConfig, ServerKind, WeightsConfig,
};

/// A complete file with comments, as printed by `apricotctl check --print-default`.
pub const DEFAULT_FILE: &str = include_str!("default.toml");

/// Why a settings file is rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A key is unknown or missing, or its value has the wrong type or format.
    #[error("{}:{line}: {reason}\n  {line} | {text}", path.display())]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Line of the error, starting at 1.
        line: usize,
        /// What is wrong and what would be valid.
        reason: SmolStr,
        /// Text of that line.
        text: SmolStr,
    },
    /// Two keys are inconsistent, or one is out of range.
    #[error("{}:{line}: {key}: {reason}", path.display())]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Line of the key, starting at 1; the first line when the key is absent.
        line: usize,
        /// The key.
        key: SmolStr,
        /// What is wrong and what would be valid.
        reason: SmolStr,
    },
}

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and location.
    pub daemon: DaemonConfig,
    /// The port for other daemons.
    pub peers: PeersConfig,
    /// The port for operators.
    pub operators: OperatorsConfig,
    /// The platform's services.
    pub platform: PlatformConfig,
    /// The port for callers; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<CallersConfig>,
    /// Weights in memory; agents with engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightsConfig>,
    /// Backend servers; agents only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerConfig>,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Admission at an agent.
    #[serde(default)]
    pub admission: decide::AdmissionConfig,
    /// Claims for calls by key alone.
    #[serde(default)]
    pub claims: decide::ClaimsConfig,
    /// Register of calls that may not be repeated.
    #[serde(default)]
    pub dedupe: decide::DedupeConfig,
    /// Draining.
    #[serde(default)]
    pub drain: decide::DrainConfig,
    /// Limits on callers and entries.
    #[serde(default)]
    pub limits: decide::LimitsConfig,
    /// Heartbeats and gossip.
    #[serde(default)]
    pub membership: decide::MembershipConfig,
    /// Ejection of failing replicas.
    #[serde(default)]
    pub outlier: decide::OutlierConfig,
    /// Requests suspected of crashing servers.
    #[serde(default)]
    pub quarantine: decide::QuarantineConfig,
    /// Retries.
    #[serde(default)]
    pub retry: decide::RetryConfig,
    /// Readers of the catalogue.
    #[serde(default)]
    pub revision: decide::RevisionConfig,
    /// Version changes.
    #[serde(default)]
    pub rollout: decide::RolloutConfig,
    /// Choice of replicas.
    #[serde(default)]
    pub routing: decide::RoutingConfig,
    /// Transfer of weights.
    #[serde(default)]
    pub transfer: decide::TransferConfig,
}

/// An invalid setting, with the key under which it is reported.
struct InvalidSetting {
    key: &'static str,
    reason: &'static str,
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    /// The first error, with file, line and what would be valid.
    pub fn load(path: &Path, role: Option<Role>) -> Result<Self, SettingsError> {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, path, role)
    }

    /// Parses and validates `text`; `path` only appears in errors. Without a role, it is inferred.
    ///
    /// # Errors
    /// The first error, with file, line and what would be valid.
    pub fn parse(text: &str, path: &Path, role: Option<Role>) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |span| line_of(text, span.start));
            SettingsError::Syntax {
                path: path.to_owned(),
                line,
                reason: SmolStr::new(e.message()),
                text: SmolStr::new(text.lines().nth(line - 1).unwrap_or_default().trim()),
            }
        })?;
        let role = role.unwrap_or_else(|| settings.infer_role());
        let Some(invalid) = settings.first_invalid(role) else {
            return Ok(settings);
        };
        Err(SettingsError::Value {
            path: path.to_owned(),
            line: line_of_key(text, invalid.key),
            key: SmolStr::new_static(invalid.key),
            reason: SmolStr::new_static(invalid.reason),
        })
    }

    /// Infers the role from the sections that are present.
    #[must_use]
    pub fn infer_role(&self) -> Role {
        if self.callers.is_some() {
            Role::Entry
        } else {
            Role::Agent
        }
    }

    fn first_invalid(&self, role: Role) -> Option<InvalidSetting> {
        match role {
            Role::Entry => self.check_entry(),
            Role::Agent => self.check_agent(),
        }
        .or_else(|| self.check_addresses())
        .or_else(|| self.check_dedupe_horizon())
    }

    fn check_entry(&self) -> Option<InvalidSetting> {
        let Some(callers) = &self.callers else {
            return Some(InvalidSetting {
                key: "callers",
                reason: "an entry needs this section",
            });
        };
        if !self.servers.is_empty() {
            return Some(InvalidSetting {
                key: "servers",
                reason: "an entry has no backend servers",
            });
        }
        self.check_drain_times(callers)
    }

    /// A leaving entry must run longer than callers cache its address and than its requests
    /// may take.
    fn check_drain_times(&self, callers: &CallersConfig) -> Option<InvalidSetting> {
        if callers.keep.0 > self.drain.keep.0 {
            return Some(InvalidSetting {
                key: "callers.keep",
                reason: "must not exceed `drain.keep`",
            });
        }
        if self.drain.limit.0 < callers.deadline.0 {
            return Some(InvalidSetting {
                key: "drain.limit",
                reason: "must be at least `callers.deadline`",
            });
        }
        None
    }

    fn check_agent(&self) -> Option<InvalidSetting> {
        if self.callers.is_some() {
            return Some(InvalidSetting {
                key: "callers",
                reason: "an agent has no port for callers",
            });
        }
        if self.servers.is_empty() {
            let reason = "an agent needs at least one backend server";
            return Some(InvalidSetting {
                key: "servers",
                reason,
            });
        }
        let engines = self.servers.iter().any(|s| s.kind == ServerKind::Engine);
        if engines && self.weights.is_none() {
            let reason = "an agent with an engine needs this section";
            return Some(InvalidSetting {
                key: "weights",
                reason,
            });
        }
        self.servers.iter().find_map(check_server)
    }

    /// If the register dropped a key before the key expires, the call could run again.
    fn check_dedupe_horizon(&self) -> Option<InvalidSetting> {
        let claims = &self.claims;
        let kept = 3 * claims.opaque_horizon.0 + 2 * claims.skew.0;
        if self.dedupe.horizon.0 < kept.max(claims.horizon.0 + claims.skew.0) {
            let reason = "must be at least claims.horizon + claims.skew, and 3 times \
                          claims.opaque_horizon + 2 times claims.skew";
            return Some(InvalidSetting {
                key: "dedupe.horizon",
                reason,
            });
        }
        None
    }

    fn check_addresses(&self) -> Option<InvalidSetting> {
        if self.peers.listen.ip() != self.daemon.address {
            let reason = "must be on the VM's own address, `daemon.address`";
            return Some(InvalidSetting {
                key: "peers.listen",
                reason,
            });
        }
        if self.peers.listen == self.operators.listen {
            let reason = "must differ from `peers.listen`";
            return Some(InvalidSetting {
                key: "operators.listen",
                reason,
            });
        }
        None
    }
}

fn check_server(server: &ServerConfig) -> Option<InvalidSetting> {
    let named = server.name.is_some();
    match server.kind {
        ServerKind::Engine if named => Some(InvalidSetting {
            key: "servers.name",
            reason: "an engine has no name; the catalogue says what it serves",
        }),
        ServerKind::Service if !named => Some(InvalidSetting {
            key: "servers.name",
            reason: "a plain service needs the name of its catalogue entry",
        }),
        _ => None,
    }
}

/// Line of a dotted key or of its section; the first line when neither is present.
fn line_of_key(text: &str, key: &str) -> usize {
    let (section, name) = key.split_once('.').unwrap_or((key, ""));
    let mut inside = false;
    let mut found = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line.trim_matches(['[', ']']) == section;
            if inside && found == 1 {
                found = index + 1;
            }
            continue;
        }
        let own = line.split('=').next().is_some_and(|k| k.trim() == name);
        if inside && own && !name.is_empty() {
            return index + 1;
        }
    }
    found
}

//! What operators publish: the configuration, and the versions of models.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::routes::{Accounts, RouteTable};
use apricothall_decide::timing::Timing;
use apricothall_types::Zone;
use smol_str::SmolStr;

/// A configuration in full.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version, for logs.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<SmolStr, Service>,
    /// Who may call.
    pub accounts: Accounts,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Items that could not be understood and name nothing.
    pub unusable: Vec<SmolStr>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A service.
#[derive(Clone, Debug)]
pub enum Service {
    /// Servers that answer requests.
    Plain,
    /// Model engines.
    Engines(EngineService),
    /// Where weights come from.
    Origin(OriginService),
}

/// A service of model engines.
#[derive(Clone, Debug)]
pub struct EngineService {
    /// Published timing.
    pub timing: Timing,
    /// The model that they serve.
    pub model: ModelSpec,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: SmolStr,
}

/// Where weights come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginService {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone, if it is published.
    pub zone: Option<Zone>,
}

impl Configuration {
    /// The engine service named `name`.
    #[must_use]
    pub fn engines(&self, name: &str) -> Option<&EngineService> {
        match self.services.get(name)? {
            Service::Engines(engines) => Some(engines),
            Service::Plain | Service::Origin(_) => None,
        }
    }

    /// The origin of weights.
    #[must_use]
    pub fn origin(&self) -> Option<&OriginService> {
        self.services.values().find_map(|s| match s {
            Service::Origin(origin) => Some(origin),
            Service::Plain | Service::Engines(_) => None,
        })
    }
}

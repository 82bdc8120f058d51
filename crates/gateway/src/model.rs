//! Data published by operators: the configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::routes::{Accounts, RouteTable};
use apricothall_decide::server_limits::cold::ColdStart;
use apricothall_decide::timing::Timing;
use apricothall_types::{TokenCount, Zone};
use smol_str::SmolStr;

/// A complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version of the configuration, for logs.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<SmolStr, Service>,
    /// Names of the services that cannot be used, and so are not in `services`.
    pub unusable_services: BTreeSet<SmolStr>,
    /// How servers start, of services whose cold servers have a limit.
    pub cold_starts: BTreeMap<SmolStr, ColdStart>,
    /// Client accounts and their keys.
    pub accounts: Accounts,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Items that could not be parsed, with the error. They are ignored.
    pub unusable: Vec<SmolStr>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
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
    /// Servers that answer plain requests.
    Plain,
    /// Model engines.
    Engines(EngineService),
    /// Origin of weights.
    Origin(OriginService),
}

/// A service of model engines.
#[derive(Clone, Debug)]
pub struct EngineService {
    /// Published timing.
    pub timing: Timing,
    /// The model served by the engines.
    pub model: ModelSpec,
    /// Number of tokens that the memory of an engine holds, if it is published.
    pub capacity: Option<TokenCount>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: SmolStr,
}

/// Origin of weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginService {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone, if published.
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

    /// Names of all services: those that are listed, usable or not, and those to which routes send
    /// requests.
    #[must_use]
    pub fn service_names(&self) -> BTreeSet<SmolStr> {
        let listed = self.services.keys().chain(&self.unusable_services);
        listed.chain(self.routes.services()).cloned().collect()
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

//! Route table of a configuration: maps a request to a service and its handling rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::priorities::{Rank, ServicePriorities};
use crate::residency::AllowedRegions;

/// Whether a request can be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May be executed more than once.
    Idempotent,
    /// Must be executed at most once.
    Once,
    /// An event stream, which is repeatable only if it is resumable.
    Stream,
}

/// A destination service of a route and its traffic weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of requests relative to the other targets.
    pub weight: u32,
}

/// Rules for the requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name shown in logs.
    pub name: SmolStr,
    /// Host name of the request, in lower case.
    pub host: SmolStr,
    /// Path prefix that starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request can be executed more than once.
    pub kind: CallKind,
    /// Default and maximum time budget of a request.
    pub timeout: Duration,
    /// Latency objective for the complete answer, or for the first event of a stream.
    pub target: Duration,
    /// Maximum time between two events of a stream that still meets the objective.
    pub gap: Option<Duration>,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers that one request is sent to.
    pub attempts: u32,
    /// Whether the route is open to callers without an API key.
    pub public: bool,
    /// Whether another server can continue a stream.
    pub resumable: bool,
    /// Destination services.
    pub targets: Vec<Target>,
    /// Regions in which its requests may be processed.
    pub regions: AllowedRegions,
}

impl Route {
    /// Whether a request can be sent again after it may have been executed.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Selects the service for one request by weight. `draw` is uniform in 0..1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

/// Routes by host, ordered by descending prefix length.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
    priorities: HashMap<SmolStr, ServicePriorities>,
}

impl RouteTable {
    /// Builds the table from `routes`.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        let mut stated: HashMap<SmolStr, Vec<_>> = HashMap::new();
        for route in routes {
            for target in &route.targets {
                let of_service = stated.entry(target.service.clone()).or_default();
                of_service.push((route.priority, route.target));
            }
            let list = hosts.entry(route.host.clone()).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let priorities = stated.into_iter();
        let priorities = priorities.map(|(service, of)| (service, ServicePriorities::new(&of)));
        Self {
            hosts,
            priorities: priorities.collect(),
        }
    }

    /// Returns the route with the longest prefix of `path` at `host`. The port and case of `host`
    /// are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        list.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Regions in which the requests of all routes of `host` may be processed.
    #[must_use]
    pub fn host_regions(&self, host: &str) -> AllowedRegions {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str());
        let regions = routes.into_iter().flatten().map(|r| &r.regions);
        regions.fold(AllowedRegions::ANY, |all, one| all.intersection(one))
    }

    /// Rank of a request to `service` among all of its requests. `accounts` are the priorities
    /// that client accounts set.
    #[must_use]
    pub fn rank(&self, service: &str, priority: u8, accounts: &[u8]) -> Rank {
        let known = self.priorities.get(service);
        known.map_or(Rank::ONLY, |routes| routes.rank(priority, accounts))
    }

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name sent to servers.
    pub name: SmolStr,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be processed, in addition to the restriction of the route.
    pub regions: AllowedRegions,
}

/// Client accounts by API key. Without configured accounts, no key is required.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    keys: Option<HashMap<SmolStr, Arc<Account>>>,
    priorities: Vec<u8>,
}

/// Result of the authentication of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No key is required.
    Anonymous,
    /// The account to which the key belongs.
    Known(Arc<Account>),
    /// The key is missing or belongs to no account.
    Unknown,
}

impl Accounts {
    /// Builds the table from accounts and their keys.
    #[must_use]
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<SmolStr>)>) -> Self {
        let mut keys = HashMap::new();
        let mut priorities = Vec::new();
        for (account, held) in accounts {
            priorities.extend(account.priority);
            let account = Arc::new(account);
            keys.extend(held.into_iter().map(|key| (key, account.clone())));
        }
        priorities.sort_unstable();
        priorities.dedup();
        Self {
            keys: Some(keys),
            priorities,
        }
    }

    /// Distinct priorities set by accounts, in ascending order.
    #[must_use]
    pub fn priorities(&self) -> &[u8] {
        &self.priorities
    }

    /// The account named `name`.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.keys
            .iter()
            .flat_map(HashMap::values)
            .find(|a| a.name == name)
    }

    /// Authenticates a call of `route` with `key`.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.keys else {
            return Caller::Anonymous;
        };
        if route.public {
            return Caller::Anonymous;
        }
        let account = key.and_then(|k| keys.get(k));
        account.map_or(Caller::Unknown, |a| Caller::Known(a.clone()))
    }
}

//! Route table of a configuration: maps a request to a service and its handling rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

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

/// Range of the priorities of all routes to one service; 0 is the highest priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityRange {
    /// Highest priority, as the smallest number.
    pub highest: u8,
    /// Lowest priority, as the largest number.
    pub lowest: u8,
}

/// Routes by host, ordered by descending prefix length.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
    priorities: HashMap<SmolStr, PriorityRange>,
}

impl RouteTable {
    /// Builds the table from `routes`.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        let mut priorities: HashMap<SmolStr, PriorityRange> = HashMap::new();
        for route in routes {
            let priority = route.priority;
            for target in &route.targets {
                let (highest, lowest) = (priority, priority);
                let known = priorities.entry(target.service.clone());
                let known = known.or_insert(PriorityRange { highest, lowest });
                known.highest = known.highest.min(priority);
                known.lowest = known.lowest.max(priority);
            }
            let list = hosts.entry(route.host.clone()).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts, priorities }
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

    /// Priority range of the routes to `service`.
    #[must_use]
    pub fn priorities(&self, service: &str) -> Option<PriorityRange> {
        self.priorities.get(service).copied()
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
    highest: Option<u8>,
}

/// Whether `priority` is the highest among the requests of a service whose priorities differ. False
/// if all requests of the service have the same priority.
#[must_use]
pub fn is_highest_priority(priority: u8, routes: PriorityRange, accounts: Option<u8>) -> bool {
    let highest = accounts.map_or(routes.highest, |a| a.min(routes.highest));
    priority == highest && highest < routes.lowest
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
        let mut highest = None;
        for (account, held) in accounts {
            highest = highest.into_iter().chain(account.priority).min();
            let account = Arc::new(account);
            keys.extend(held.into_iter().map(|key| (key, account.clone())));
        }
        Self {
            keys: Some(keys),
            highest,
        }
    }

    /// Highest priority set by an account, if any account sets one.
    #[must_use]
    pub const fn highest_priority(&self) -> Option<u8> {
        self.highest
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

//! Route table of a configuration: maps a request to a service and its handling rules.

mod accounts;
mod weight;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

pub use self::accounts::{Account, Accounts, Caller, UnusableAccounts};
pub use self::weight::{Weight, WeightError};
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
    pub weight: Weight,
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

    /// Selects the service for one request by weight; `None` if all weights are zero. `draw` is
    /// uniform in 0..1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&SmolStr> {
        let targets = self.targets.iter().filter(|t| !t.weight.is_zero());
        let total: f64 = targets.clone().map(|t| t.weight.as_f64()).sum();
        let mut left = draw * total;
        let mut last = None;
        for target in targets {
            left -= target.weight.as_f64();
            last = Some(&target.service);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// A route that cannot be used, but whose host and prefix are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableRoute {
    /// Name shown in logs.
    pub name: SmolStr,
    /// Host name of the request, in lower case.
    pub host: SmolStr,
    /// Path prefix that starts and ends with a slash.
    pub prefix: SmolStr,
}

/// A route at its place in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteEntry {
    /// It is in use.
    Usable(Arc<Route>),
    /// Its requests are refused, so that no other route runs them.
    Unusable(Arc<UnusableRoute>),
}

impl RouteEntry {
    fn host(&self) -> &SmolStr {
        match self {
            Self::Usable(route) => &route.host,
            Self::Unusable(route) => &route.host,
        }
    }

    fn prefix(&self) -> &SmolStr {
        match self {
            Self::Usable(route) => &route.prefix,
            Self::Unusable(route) => &route.prefix,
        }
    }

    fn route(&self) -> Option<&Arc<Route>> {
        match self {
            Self::Usable(route) => Some(route),
            Self::Unusable(_) => None,
        }
    }
}

/// Result of a search for the route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// The route.
    Found(&'a Arc<Route>),
    /// The request belongs to a route that cannot be used.
    Unusable(&'a UnusableRoute),
    /// No route matches, but the host or prefix of some route cannot be read.
    Unknown,
    /// No route matches.
    Missing,
}

/// Routes by host, ordered by descending prefix length.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<RouteEntry>>,
    /// Whether the host or prefix of some route cannot be read.
    hides_places: bool,
    priorities: HashMap<SmolStr, ServicePriorities>,
}

impl RouteTable {
    /// Builds the table from `routes`.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let entries = routes.into_iter().map(Arc::new).map(RouteEntry::Usable);
        Self::with_unusable(entries.collect(), false)
    }

    /// Builds the table from routes of which some cannot be used. `hides_places` states that there
    /// are others whose host or prefix cannot be read.
    #[must_use]
    pub fn with_unusable(entries: Vec<RouteEntry>, hides_places: bool) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<RouteEntry>> = HashMap::new();
        let mut stated: HashMap<SmolStr, Vec<_>> = HashMap::new();
        for entry in entries {
            if let Some(route) = entry.route() {
                for target in &route.targets {
                    let of_service = stated.entry(target.service.clone()).or_default();
                    of_service.push((route.priority, route.target));
                }
            }
            hosts.entry(entry.host().clone()).or_default().push(entry);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|entry| std::cmp::Reverse(entry.prefix().len()));
        }
        let priorities = stated.into_iter();
        let priorities = priorities.map(|(service, of)| (service, ServicePriorities::new(&of)));
        Self {
            hosts,
            hides_places,
            priorities: priorities.collect(),
        }
    }

    /// Services to which routes send requests.
    pub fn services(&self) -> impl Iterator<Item = &SmolStr> {
        self.priorities.keys()
    }

    /// Returns the route with the longest prefix of `path` at `host`. The port and case of `host`
    /// are ignored.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str) -> Lookup<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.hosts.get(name.to_ascii_lowercase().as_str());
        let mut list = list.into_iter().flatten();
        match list.find(|entry| path.starts_with(entry.prefix().as_str())) {
            Some(RouteEntry::Usable(route)) => Lookup::Found(route),
            Some(RouteEntry::Unusable(route)) => Lookup::Unusable(route),
            None if self.hides_places => Lookup::Unknown,
            None => Lookup::Missing,
        }
    }

    /// The route of [`Self::lookup`], if it can be used.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        match self.lookup(host, path) {
            Lookup::Found(route) => Some(route),
            Lookup::Unusable(_) | Lookup::Unknown | Lookup::Missing => None,
        }
    }

    /// Regions in which the requests of all routes of `host` may be processed.
    #[must_use]
    pub fn host_regions(&self, host: &str) -> AllowedRegions {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str());
        let routes = routes.into_iter().flatten().filter_map(RouteEntry::route);
        let regions = routes.map(|r| &r.regions);
        regions.fold(AllowedRegions::ANY, |all, one| all.intersection(one))
    }

    /// Rank of a request to `service` among all of its requests. `accounts` are the priorities
    /// that client accounts set.
    #[must_use]
    pub fn rank(&self, service: &str, priority: u8, accounts: &[u8]) -> Rank {
        let known = self.priorities.get(service);
        known.map_or(Rank::ONLY, |routes| routes.rank(priority, accounts))
    }

    /// Iterates over all routes that can be used.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().filter_map(RouteEntry::route)
    }
}

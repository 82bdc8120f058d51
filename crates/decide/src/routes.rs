//! Routes of a configuration: which service a request goes to, and what may be done with it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

/// What repeating a request means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events; repeatable only where it can be resumed.
    Stream,
}

/// A service that a route leads to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of requests, relative to the other targets.
    pub weight: u32,
}

/// A route: requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: SmolStr,
    /// Host that callers name, in lower case.
    pub host: SmolStr,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// What repeating a request means.
    pub kind: CallKind,
    /// Longest time for which a request may be kept waiting.
    pub timeout: Duration,
    /// Latency objective: the whole answer, or the first event of a stream.
    pub target: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub gap: Option<Duration>,
    /// Rank of its requests; 0 goes first.
    pub priority: u8,
    /// Most servers that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Services that its requests go to.
    pub targets: Vec<Target>,
}

impl Route {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// The service for one request; `draw` is uniform in 0..1.
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

/// Priorities of the routes that lead to a service; 0 goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityRange {
    /// The most urgent one.
    pub highest: u8,
    /// The least urgent one.
    pub lowest: u8,
}

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
    priorities: HashMap<SmolStr, PriorityRange>,
}

impl RouteTable {
    /// A table of `routes`.
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

    /// The route of `path` at `host`, whose port and case do not matter.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        list.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Priorities of the routes that lead to `service`.
    #[must_use]
    pub fn priorities(&self, service: &str) -> Option<PriorityRange> {
        self.priorities.get(service).copied()
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name that servers are told.
    pub name: SmolStr,
    /// Rank of its requests in place of the route's.
    pub priority: Option<u8>,
}

/// Accounts by key. Without accounts no key is needed.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    keys: Option<HashMap<SmolStr, Arc<Account>>>,
    highest: Option<u8>,
}

/// Whether a request of `priority` goes before all others of its service, of which some have a lesser
/// priority. Where all have the same priority nobody goes first.
#[must_use]
pub fn is_highest_priority(priority: u8, routes: PriorityRange, accounts: Option<u8>) -> bool {
    let highest = accounts.map_or(routes.highest, |a| a.min(routes.highest));
    priority == highest && highest < routes.lowest
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No key is needed.
    Anonymous,
    /// The account that holds the key.
    Known(Arc<Account>),
    /// No account holds the key.
    Unknown,
}

impl Accounts {
    /// Accounts, each with its keys.
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

    /// The most urgent priority that an account gives its requests, if one does.
    #[must_use]
    pub const fn highest_priority(&self) -> Option<u8> {
        self.highest
    }

    /// Who calls `route` with `key`.
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

//! The network between VMs: hosts, link rates, delays and fault rules that can change at any time.

mod rules;
mod shaping;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::{Region, Zone};
use smol_str::SmolStr;
use tokio::sync::watch;

pub use self::rules::{Fault, Port, Rule, RuleId, Side};
pub(crate) use self::rules::{RuleWatch, Rules, effects};
pub use self::shaping::LinkShaping;
use crate::bucket::Bucket;

/// Something with an address: a VM, a client or a service of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Id of the VM, or name of the client or service.
    pub id: SmolStr,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Whether it is a client; [`LinkShaping::clients`] then adds to the delay.
    pub client: bool,
}

type Pair = (SmolStr, SmolStr);
type Counters = HashMap<Pair, Arc<AtomicU64>>;

struct Shared {
    shape: LinkShaping,
    seed: u64,
    rules: watch::Sender<Rules>,
    next_number: AtomicU64,
    hosts: Mutex<HashMap<IpAddr, Host>>,
    links: Mutex<HashMap<Pair, Bucket>>,
    by_link: Mutex<Counters>,
    /// The same counters, by the regions of both hosts. They include unregistered hosts.
    by_region: Mutex<HashMap<(Region, Region), Counters>>,
    dropped: AtomicU64,
}

/// The network. Clones share its state.
#[derive(Clone)]
pub struct Network(Arc<Shared>);

impl Network {
    /// Creates a network without faults. Jitter is drawn from `seed`.
    #[must_use]
    pub fn new(shape: LinkShaping, seed: u64) -> Self {
        Self(Arc::new(Shared {
            shape,
            seed,
            rules: watch::Sender::new(Rules::default()),
            next_number: AtomicU64::new(0),
            hosts: Mutex::default(),
            links: Mutex::default(),
            by_link: Mutex::default(),
            by_region: Mutex::default(),
            dropped: AtomicU64::new(0),
        }))
    }

    /// Registers the host with the address `ip`.
    pub fn register(&self, ip: IpAddr, host: Host) {
        lock(&self.0.hosts).insert(ip, host);
    }

    /// Returns the host with the address `ip`.
    #[must_use]
    pub fn host(&self, ip: IpAddr) -> Option<Host> {
        lock(&self.0.hosts).get(&ip).cloned()
    }

    /// Adds a rule that applies until all rules are removed. It also affects existing connections.
    pub fn inject(&self, rule: Rule) {
        let _ = self.add(rule);
    }

    /// Adds a rule. It also affects existing connections.
    #[must_use]
    pub fn add(&self, rule: Rule) -> RuleId {
        let id = RuleId(self.next_number());
        self.0
            .rules
            .send_modify(|rules| Arc::make_mut(rules).push((id, rule)));
        id
    }

    /// Adds the same fault in both directions between two sides.
    #[must_use]
    pub fn add_both(&self, a: &Side, b: &Side, fault: &Fault) -> [RuleId; 2] {
        let forward = Rule::new(a.clone(), b.clone(), fault.clone());
        let backward = Rule::new(b.clone(), a.clone(), fault.clone());
        [self.add(forward), self.add(backward)]
    }

    /// Removes rules.
    pub fn remove_rules(&self, ids: &[RuleId]) {
        let keep = |rule: &(RuleId, Rule)| !ids.contains(&rule.0);
        self.0
            .rules
            .send_modify(|rules| Arc::make_mut(rules).retain(keep));
    }

    /// Removes all rules.
    pub fn heal(&self) {
        self.0.rules.send_replace(Rules::default());
    }

    /// Bytes transferred, by id of sender and receiver.
    #[must_use]
    pub fn bytes_by_link(&self) -> HashMap<Pair, u64> {
        let read =
            |(pair, count): (&Pair, &Arc<AtomicU64>)| (pair.clone(), count.load(Ordering::Relaxed));
        lock(&self.0.by_link).iter().map(read).collect()
    }

    /// Bytes transferred from one region to another.
    #[must_use]
    pub fn bytes_between(&self, from: &Region, to: &Region) -> u64 {
        let by_region = lock(&self.0.by_region);
        let counters = by_region.get(&(from.clone(), to.clone()));
        let counters = counters.into_iter().flat_map(HashMap::values);
        counters.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Bytes dropped by cuts.
    #[must_use]
    pub fn dropped_bytes(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn record_dropped(&self, count: u64) {
        self.0.dropped.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.0.next_number.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn seed(&self) -> u64 {
        self.0.seed
    }

    pub(crate) fn watch(&self) -> RuleWatch {
        self.0.rules.subscribe()
    }

    pub(crate) fn counter(&self, from: &Host, to: &Host) -> Arc<AtomicU64> {
        let pair = (from.id.clone(), to.id.clone());
        let counter = lock(&self.0.by_link)
            .entry(pair.clone())
            .or_default()
            .clone();
        let regions = (from.region.clone(), to.region.clone());
        let mut by_region = lock(&self.0.by_region);
        let counters = by_region.entry(regions).or_default();
        counters.insert(pair, counter.clone());
        counter
    }

    /// Rate limiters that apply between two hosts.
    pub(crate) fn buckets(&self, from: &Host, to: &Host) -> Vec<Bucket> {
        let shape = &self.0.shape;
        let mut keys = vec![
            (
                SmolStr::new_static("up"),
                from.id.clone(),
                shape.link_rate(from),
            ),
            (
                SmolStr::new_static("down"),
                to.id.clone(),
                shape.link_rate(to),
            ),
        ];
        if from.region != to.region {
            let pair = [from.region.as_str(), to.region.as_str()].join(" ");
            keys.push((
                SmolStr::new_static("between"),
                SmolStr::new(pair),
                shape.between,
            ));
        }
        let mut links = lock(&self.0.links);
        let limited = keys
            .into_iter()
            .filter_map(|(kind, key, rate)| Some((kind, key, rate?)));
        limited
            .map(|(kind, key, rate)| {
                let make = || Bucket::new(Some(rate.bytes_per_second()));
                links.entry((kind, key)).or_insert_with(make).clone()
            })
            .collect()
    }

    /// Minimum delay between two hosts, and its jitter.
    pub(crate) fn delay(&self, from: &Host, to: &Host) -> (Duration, Duration) {
        self.0.shape.delay(from, to)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

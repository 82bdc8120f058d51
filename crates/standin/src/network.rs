//! The network between VMs: hosts, link rates, delays and fault rules that can change at any time.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::{Rate, Region, Zone};
use smol_str::SmolStr;
use tokio::sync::watch;

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

/// Kind of port that a connection goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Port {
    /// The port for other daemons.
    Peers,
    /// The port for clients.
    Callers,
    /// A service of the platform.
    Platform,
}

/// A set of hosts on one side of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// All hosts.
    Any,
    /// One VM, client or service, by id.
    Vm(SmolStr),
    /// All hosts of a zone.
    Zone(Zone),
    /// All hosts of a region.
    Region(Region),
}

impl Side {
    /// Selects the VM, client or service with this id.
    #[must_use]
    pub fn vm(id: &str) -> Self {
        Self::Vm(SmolStr::new(id))
    }

    fn matches(&self, host: &Host) -> bool {
        match self {
            Self::Any => true,
            Self::Vm(id) => *id == host.id,
            Self::Zone(zone) => *zone == host.zone,
            Self::Region(region) => *region == host.region,
        }
    }
}

/// What happens to bytes sent from one side to the other.
#[derive(Clone, Debug)]
pub enum Fault {
    /// They are delayed by `base` plus a random part of `jitter`, and stay in order.
    Delay {
        /// Minimum delay.
        base: Duration,
        /// Largest additional delay, drawn for each segment.
        jitter: Duration,
    },
    /// They share this rate with all other traffic that matches the same rule.
    Rate(Bucket),
    /// They are held until the rule is removed, then all arrive.
    Stall,
    /// They are dropped while the connection stays open. It is reset once the rule is removed,
    /// because a TCP connection never delivers bytes that follow a gap.
    Cut,
    /// As `Cut`, after this many more bytes have passed over all connections.
    CutAfter(Arc<AtomicU64>),
    /// Existing and new connections opened by the first side are reset.
    Reset,
    /// As `Reset`, after this many more bytes have passed over all connections.
    ResetAfter(Arc<AtomicU64>),
    /// New connections opened by the first side are closed at once; existing ones are not affected.
    Refuse,
    /// One bit is flipped in each byte whose offset in the connection is a multiple of this, except
    /// the first byte.
    CorruptEvery(u64),
    /// One bit is flipped in the byte at this offset of each connection.
    CorruptAt(u64),
}

impl Fault {
    /// [`Fault::Cut`] after `count` more bytes.
    #[must_use]
    pub fn cut_after(count: u64) -> Self {
        Self::CutAfter(Arc::new(AtomicU64::new(count)))
    }

    /// [`Fault::Reset`] after `count` more bytes.
    #[must_use]
    pub fn reset_after(count: u64) -> Self {
        Self::ResetAfter(Arc::new(AtomicU64::new(count)))
    }

    /// Limits the traffic to `rate`, shared by all connections that match the rule.
    #[must_use]
    pub fn rate(rate: Rate) -> Self {
        Self::Rate(Bucket::new(Some(rate.bytes_per_second())))
    }
}

/// A fault that affects the traffic from one side to another.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Sender of the bytes.
    pub from: Side,
    /// Receiver of the bytes.
    pub to: Side,
    /// Port that the connection was opened to, in both directions of traffic; all ports by default.
    pub port: Option<Port>,
    /// The fault.
    pub fault: Fault,
}

impl Rule {
    /// Creates a rule for all ports.
    #[must_use]
    pub fn new(from: Side, to: Side, fault: Fault) -> Self {
        let port = None;
        Self {
            from,
            to,
            port,
            fault,
        }
    }

    /// Restricts the rule to connections to one kind of port.
    #[must_use]
    pub fn on(mut self, port: Port) -> Self {
        self.port = Some(port);
        self
    }
}

/// Identifies a rule, for its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RuleId(u64);

/// Rates and delays of the network without faults.
#[derive(Clone, Debug, Default)]
pub struct LinkShaping {
    /// One-way delay between zones of a region.
    pub zones: Duration,
    /// One-way delay between regions.
    pub regions: Duration,
    /// One-way delay between clients and VMs.
    pub clients: Duration,
    /// Largest random addition to each of these delays.
    pub jitter: Duration,
    /// Rate between two regions in each direction, shared by all traffic.
    pub between: Option<Rate>,
    /// Rate of each VM's link, in each direction.
    pub vm: Option<Rate>,
    /// Rate of the links of the weight store and of the origin, in each direction.
    pub store: Option<Rate>,
}

pub(crate) type Rules = Arc<Vec<(RuleId, Rule)>>;
pub(crate) type RuleWatch = watch::Receiver<Rules>;
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
                self.link_rate(from),
            ),
            (
                SmolStr::new_static("down"),
                to.id.clone(),
                self.link_rate(to),
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

    fn link_rate(&self, host: &Host) -> Option<Rate> {
        let shape = &self.0.shape;
        match host.id.as_str() {
            "store" | "origin" => shape.store,
            "configuration" | "vms" => None,
            _ if host.client => None,
            _ => shape.vm,
        }
    }

    /// Minimum delay between two hosts, and its jitter.
    pub(crate) fn delay(&self, from: &Host, to: &Host) -> (Duration, Duration) {
        let shape = &self.0.shape;
        let mut base = Duration::ZERO;
        if from.client || to.client {
            base += shape.clients;
        }
        if from.region != to.region {
            base += shape.regions;
        } else if from.zone != to.zone {
            base += shape.zones;
        }
        let jitter = if base.is_zero() { base } else { shape.jitter };
        (base, jitter)
    }
}

/// Faults that apply to one direction of a connection.
pub(crate) fn effects(rules: &Rules, from: &Host, to: &Host, port: Port) -> Vec<Fault> {
    let matching = rules.iter().filter(|(_, rule)| {
        let matches = rule.from.matches(from) && rule.to.matches(to);
        matches && rule.port.is_none_or(|p| p == port)
    });
    matching.map(|(_, rule)| rule.fault.clone()).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

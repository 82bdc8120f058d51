//! The network between VMs: hosts, link rates, delays and fault rules that change at any time.

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
    /// Id of the VM, or a name.
    pub id: SmolStr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is a client, which is farther away.
    pub client: bool,
}

/// Which port of a VM a connection goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Port {
    /// The port for other daemons.
    Peers,
    /// The port for callers.
    Callers,
    /// A service of the platform.
    Platform,
}

/// A set of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// All.
    Any,
    /// One VM, client or service, by id.
    Vm(SmolStr),
    /// All of a zone.
    Zone(Zone),
    /// All of a region.
    Region(Region),
}

impl Side {
    /// The VM, client or service called `id`.
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

/// What happens to bytes on their way from one side to the other.
#[derive(Clone, Debug)]
pub enum Fault {
    /// They arrive later by `base` and up to `jitter`, in order.
    Delay {
        /// Least delay.
        base: Duration,
        /// Greatest addition, drawn for each piece.
        jitter: Duration,
    },
    /// They share this rate with all other traffic under the same rule.
    Rate(Bucket),
    /// They wait until the rule is lifted, then all arrive.
    Stall,
    /// They vanish, and the connection stays. It is reset once the rule is lifted, since a TCP
    /// connection never delivers what follows a gap.
    Cut,
    /// As `Cut`, once this many further bytes have passed over all connections.
    CutAfter(Arc<AtomicU64>),
    /// Connections opened by the first side are reset, live and new ones.
    Reset,
    /// As `Reset`, once this many further bytes have passed over all connections.
    ResetAfter(Arc<AtomicU64>),
    /// New connections of the first side are closed at once; live ones go on.
    Refuse,
    /// One bit changes in each byte whose offset in the connection is a multiple of this, but
    /// for the first byte.
    CorruptEvery(u64),
    /// One bit changes in the byte at this offset of each connection.
    CorruptAt(u64),
}

impl Fault {
    /// Cuts after `count` further bytes.
    #[must_use]
    pub fn cut_after(count: u64) -> Self {
        Self::CutAfter(Arc::new(AtomicU64::new(count)))
    }

    /// Resets after `count` further bytes.
    #[must_use]
    pub fn reset_after(count: u64) -> Self {
        Self::ResetAfter(Arc::new(AtomicU64::new(count)))
    }

    /// Limits to `rate`, shared by all connections under the rule.
    #[must_use]
    pub fn rate(rate: Rate) -> Self {
        Self::Rate(Bucket::new(Some(rate.bytes_per_second())))
    }
}

/// A fault on the way from one side to another.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Where the bytes come from.
    pub from: Side,
    /// Where they go.
    pub to: Side,
    /// Port of the connection, whichever way the bytes go; all by default.
    pub port: Option<Port>,
    /// What happens.
    pub fault: Fault,
}

impl Rule {
    /// A rule for all ports.
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

    /// The same rule for connections to one kind of port.
    #[must_use]
    pub fn on(mut self, port: Port) -> Self {
        self.port = Some(port);
        self
    }
}

/// Names a rule, to lift it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RuleId(u64);

/// Rates and delays of the calm network.
#[derive(Clone, Debug, Default)]
pub struct LinkShaping {
    /// One-way delay between zones of a region.
    pub zones: Duration,
    /// One-way delay between regions.
    pub regions: Duration,
    /// One-way delay between clients and VMs.
    pub clients: Duration,
    /// Greatest addition to each of these delays.
    pub jitter: Duration,
    /// Rate each way between two regions, shared by all.
    pub between: Option<Rate>,
    /// Rate of each VM's link, each way.
    pub vm: Option<Rate>,
    /// Rate of the links of the weight store and of the origin, each way.
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
    /// The same counters by the regions of both ends, those of unregistered hosts included.
    by_region: Mutex<HashMap<(Region, Region), Counters>>,
    dropped: AtomicU64,
}

/// The network. Clones share it.
#[derive(Clone)]
pub struct Network(Arc<Shared>);

impl Network {
    /// A network of the given shape without faults. Jitter is drawn from `seed`.
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

    /// Says who has the address `ip`.
    pub fn register(&self, ip: IpAddr, host: Host) {
        lock(&self.0.hosts).insert(ip, host);
    }

    /// Who has the address `ip`.
    #[must_use]
    pub fn host(&self, ip: IpAddr) -> Option<Host> {
        lock(&self.0.hosts).get(&ip).cloned()
    }

    /// Puts a rule in force until all rules are lifted, for live connections too.
    pub fn inject(&self, rule: Rule) {
        let _ = self.add(rule);
    }

    /// Puts a rule in force, for live connections too.
    #[must_use]
    pub fn add(&self, rule: Rule) -> RuleId {
        let id = RuleId(self.next_number());
        self.0
            .rules
            .send_modify(|rules| Arc::make_mut(rules).push((id, rule)));
        id
    }

    /// Puts the same fault in force both ways between two sides.
    #[must_use]
    pub fn add_both(&self, a: &Side, b: &Side, fault: &Fault) -> [RuleId; 2] {
        let forward = Rule::new(a.clone(), b.clone(), fault.clone());
        let backward = Rule::new(b.clone(), a.clone(), fault.clone());
        [self.add(forward), self.add(backward)]
    }

    /// Lifts rules.
    pub fn remove_rules(&self, ids: &[RuleId]) {
        let keep = |rule: &(RuleId, Rule)| !ids.contains(&rule.0);
        self.0
            .rules
            .send_modify(|rules| Arc::make_mut(rules).retain(keep));
    }

    /// Lifts all rules.
    pub fn heal(&self) {
        self.0.rules.send_replace(Rules::default());
    }

    /// Bytes carried by sending and receiving id.
    #[must_use]
    pub fn bytes_by_link(&self) -> HashMap<Pair, u64> {
        let read =
            |(pair, count): (&Pair, &Arc<AtomicU64>)| (pair.clone(), count.load(Ordering::Relaxed));
        lock(&self.0.by_link).iter().map(read).collect()
    }

    /// Bytes carried from one region to another.
    #[must_use]
    pub fn bytes_between(&self, from: &Region, to: &Region) -> u64 {
        let by_region = lock(&self.0.by_region);
        let counters = by_region.get(&(from.clone(), to.clone()));
        let counters = counters.into_iter().flat_map(HashMap::values);
        counters.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Bytes that vanished in cuts.
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

    /// The shared limits on the way between two hosts.
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

    /// Least delay between two hosts and its jitter.
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

/// The faults that are in force on one way of one connection.
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

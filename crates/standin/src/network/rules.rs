//! Rules that apply faults to the traffic between hosts.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use apricothall_types::{Rate, Region, Zone};
use smol_str::SmolStr;
use tokio::sync::watch;

use super::Host;
use crate::bucket::Bucket;

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
pub struct RuleId(pub(super) u64);

pub(crate) type Rules = Arc<Vec<(RuleId, Rule)>>;
pub(crate) type RuleWatch = watch::Receiver<Rules>;

/// Faults that apply to one direction of a connection.
pub(crate) fn effects(rules: &Rules, from: &Host, to: &Host, port: Port) -> Vec<Fault> {
    let matching = rules.iter().filter(|(_, rule)| {
        let matches = rule.from.matches(from) && rule.to.matches(to);
        matches && rule.port.is_none_or(|p| p == port)
    });
    matching.map(|(_, rule)| rule.fault.clone()).collect()
}

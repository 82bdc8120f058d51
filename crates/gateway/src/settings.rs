//! Settings of a process on machines whose platform hands them out.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use apricothall_decide::placement::Distance;
use apricothall_types::{MemberId, Rate, Region, Role, Zone};
use smol_str::SmolStr;

/// Settings of one process, as translated from the platform's form.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Id of this daemon.
    pub id: MemberId,
    /// What it does.
    pub role: Role,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM.
    pub region: Region,
    /// Address of its VM.
    pub ip: IpAddr,
    /// Port for other daemons, over TCP and UDP, on every VM.
    pub peer_port: u16,
    /// Ports for other daemons of VMs that may know others.
    pub seeds: Vec<SocketAddr>,
    /// Region of each zone.
    pub regions: HashMap<Zone, Region>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The engine of this VM; agents only.
    pub engine: Option<LocalEngine>,
    /// Rate of the VM's link.
    pub link: Rate,
    /// The platform's store.
    pub store: SocketAddr,
    /// Bounds that must be kept.
    pub bounds: Bounds,
}

impl Settings {
    /// How far `zone` is.
    #[must_use]
    pub fn distance(&self, zone: &Zone) -> Distance {
        if *zone == self.zone {
            return Distance::Zone;
        }
        if self.regions.get(zone) == Some(&self.region) {
            return Distance::Region;
        }
        Distance::Far
    }
}

/// Addresses that a process listens on; what its role does not serve is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: Option<SocketAddr>,
    /// Whether this entry takes callers.
    pub ready: Option<SocketAddr>,
    /// Metrics and status.
    pub control: Option<SocketAddr>,
    /// Which entries to use.
    pub directory: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// The engine beside an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: SmolStr,
}

/// Bounds that must be kept, as times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From a key's removal until it is refused, if that is enforced on cut-off daemons too.
    pub revoke: Option<Duration>,
    /// From a termination signal until the process is killed.
    pub grace: Duration,
    /// From a version's ack until no request begins on an older one.
    pub version: Duration,
    /// Between two writes of a living server's entry.
    pub heartbeat: Duration,
    /// Longest time that callers keep addresses.
    pub keep: Duration,
    /// Repeats allowed in a window, as a share of its requests.
    pub repeat_ratio: f64,
    /// Repeats allowed beside that share, over all entries.
    pub repeat_extra: f64,
}

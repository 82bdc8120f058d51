//! Settings of a process, as provided by the platform.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use apricothall_decide::placement::Distance;
use apricothall_decide::server_limits::Tolerance;
use apricothall_types::{Bytes, MemberId, Rate, Region, Role, Zone};
use smol_str::SmolStr;

/// Settings of one process, converted from the platform's format.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Id of this daemon.
    pub id: MemberId,
    /// Role of this daemon.
    pub role: Role,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM.
    pub region: Region,
    /// Address of its VM.
    pub ip: IpAddr,
    /// Port for other daemons, over TCP and UDP, equal on all VMs.
    pub peer_port: u16,
    /// Addresses of daemons that introduce this one to others.
    pub seeds: Vec<SocketAddr>,
    /// Region of each zone.
    pub regions: HashMap<Zone, Region>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The engine of this VM; agents only.
    pub engine: Option<LocalEngine>,
    /// Bandwidth of the VM's network link.
    pub link: Rate,
    /// Memory of the process; the platform ends one that takes more.
    pub memory: Bytes,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time limits and retry limits to be kept.
    pub bounds: Bounds,
}

/// Settings as read, with what in them cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadSettings {
    /// The settings to apply.
    pub settings: Settings,
    /// Fields that were replaced or left out, with what was found and what is used, in words for
    /// operators.
    pub unusable: Vec<SmolStr>,
}

impl Settings {
    /// Distance of `zone`.
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

/// Addresses to listen on; `None` for what the role does not serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: Option<SocketAddr>,
    /// Readiness check.
    pub ready: Option<SocketAddr>,
    /// Metrics and status.
    pub control: Option<SocketAddr>,
    /// Entry discovery.
    pub directory: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// The engine on an agent's VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalEngine {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: SmolStr,
}

/// Time limits and retry limits to be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time from the removal of a key until it is refused, if this is enforced on
    /// disconnected daemons too.
    pub revoke: Option<Duration>,
    /// Time from a termination signal until the process is killed.
    pub grace: Duration,
    /// Maximum time from the acknowledgement of a version until no request begins on an older one.
    pub version: Duration,
    /// Interval between two writes of a live server's entry.
    pub heartbeat: Duration,
    /// Maximum time for which callers cache addresses.
    pub keep: Duration,
    /// Retries allowed per window, as a fraction of its requests.
    pub repeat_ratio: f64,
    /// Retries allowed in addition to that fraction, over all entries.
    pub repeat_extra: f64,
    /// Requests that a cold server tolerates beyond its limit.
    pub cold: Tolerance,
}

//! Settings files of the daemons that a harness starts.

use std::net::{IpAddr, SocketAddr};

use apricothall_types::{Region, Role, Zone};
use smol_str::SmolStr;
use toml::{Table, Value};

/// Advertised port for other daemons, on which the proxy listens.
pub const PEERS_PORT: u16 = 7_000;
/// Port for other daemons on which the daemon itself listens.
pub const PEERS_LISTEN_PORT: u16 = 7_001;
/// Port for operators.
pub const OPERATORS_PORT: u16 = 7_002;
/// Port from which the engines of the VM fetch weights.
pub const WEIGHTS_PORT: u16 = 7_003;
/// Advertised port for clients, on which the proxy listens.
pub const CALLERS_PORT: u16 = 7_080;
/// Port for clients on which the daemon itself listens.
pub const CALLERS_LISTEN_PORT: u16 = 7_081;
/// Port of the first backend server.
pub const SERVER_PORT: u16 = 7_200;

/// Addresses of the platform's services, as configured in daemons. They belong to the proxies.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    /// Configuration service.
    pub configuration: SocketAddr,
    /// List of VMs.
    pub vms: SocketAddr,
    /// Weight store.
    pub store: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// Values for the settings file of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Id of the VM.
    pub id: SmolStr,
    /// Role of the daemon.
    pub role: Role,
    /// Region of the VM.
    pub region: Region,
    /// Zone of the VM.
    pub zone: Zone,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Region of the weight store.
    pub store: Region,
    /// Engines, with their numbers of slots.
    pub engines: Vec<(SocketAddr, u32)>,
    /// Plain services, with the names of their catalogue entries.
    pub services: Vec<(SocketAddr, SmolStr)>,
    /// Additional settings, which override the generated ones.
    pub extra: Table,
}

impl DaemonSettings {
    /// Renders the settings file.
    #[must_use]
    pub fn render(&self) -> String {
        let mut table = Table::new();
        table.insert("daemon".into(), self.daemon().into());
        table.insert(
            "peers".into(),
            self.ports(PEERS_LISTEN_PORT, Some(PEERS_PORT)).into(),
        );
        table.insert("operators".into(), self.ports(OPERATORS_PORT, None).into());
        table.insert("platform".into(), self.platform().into());
        if self.role == Role::Entry {
            let callers = self.ports(CALLERS_LISTEN_PORT, Some(CALLERS_PORT));
            table.insert("callers".into(), callers.into());
        }
        if !self.engines.is_empty() {
            let weights = self.ports(WEIGHTS_PORT, None);
            table.insert("weights".into(), weights.into());
        }
        let servers = self.servers();
        if !servers.is_empty() {
            table.insert("servers".into(), servers.into());
        }
        merge(&mut table, &self.extra);
        table.to_string()
    }

    fn daemon(&self) -> Table {
        texts([
            ("id", self.id.to_string()),
            ("region", self.region.to_string()),
            ("zone", self.zone.to_string()),
            ("address", self.ip.to_string()),
        ])
    }

    fn ports(&self, listen: u16, advertise: Option<u16>) -> Table {
        let at = |port| SocketAddr::new(self.ip, port).to_string();
        let mut table = texts([("listen", at(listen))]);
        if let Some(port) = advertise {
            table.insert("advertise".into(), at(port).into());
        }
        table
    }

    fn platform(&self) -> Table {
        texts([
            ("configuration", self.platform.configuration.to_string()),
            ("vms", self.platform.vms.to_string()),
            ("store", self.platform.store.to_string()),
            ("origin", self.platform.origin.to_string()),
            ("region", self.store.to_string()),
        ])
    }

    fn servers(&self) -> Vec<Value> {
        let engines = self.engines.iter().map(|(address, slots)| {
            let kind = "engine".to_owned();
            let mut table = texts([("kind", kind), ("address", address.to_string())]);
            table.insert("slots".into(), i64::from(*slots).into());
            Value::Table(table)
        });
        let services = self.services.iter().map(|(address, name)| {
            let kind = "service".to_owned();
            let address = address.to_string();
            let name = name.to_string();
            Value::Table(texts([
                ("kind", kind),
                ("address", address),
                ("name", name),
            ]))
        });
        engines.chain(services).collect()
    }
}

fn texts<const N: usize>(pairs: [(&str, String); N]) -> Table {
    let pairs = pairs.into_iter();
    pairs
        .map(|(key, value)| (key.to_owned(), value.into()))
        .collect()
}

/// Merges `extra` into `table`. Nested tables are merged recursively.
pub fn merge(table: &mut Table, extra: &Table) {
    for (key, value) in extra {
        match (table.get_mut(key), value) {
            (Some(Value::Table(old)), Value::Table(new)) => merge(old, new),
            _ => {
                table.insert(key.clone(), value.clone());
            }
        }
    }
}

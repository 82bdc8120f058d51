//! A fleet of real daemons and the test doubles of the systems around them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use apricothall_types::{Region, Role, Zone};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::Instant;
use toml::Table;

use crate::StandinError;
use crate::addresses::Addresses;
use crate::network::{Host, Network};
use crate::node::Node;
use crate::plan::{Plan, VmPlan};
use crate::platform::Platform;
use crate::settings::{DaemonSettings, merge};

/// Timeout of all waits, far above what a loaded machine needs.
pub const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Environment variable that keeps the directory with settings and logs after a run.
const KEEP_VARIABLE: &str = "APRICOTHALL_KEEP";

static COUNTER: AtomicU32 = AtomicU32::new(0);

/// Directory for settings and logs. It is kept if the test fails.
struct RunDir(PathBuf);

impl RunDir {
    fn create() -> Result<Self, StandinError> {
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("apricothall-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        if std::thread::panicking() || std::env::var_os(KEEP_VARIABLE).is_some() {
            eprintln!("settings and logs kept in {}", self.0.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running fleet.
pub struct Fleet {
    /// Network between all VMs, clients and services.
    pub network: Network,
    /// Services of the platform.
    pub platform: Platform,
    /// VMs, by id.
    pub nodes: BTreeMap<SmolStr, Node>,
    addresses: Addresses,
    run_dir: RunDir,
    binary: PathBuf,
    store: Region,
    extra: Table,
}

impl Fleet {
    /// Starts the platform, lists the VMs and starts all daemons, without waiting until they are
    /// ready.
    ///
    /// # Errors
    /// Returns an error if a service, proxy or daemon cannot be started.
    pub async fn start(plan: Plan) -> Result<Self, StandinError> {
        let mut addresses = Addresses::reserve()?;
        let network = Network::new(plan.shape.clone(), plan.seed);
        let platform = Platform::start(&plan, addresses.allocate()?, &network).await?;
        if let Some(text) = &plan.catalogue {
            platform.config.publish("catalogue", text.clone());
        }
        let mut fleet = Self {
            network,
            platform,
            nodes: BTreeMap::new(),
            addresses,
            run_dir: RunDir::create()?,
            binary: plan.binary,
            store: plan.home.0,
            extra: plan.extra,
        };
        let mut ids = Vec::new();
        for vm in plan.vms {
            ids.push(fleet.start_node(vm).await?);
        }
        let vms: Result<Vec<_>, _> = fleet.nodes.values().map(Node::vm).collect();
        fleet.platform.vms.list(vms?);
        for id in ids {
            fleet.node_mut(&id).launch()?;
        }
        Ok(fleet)
    }

    /// Starts another VM, lists it and starts its daemon.
    ///
    /// # Errors
    /// Returns an error if a service, proxy or daemon cannot be started.
    pub async fn add(&mut self, vm: VmPlan) -> Result<(), StandinError> {
        let id = self.start_node(vm).await?;
        let listed = self.node(&id).vm()?;
        self.platform.vms.list([listed]);
        self.node_mut(&id).launch()
    }

    /// Stops a VM with everything that runs on it and removes it from the VM list.
    ///
    /// # Errors
    /// Returns an error if its id is invalid.
    pub async fn remove(&mut self, id: &str) -> Result<(), StandinError> {
        if let Some(node) = self.nodes.remove(id) {
            let vm = node.vm()?;
            node.close().await;
            self.platform.vms.remove_vm(&vm.id);
        }
        Ok(())
    }

    async fn start_node(&mut self, vm: VmPlan) -> Result<SmolStr, StandinError> {
        let ip = self.addresses.allocate()?;
        let id = vm.id.clone();
        let mut settings = DaemonSettings {
            id: vm.id.clone(),
            role: vm.role,
            region: vm.region.clone(),
            zone: vm.zone.clone(),
            ip,
            platform: self.platform.addresses,
            store: self.store.clone(),
            engines: Vec::new(),
            services: Vec::new(),
            extra: self.extra.clone(),
        };
        merge(&mut settings.extra, &vm.extra);
        let node = Node::start(vm, ip, &self.network, &self.binary, &self.run_dir.0).await?;
        node.add_servers(&mut settings);
        std::fs::write(node.settings_path(), settings.render())?;
        self.nodes.insert(id.clone(), node);
        Ok(id)
    }

    /// Returns the VM with this id.
    ///
    /// # Panics
    /// Panics if there is none.
    #[must_use]
    pub fn node(&self, id: &str) -> &Node {
        self.nodes
            .get(id)
            .unwrap_or_else(|| panic!("no VM with id {id}"))
    }

    /// Returns the VM with this id.
    ///
    /// # Panics
    /// Panics if there is none.
    #[must_use]
    pub fn node_mut(&mut self, id: &str) -> &mut Node {
        let found = self.nodes.get_mut(id);
        found.unwrap_or_else(|| panic!("no VM with id {id}"))
    }

    /// Directory with the settings and logs.
    #[must_use]
    pub fn run_dir(&self) -> &Path {
        &self.run_dir.0
    }

    /// The entries, in order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|n| n.plan.role == Role::Entry)
    }

    /// The agents, in order of their ids.
    pub fn agents(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|n| n.plan.role == Role::Agent)
    }

    /// Addresses of the VMs that match, for outages by source address.
    pub fn sources(&self, matches: impl Fn(&VmPlan) -> bool) -> Vec<IpAddr> {
        let nodes = self.nodes.values();
        nodes.filter(|n| matches(&n.plan)).map(|n| n.ip).collect()
    }

    /// Allocates an address for a client and registers it in the given region and zone.
    ///
    /// # Errors
    /// Returns an error if no address is left or a name is invalid.
    pub fn client(&mut self, id: &str, region: &str, zone: &str) -> Result<IpAddr, StandinError> {
        let ip = self.addresses.allocate()?;
        let (region, zone): (Region, Zone) = (region.parse()?, zone.parse()?);
        let host = Host {
            id: SmolStr::new(id),
            region,
            zone,
            client: true,
        };
        self.network.register(ip, host);
        Ok(ip)
    }

    /// Waits until all running daemons are ready.
    ///
    /// # Errors
    /// Returns an error with the end of the log of a daemon that is not ready in time.
    pub async fn ready(&self) -> Result<(), StandinError> {
        for node in self.nodes.values() {
            let Some(process) = &node.process else {
                continue;
            };
            let check = async || {
                if node.is_ready().await {
                    Ok(())
                } else {
                    Err(process.tail())
                }
            };
            until(&format!("readiness of {}", node.plan.id), check).await?;
        }
        Ok(())
    }

    /// Waits until the `/status` of one VM satisfies `test`.
    ///
    /// # Errors
    /// Returns an error with the last status if the wait times out.
    pub async fn status_until(
        &self,
        id: &str,
        what: &str,
        test: impl Fn(&Value) -> bool,
    ) -> Result<Value, StandinError> {
        let node = self.node(id);
        let check = async || match node.status().await {
            Ok(status) if test(&status) => Ok(status),
            Ok(status) => Err(status.to_string()),
            Err(e) => Err(e.to_string()),
        };
        until(&format!("{what} at {id}"), check).await
    }

    /// Stops all daemons, test doubles and proxies.
    pub async fn close(self) {
        for node in self.nodes.into_values() {
            node.close().await;
        }
        self.platform.close().await;
    }
}

/// Repeats `check` until it succeeds.
///
/// # Errors
/// Returns the error of the last check after [`WAIT_LIMIT`].
pub async fn until<T>(
    what: &str,
    check: impl AsyncFn() -> Result<T, String>,
) -> Result<T, StandinError> {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let last = match check().await {
            Ok(value) => return Ok(value),
            Err(last) => last,
        };
        if Instant::now() >= end {
            let what = SmolStr::new(what);
            return Err(StandinError::Timeout { what, last });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

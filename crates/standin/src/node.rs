//! One VM of a fleet: its daemon, its backend servers and its proxies.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use apricothall_types::{MemberId, Revision};
use apricothall_types::{Role, Vm, VmState};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;

use crate::StandinError;
use crate::client::{Answer, Client};
use crate::engine::Engine;
use crate::network::{Host, Network, Port};
use crate::plan::VmPlan;
use crate::process::Process;
use crate::proxy::{Proxy, Target};
use crate::service::PlainService;
use crate::settings::{
    CALLERS_LISTEN_PORT, CALLERS_PORT, DaemonSettings, OPERATORS_PORT, PEERS_LISTEN_PORT,
    PEERS_PORT, SERVER_PORT,
};

/// Timeout of a request to the operator port.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(2);

/// A VM and the processes and test doubles that run on it.
pub struct Node {
    /// Plan that the VM was created from.
    pub plan: VmPlan,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// The daemon, unless it was killed and not started again.
    pub process: Option<Process>,
    /// Engines of the VM.
    pub engines: Vec<Engine>,
    /// Plain services of the VM.
    pub services: Vec<PlainService>,
    proxies: Vec<Proxy>,
    binary: PathBuf,
    dir: PathBuf,
}

impl Node {
    /// Starts the backend servers and proxies, but not the daemon.
    pub(crate) async fn start(
        plan: VmPlan,
        ip: IpAddr,
        network: &Network,
        binary: &Path,
        dir: &Path,
    ) -> Result<Self, StandinError> {
        let host = Host {
            id: plan.id.clone(),
            region: plan.region.clone(),
            zone: plan.zone.clone(),
            client: false,
        };
        network.register(ip, host.clone());
        let mut node = Self {
            plan,
            ip,
            process: None,
            engines: Vec::new(),
            services: Vec::new(),
            proxies: Vec::new(),
            binary: binary.to_owned(),
            dir: dir.to_owned(),
        };
        node.start_servers().await?;
        let peers = (PEERS_PORT, PEERS_LISTEN_PORT, Port::Peers);
        let callers = (CALLERS_PORT, CALLERS_LISTEN_PORT, Port::Callers);
        let is_entry = node.plan.role == Role::Entry;
        for (listen, behind, port) in std::iter::once(peers).chain(is_entry.then_some(callers)) {
            let target = Target {
                listen: SocketAddr::new(ip, listen),
                upstream: SocketAddr::new(ip, behind),
                host: host.clone(),
                port,
            };
            node.proxies.push(Proxy::start(network, target).await?);
        }
        Ok(node)
    }

    async fn start_servers(&mut self) -> Result<(), StandinError> {
        let mut port = SERVER_PORT;
        for settings in &self.plan.engines {
            let address = SocketAddr::new(self.ip, port);
            self.engines
                .push(Engine::start(address, settings.clone()).await?);
            port += 1;
        }
        for _ in &self.plan.services {
            let address = SocketAddr::new(self.ip, port);
            self.services.push(PlainService::start(address).await?);
            port += 1;
        }
        Ok(())
    }

    /// Adds the backend servers to the daemon's settings.
    pub(crate) fn add_servers(&self, settings: &mut DaemonSettings) {
        let engines = self.engines.iter().zip(&self.plan.engines);
        settings.engines = engines.map(|(e, plan)| (e.address(), plan.slots)).collect();
        let services = self.services.iter().zip(&self.plan.services);
        settings.services = services
            .map(|(s, name)| (s.address(), name.clone()))
            .collect();
    }

    /// The VM, as it appears in the platform's VM list.
    ///
    /// # Errors
    /// Returns an error if its id is invalid.
    pub fn vm(&self) -> Result<Vm, StandinError> {
        let id: MemberId = self.plan.id.parse()?;
        Ok(Vm {
            id,
            address: SocketAddr::new(self.ip, PEERS_PORT),
            role: self.plan.role,
            region: self.plan.region.clone(),
            zone: self.plan.zone.clone(),
            state: VmState::Live,
            since: Revision(0),
        })
    }

    /// Path of the daemon's settings file.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.toml", self.plan.id))
    }

    /// Starts the daemon, or starts it again after a kill.
    ///
    /// # Errors
    /// Returns an error if the binary cannot be started.
    pub fn launch(&mut self) -> Result<(), StandinError> {
        let path = self.settings_path();
        let path = path.to_string_lossy();
        let role = self.plan.role.to_string();
        let args = [role.as_str(), "--config", &path];
        let process = Process::spawn(&self.plan.id, &self.binary, &args, &self.dir)?;
        self.process = Some(process);
        Ok(())
    }

    /// Kills the daemon and waits until it has exited.
    pub async fn kill(&mut self) {
        if let Some(process) = self.process.take() {
            process.close().await;
        }
    }

    /// Address for clients, whether or not the VM is an entry.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Requests a path from the operator port.
    ///
    /// # Errors
    /// Returns an error if the daemon does not respond in time.
    pub async fn operator(&self, path: &str) -> Result<Answer, StandinError> {
        let uri = format!("http://{}{path}", SocketAddr::new(self.ip, OPERATORS_PORT));
        let client = Client::default();
        let call = client.call(Method::GET, &uri, Bytes::new());
        let limited = tokio::time::timeout(OPERATOR_TIMEOUT, call).await;
        limited.unwrap_or_else(|_| {
            Err(StandinError::Timeout {
                what: uri.as_str().into(),
                last: "no answer".into(),
            })
        })
    }

    /// Requests `/status`.
    ///
    /// # Errors
    /// Returns an error if the daemon does not respond in time, or not with JSON.
    pub async fn status(&self) -> Result<Value, StandinError> {
        self.operator("/status").await?.json()
    }

    /// Whether `/readyz` responds with 200.
    pub async fn is_ready(&self) -> bool {
        let answer = self.operator("/readyz").await;
        answer.is_ok_and(|a| a.status == StatusCode::OK)
    }

    /// Stops everything that runs on the VM.
    pub async fn close(mut self) {
        self.kill().await;
        for proxy in self.proxies {
            proxy.close().await;
        }
        for engine in self.engines {
            engine.close().await;
        }
        for service in self.services {
            service.close().await;
        }
    }
}

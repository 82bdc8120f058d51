//! Plug-in that tracks the backend servers of this VM and what they serve.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use apricothall_clients::{EngineClient, HttpClient, ServiceClient, Serving};
use apricothall_decide::server_limits::Sender;
use apricothall_fleet::{MembershipView, StatusBoard};
use apricothall_kernel::configs::{ServerConfig, ServerKind};
use apricothall_kernel::{Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{EntryName, Holding, HoldingState, Load, Role, Version};
use linkme::distributed_slice;
use serde_json::json;
use smol_str::SmolStr;

use crate::admission::Gate;
use crate::transfers::WantedVersions;

mod engine;
mod service;

pub use engine::Engine;
pub use service::Service;

#[distributed_slice(PLUGINS)]
static SERVERS: Plugin = Plugin {
    name: "backend servers",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Interval between two reads of an engine's state.
const STATE_PERIOD: Duration = Duration::from_millis(200);

/// Timeout of a read of an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Version under which plain services are announced.
pub const SERVICE_VERSION: &str = "service";

/// Counts a request at a server as running until dropped.
pub struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All backend servers of this VM.
pub struct Servers {
    /// Model engines.
    pub engines: Vec<Arc<Engine>>,
    /// Plain services.
    pub services: Vec<Arc<Service>>,
    held_versions: RwLock<Vec<Holding>>,
}

impl Servers {
    fn new(context: &Context, http: &HttpClient) -> Self {
        let configs = &context.settings.servers;
        let own = Sender {
            id: context.settings.daemon.id.clone(),
            zone: context.settings.daemon.zone.clone(),
            region: context.settings.daemon.region.clone(),
        };
        let gate = |config: &ServerConfig| {
            let admission = context.settings.admission.clone();
            let slots = config.slots.get();
            Arc::new(Gate::new(admission, slots, &own, context.clock))
        };
        let engines = configs.iter().filter(|c| c.kind == ServerKind::Engine);
        let engines = engines.map(|config| {
            let client = EngineClient::new(http.clone(), config.address);
            Arc::new(Engine::new(config.clone(), client, gate(config)))
        });
        let services = configs.iter().filter_map(|config| {
            let name = config.name.clone()?;
            let client = ServiceClient::new(http.clone(), config.address);
            let service = Service::new(name, config.clone(), client, gate(config));
            Some(Arc::new(service))
        });
        Self {
            engines: engines.collect(),
            services: services.collect(),
            held_versions: RwLock::default(),
        }
    }

    /// Sets the versions held in memory; returns whether that is a change.
    pub fn set_held_versions(&self, held: Vec<Holding>) -> bool {
        let mut old = self
            .held_versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let is_new = *old != held;
        *old = held;
        is_new
    }

    /// Returns all holdings for the member record. A version that is served or loaded is not listed
    /// again as held.
    fn holdings(&self) -> Vec<Holding> {
        let mut all = self.serving();
        for target in self.engines.iter().filter_map(|e| e.reloading()) {
            let Serving { name, version, .. } = target;
            all.push(Holding {
                name,
                version,
                state: HoldingState::Loading,
            });
        }
        let held = self
            .held_versions
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        for holding in held.iter() {
            let is_same = |h: &Holding| h.name == holding.name && h.version == holding.version;
            if !all.iter().any(is_same) {
                all.push(holding.clone());
            }
        }
        all
    }

    /// Returns the engine with the fewest requests among those that serve `version`.
    #[must_use]
    pub fn engine(&self, name: &EntryName, version: &Version) -> Option<Arc<Engine>> {
        let candidates = self.engines.iter().filter(|e| e.serves(name, version));
        candidates
            .min_by_key(|e| e.running() + e.gate.queued())
            .cloned()
    }

    /// Returns the server with the fewest requests among those of a plain service.
    #[must_use]
    pub fn service(&self, name: &EntryName) -> Option<Arc<Service>> {
        let candidates = self.services.iter().filter(|s| s.name == *name);
        candidates
            .min_by_key(|s| s.running() + s.gate.queued())
            .cloned()
    }

    /// Returns the total load of all servers.
    #[must_use]
    pub fn load(&self) -> Load {
        let engines = self
            .engines
            .iter()
            .map(|e| (e.running(), &e.gate, &e.config));
        let services = self.services.iter();
        let services = services.map(|s| (s.running(), &s.gate, &s.config));
        engines
            .chain(services)
            .fold(Load::default(), |sum, (running, gate, config)| Load {
                running: sum.running + running,
                queued: sum.queued + gate.queued(),
                slots: sum.slots + config.slots.get(),
            })
    }

    /// Returns the versions in service and the plain services, for the member record.
    #[must_use]
    pub fn serving(&self) -> Vec<Holding> {
        let mut names_and_versions = BTreeSet::new();
        for serving in self.engines.iter().filter_map(|e| e.serving()) {
            names_and_versions.insert((serving.name, serving.version));
        }
        if let Ok(version) = SERVICE_VERSION.parse::<Version>() {
            for service in &self.services {
                names_and_versions.insert((service.name.clone(), version.clone()));
            }
        }
        let state = HoldingState::Serving;
        let keys = names_and_versions.into_iter();
        keys.map(|(name, version)| Holding {
            name,
            version,
            state,
        })
        .collect()
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let http = context.component::<HttpClient>()?;
    let servers = Arc::new(Servers::new(context, &http));
    context.provide(servers.clone());
    context.provide(Arc::new(WantedVersions::default()));
    let view = context.component::<MembershipView>()?;
    announce(&servers, &view);
    context
        .lifecycle
        .spawn(refuse_waiting(context.lifecycle.clone(), servers.clone()));
    for engine in &servers.engines {
        let watched = watch_engine(engine.clone(), servers.clone(), view.clone());
        context.lifecycle.spawn(watched);
    }
    add_status(context, servers)
}

fn add_status(context: &Context, servers: Arc<Servers>) -> Result<(), StartError> {
    let board = context.component::<StatusBoard>()?;
    let status_source = servers.clone();
    board.add_section("servers", move || {
        let states = status_source.engines.iter().map(|e| {
            json!({
                "address": e.config.address, "state": e.state(), "offered": e.serving()
            })
        });
        let services = status_source.services.iter().map(|s| {
            json!({
                "address": s.config.address, "name": s.name
            })
        });
        json!({ "load": status_source.load(), "engines": states.collect::<Vec<_>>(),
                "services": services.collect::<Vec<_>>() })
    });
    let status_source = servers.clone();
    board.add_section("admission", move || {
        let engines = status_source
            .engines
            .iter()
            .map(|e| (e.config.address, &e.gate));
        let services = status_source
            .services
            .iter()
            .map(|s| (s.config.address, &s.gate));
        let gates = engines.chain(services);
        gates
            .map(|(address, gate)| (address.to_string(), gate.status()))
            .collect::<serde_json::Map<_, _>>()
            .into()
    });
    board.add_condition(move || unready_reason(&servers));
    Ok(())
}

fn unready_reason(servers: &Servers) -> Option<SmolStr> {
    let unresponsive = servers.engines.iter().find(|e| e.state().is_none())?;
    Some(smol_str::format_smolstr!(
        "engine {} does not answer",
        unresponsive.config.address
    ))
}

/// Updates the member record from the state of the servers.
pub fn announce(servers: &Servers, view: &MembershipView) {
    // Computed under the lock of the view, so that an older state cannot overwrite a newer one.
    view.update_own(|own| own.holdings = servers.holdings());
}

/// Refuses all waiting requests as soon as the agent is leaving; entries send them to other agents.
async fn refuse_waiting(lifecycle: Lifecycle, servers: Arc<Servers>) {
    lifecycle.drain_started().await;
    servers.engines.iter().for_each(|e| e.gate.drain());
    servers.services.iter().for_each(|s| s.gate.drain());
}

async fn watch_engine(engine: Arc<Engine>, servers: Arc<Servers>, view: Arc<MembershipView>) {
    loop {
        let state = engine.client.state(STATE_TIMEOUT).await;
        engine.observe(state.ok());
        announce(&servers, &view);
        tokio::time::sleep(STATE_PERIOD).await;
    }
}

//! Plug-in that knows the backend servers of this VM and what they serve.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use apricothall_clients::{EngineClient, EngineState, HttpClient, ServiceClient, Serving};
use apricothall_fleet::{CatalogueState, StatusBoard, View};
use apricothall_kernel::configs::{ServerConfig, ServerKind};
use apricothall_kernel::{Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Catalogue, EntryName, Holding, HoldingState, Load, Role, Version};
use linkme::distributed_slice;
use serde_json::json;
use smol_str::SmolStr;

use crate::admission::Gate;
use crate::transfers::Wants;

#[distributed_slice(PLUGINS)]
static SERVERS: Plugin = Plugin {
    name: "backend servers",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Time between two reads of an engine's state.
const STATE_PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for an engine's state.
const STATE_LIMIT: Duration = Duration::from_secs(1);

/// Version under which a plain service is announced.
pub const SERVICE_VERSION: &str = "service";

/// One engine of this VM.
pub struct Engine {
    /// Its settings.
    pub config: ServerConfig,
    /// Calls it.
    pub client: EngineClient,
    /// Its slots.
    pub gate: Arc<Gate>,
    state: RwLock<Option<EngineState>>,
    confirmed: RwLock<Confirmed>,
    withdrawn: AtomicBool,
    reloading: RwLock<Option<Serving>>,
    running: AtomicU32,
}

/// What an engine is known to serve by a load, whatever it says later.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Confirmed {
    /// Nothing was ordered since this daemon started.
    #[default]
    Untouched,
    /// The last order has not succeeded.
    Nothing,
    /// The last order succeeded in this boot of the engine.
    Serving { boot: SmolStr, serving: Serving },
}

/// One plain service of this VM.
pub struct Service {
    /// Its catalogue entry.
    pub name: EntryName,
    /// Its settings.
    pub config: ServerConfig,
    /// Calls it.
    pub client: ServiceClient,
    /// Its slots.
    pub gate: Arc<Gate>,
    running: AtomicU32,
}

/// Counts a request at a server as running until dropped.
pub struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// What the engine last said of itself; `None` while it does not answer.
    #[must_use]
    pub fn state(&self) -> Option<EngineState> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The version that the engine is offered for: it says that it serves what it was last
    /// ordered to, without a restart since, and it is not withdrawn.
    #[must_use]
    pub fn serving(&self) -> Option<Serving> {
        if self.withdrawn.load(Ordering::Acquire) {
            return None;
        }
        let state = self.state()?;
        let said = state.serving.filter(|_| !state.loading)?;
        let confirmed = self
            .confirmed
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match &*confirmed {
            Confirmed::Serving { boot, serving } => {
                (*boot == state.boot && *serving == said).then_some(said)
            }
            Confirmed::Untouched | Confirmed::Nothing => None,
        }
    }

    /// Takes over what an earlier daemon of this VM has loaded, if the catalogue knows it.
    pub fn adopt(&self, catalogue: &Catalogue) {
        let Some(state) = self.state().filter(|s| !s.loading) else {
            return;
        };
        let Some(serving) = state.serving else {
            return;
        };
        let entry = catalogue.entry(&serving.name);
        let mut versions = entry.into_iter().flat_map(|e| &e.versions);
        let is_known =
            versions.any(|v| v.version == serving.version && v.manifest == serving.manifest);
        let mut confirmed = self.write_confirmed();
        if is_known && *confirmed == Confirmed::Untouched {
            let boot = state.boot;
            *confirmed = Confirmed::Serving { boot, serving };
        }
    }

    /// Notes that a load was ordered whose result is not known.
    pub fn unconfirm(&self) {
        *self.write_confirmed() = Confirmed::Nothing;
    }

    /// Notes what the engine serves after a load.
    pub fn confirm(&self, state: EngineState) {
        if let Some(serving) = state.serving.clone() {
            let boot = state.boot.clone();
            *self.write_confirmed() = Confirmed::Serving { boot, serving };
        }
        self.observe(Some(state));
    }

    /// Notes that the engine, which served until now, is reloaded as planned, or no longer.
    pub fn set_reloading(&self, target: Option<Serving>) {
        *self
            .reloading
            .write()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// What the engine is reloaded with as planned.
    fn reloading(&self) -> Option<Serving> {
        self.reloading
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes the engine out of service or back; returns whether that is a change.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.swap(withdrawn, Ordering::AcqRel) != withdrawn
    }

    /// Whether no request runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.load(Ordering::Acquire) == 0
    }

    fn write_confirmed(&self) -> std::sync::RwLockWriteGuard<'_, Confirmed> {
        self.confirmed
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what the engine says of itself.
    pub fn observe(&self, state: Option<EngineState>) {
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Counts a request as running.
    #[must_use]
    pub fn begin(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.running)
    }

    fn serves(&self, name: &EntryName, version: &Version) -> bool {
        self.serving()
            .is_some_and(|s| s.name == *name && s.version == *version)
    }
}

impl Service {
    /// Counts a request as running.
    #[must_use]
    pub fn begin(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.running)
    }
}

/// All backend servers of this VM.
pub struct Servers {
    /// Model engines.
    pub engines: Vec<Arc<Engine>>,
    /// Plain services.
    pub services: Vec<Arc<Service>>,
    held: RwLock<Vec<Holding>>,
}

impl Servers {
    fn new(context: &Context, http: &HttpClient) -> Self {
        let configs = &context.settings.servers;
        let gate = |config: &ServerConfig| {
            let admission = context.settings.admission.clone();
            Arc::new(Gate::new(admission, config.slots.get(), context.clock))
        };
        let engines = configs.iter().filter(|c| c.kind == ServerKind::Engine);
        let engines = engines.map(|config| {
            Arc::new(Engine {
                config: config.clone(),
                client: EngineClient::new(http.clone(), config.address),
                gate: gate(config),
                state: RwLock::default(),
                confirmed: RwLock::default(),
                withdrawn: AtomicBool::new(false),
                reloading: RwLock::default(),
                running: AtomicU32::new(0),
            })
        });
        let services = configs.iter().filter_map(|config| {
            let name = config.name.clone()?;
            let client = ServiceClient::new(http.clone(), config.address);
            let running = AtomicU32::new(0);
            Some(Arc::new(Service {
                name,
                config: config.clone(),
                client,
                gate: gate(config),
                running,
            }))
        });
        Self {
            engines: engines.collect(),
            services: services.collect(),
            held: RwLock::default(),
        }
    }

    /// Sets the versions held in memory; returns whether that is a change.
    pub fn set_held(&self, held: Vec<Holding>) -> bool {
        let mut old = self.held.write().unwrap_or_else(PoisonError::into_inner);
        let is_new = *old != held;
        *old = held;
        is_new
    }

    /// All holdings for the member record; what serves is not listed as held besides.
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
        let held = self.held.read().unwrap_or_else(PoisonError::into_inner);
        for holding in held.iter() {
            let is_same = |h: &Holding| h.name == holding.name && h.version == holding.version;
            if !all.iter().any(is_same) {
                all.push(holding.clone());
            }
        }
        all
    }

    /// The engine with the fewest requests of those that serve `version`.
    #[must_use]
    pub fn engine(&self, name: &EntryName, version: &Version) -> Option<Arc<Engine>> {
        let able = self.engines.iter().filter(|e| e.serves(name, version));
        able.min_by_key(|e| e.running.load(Ordering::Relaxed) + e.gate.queued())
            .cloned()
    }

    /// The plain service behind a catalogue entry.
    #[must_use]
    pub fn service(&self, name: &EntryName) -> Option<Arc<Service>> {
        let able = self.services.iter().filter(|s| s.name == *name);
        able.min_by_key(|s| s.running.load(Ordering::Relaxed) + s.gate.queued())
            .cloned()
    }

    /// Work at all servers together.
    #[must_use]
    pub fn load(&self) -> Load {
        let engines = self
            .engines
            .iter()
            .map(|e| (&e.running, &e.gate, &e.config));
        let services = self.services.iter();
        let services = services.map(|s| (&s.running, &s.gate, &s.config));
        engines
            .chain(services)
            .fold(Load::default(), |sum, (running, gate, config)| Load {
                running: sum.running + running.load(Ordering::Relaxed),
                queued: sum.queued + gate.queued(),
                slots: sum.slots + config.slots.get(),
            })
    }

    /// Versions in service and plain services, for the member record.
    #[must_use]
    pub fn serving(&self) -> Vec<Holding> {
        let mut found = BTreeSet::new();
        for serving in self.engines.iter().filter_map(|e| e.serving()) {
            found.insert((serving.name, serving.version));
        }
        if let Ok(version) = SERVICE_VERSION.parse::<Version>() {
            for service in &self.services {
                found.insert((service.name.clone(), version.clone()));
            }
        }
        let state = HoldingState::Serving;
        let keys = found.into_iter();
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
    context.provide(Arc::new(Wants::default()));
    let view = context.component::<View>()?;
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
    let catalogue = context.component::<CatalogueState>()?;
    let shown = servers.clone();
    board.section("servers", move || {
        let states = shown.engines.iter().map(|e| {
            json!({
                "address": e.config.address, "state": e.state(), "offered": e.serving()
            })
        });
        let services = shown.services.iter().map(|s| {
            json!({
                "address": s.config.address, "name": s.name
            })
        });
        json!({ "load": shown.load(), "engines": states.collect::<Vec<_>>(),
                "services": services.collect::<Vec<_>>() })
    });
    let shown = servers.clone();
    board.section("admission", move || {
        let engines = shown.engines.iter().map(|e| (e.config.address, &e.gate));
        let services = shown.services.iter().map(|s| (s.config.address, &s.gate));
        let gates = engines.chain(services);
        gates
            .map(|(address, gate)| (address.to_string(), gate.status()))
            .collect::<serde_json::Map<_, _>>()
            .into()
    });
    board.condition(move || unready(&servers, &catalogue));
    Ok(())
}

fn unready(servers: &Servers, _: &CatalogueState) -> Option<SmolStr> {
    let silent = servers.engines.iter().find(|e| e.state().is_none())?;
    Some(smol_str::format_smolstr!(
        "engine {} does not answer",
        silent.config.address
    ))
}

/// Keeps the member record equal to what the servers say.
pub fn announce(servers: &Servers, view: &View) {
    // Computed under the lock of the view, so that the last change wins.
    view.update_own(|own| own.holdings = servers.holdings());
}

/// Refuses what waits as soon as the agent leaves; entries send it elsewhere.
async fn refuse_waiting(lifecycle: Lifecycle, servers: Arc<Servers>) {
    lifecycle.drain_started().await;
    servers.engines.iter().for_each(|e| e.gate.drain());
    servers.services.iter().for_each(|s| s.gate.drain());
}

async fn watch_engine(engine: Arc<Engine>, servers: Arc<Servers>, view: Arc<View>) {
    loop {
        let state = engine.client.state(STATE_LIMIT).await;
        engine.observe(state.ok());
        announce(&servers, &view);
        tokio::time::sleep(STATE_PERIOD).await;
    }
}

//! Plug-in that tracks the backend servers of this VM and what they serve.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use apricothall_clients::limit::LIMIT_HEADER;
use apricothall_clients::{
    EngineClient, EngineState, HttpClient, NamedLimit, PlatformError, ServiceAnswer, ServiceCall,
    ServiceClient, Serving,
};
use apricothall_decide::server_limits::Sender;
use apricothall_fleet::{CatalogueState, MembershipView, StatusBoard};
use apricothall_kernel::configs::{ServerConfig, ServerKind};
use apricothall_kernel::{Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Catalogue, EntryName, Holding, HoldingState, Load, Role, Version};
use linkme::distributed_slice;
use serde_json::json;
use smol_str::SmolStr;

use crate::admission::Gate;
use crate::transfers::WantedVersions;

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

/// A model engine of this VM.
pub struct Engine {
    /// Settings of the server.
    pub config: ServerConfig,
    /// Client for the server.
    pub client: EngineClient,
    /// Admission gate of the server.
    pub gate: Arc<Gate>,
    state: RwLock<Option<EngineState>>,
    confirmed: RwLock<Confirmed>,
    withdrawn: AtomicBool,
    reloading: RwLock<Option<Serving>>,
    running: AtomicU32,
}

/// What an engine serves according to the result of its last load, regardless of later reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Confirmed {
    /// No load was ordered since this daemon started.
    #[default]
    NoOrder,
    /// The last load has not succeeded.
    Unconfirmed,
    /// The last load succeeded in this boot of the engine.
    Serving { boot: SmolStr, serving: Serving },
}

/// A plain service of this VM.
pub struct Service {
    /// Name of its catalogue entry.
    pub name: EntryName,
    /// Settings of the server.
    pub config: ServerConfig,
    /// Client for the server.
    pub client: ServiceClient,
    /// Admission gate of the server.
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
    /// Returns the state that the engine last reported; `None` while it does not answer.
    #[must_use]
    pub fn state(&self) -> Option<EngineState> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the version that the engine is offered for. It reports that it serves what it was
    /// last ordered to load, has not restarted since, and is not withdrawn.
    #[must_use]
    pub fn serving(&self) -> Option<Serving> {
        if self.withdrawn.load(Ordering::Acquire) {
            return None;
        }
        let state = self.state()?;
        let reported = state.serving.filter(|_| !state.loading)?;
        let confirmed = self
            .confirmed
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match &*confirmed {
            Confirmed::Serving { boot, serving } => {
                (*boot == state.boot && *serving == reported).then_some(reported)
            }
            Confirmed::NoOrder | Confirmed::Unconfirmed => None,
        }
    }

    /// Accepts a version that was loaded by an earlier daemon process of this VM, if the catalogue
    /// contains it.
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
        if is_known && *confirmed == Confirmed::NoOrder {
            let boot = state.boot;
            *confirmed = Confirmed::Serving { boot, serving };
        }
    }

    /// Records that a load was ordered and its result is pending.
    pub fn unconfirm(&self) {
        *self.write_confirmed() = Confirmed::Unconfirmed;
    }

    /// Records what the engine serves after a load.
    pub fn confirm(&self, state: EngineState) {
        if let Some(serving) = state.serving.clone() {
            let boot = state.boot.clone();
            *self.write_confirmed() = Confirmed::Serving { boot, serving };
        }
        self.observe(Some(state));
    }

    /// Sets the target of a planned reload of an engine that served until now; `None` ends it.
    pub fn set_reloading(&self, target: Option<Serving>) {
        *self
            .reloading
            .write()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Returns the target of a planned reload.
    fn reloading(&self) -> Option<Serving> {
        self.reloading
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Withdraws the engine from service or returns it to service; returns whether that is a
    /// change.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.swap(withdrawn, Ordering::AcqRel) != withdrawn
    }

    /// Returns whether no request is running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.load(Ordering::Acquire) == 0
    }

    fn write_confirmed(&self) -> std::sync::RwLockWriteGuard<'_, Confirmed> {
        self.confirmed
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the state that the engine reports.
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
    /// Makes the call and records the limit that the service names.
    ///
    /// # Errors
    /// When there is no complete answer within `wait`.
    pub async fn call(
        &self,
        call: ServiceCall,
        wait: Duration,
    ) -> Result<ServiceAnswer, PlatformError> {
        let sent = self.gate.now();
        let answer = self.client.call(call, wait).await?;
        let named = NamedLimit::read(&answer.headers, &LIMIT_HEADER);
        self.gate.record_limit(named, sent);
        Ok(answer)
    }

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
            .min_by_key(|e| e.running.load(Ordering::Relaxed) + e.gate.queued())
            .cloned()
    }

    /// Returns the server with the fewest requests among those of a plain service.
    #[must_use]
    pub fn service(&self, name: &EntryName) -> Option<Arc<Service>> {
        let candidates = self.services.iter().filter(|s| s.name == *name);
        candidates
            .min_by_key(|s| s.running.load(Ordering::Relaxed) + s.gate.queued())
            .cloned()
    }

    /// Returns the total load of all servers.
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
    let catalogue = context.component::<CatalogueState>()?;
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
    board.add_condition(move || unready_reason(&servers, &catalogue));
    Ok(())
}

fn unready_reason(servers: &Servers, _: &CatalogueState) -> Option<SmolStr> {
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

//! Test double of a model engine, which serves one version of one model with continuous batching
//! and a simulated time per token.

pub mod answer;
mod batch;
pub mod load;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::{Digest, EntryName, Fence, Version};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::server::{Call, Gate, Mode, Server};

/// Fixed behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that may wait.
    pub queue: u32,
    /// Time per token without any concurrent requests.
    pub base: Duration,
    /// Time that each running request adds to the time per token.
    pub share: Duration,
    /// Time from the start of a request to its first token, without the time per token.
    pub prefill: Duration,
    /// Duration of a load after the last byte was received.
    pub load: Duration,
    /// Duration of a restart, during which connections are refused.
    pub restart: Duration,
    /// Delay with which `running` is reported in the state.
    pub lag: Duration,
    /// Whether a load order with an outdated fence is refused.
    pub fenced: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            queue: 16,
            base: Duration::from_millis(4),
            share: Duration::from_millis(1),
            prefill: Duration::from_millis(10),
            load: Duration::from_millis(20),
            restart: Duration::from_millis(300),
            lag: Duration::from_millis(100),
            fenced: true,
        }
    }
}

/// Model version that an engine reports as being served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Name of the model.
    pub name: EntryName,
    /// Version of the model.
    pub version: Version,
    /// Digest of the manifest, as given in the load order.
    pub manifest: Digest,
}

/// Response to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Id of the engine's start; changes with each restart.
    pub boot: SmolStr,
    /// The version being served.
    pub serving: Option<Serving>,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Highest fence received since the start.
    pub fence: Fence,
    /// Number of running requests, reported with [`EngineSettings::lag`].
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that run concurrently.
    pub slots: u32,
}

/// A request that an engine started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// `x-request-id` of the request.
    pub request: SmolStr,
    /// Prompt of the request.
    pub prompt: SmolStr,
    /// Version that ran it, as given in the load order.
    pub version: Version,
    /// Digest of the bytes that were loaded when it ran.
    pub weights: Digest,
    /// Whether the complete response was sent.
    pub finished: bool,
}

/// Injected faults.
#[derive(Clone, Debug, Default)]
struct Faults {
    poison: Option<SmolStr>,
    reported: Option<Version>,
    ignored: bool,
}

/// A waiting or running request.
struct Active {
    request: SmolStr,
    stop: CancellationToken,
    run: Option<usize>,
}

struct State {
    boot: u64,
    serving: Option<(Serving, Digest)>,
    load: u64,
    loading: bool,
    fence: Fence,
    active: HashMap<u64, Active>,
    /// Waiting requests, keyed by rank (0 is the highest priority) and order of arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    running: u32,
    history: VecDeque<(Instant, u32)>,
    last_ticket: u64,
    runs: Vec<Run>,
    faults: Faults,
    crashes: u32,
    orders: Vec<Fence>,
}

struct Core {
    settings: EngineSettings,
    state: Mutex<State>,
    gate: Gate,
    /// Tokens from this index on are withheld.
    pause: watch::Sender<Option<u32>>,
    client: Client,
    name: SmolStr,
}

/// Handle of a running engine.
pub struct Engine {
    core: Arc<Core>,
    server: Server,
}

impl Engine {
    /// Starts an engine without a loaded version.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let core = Arc::new(Core {
            settings,
            state: Mutex::new(State::new()),
            gate: Gate::default(),
            pause: watch::Sender::new(None),
            client: Client::new(Some(address.ip())),
            name: format_smolstr!("{}", uuid::Uuid::new_v4().simple()),
        });
        let inner = core.clone();
        let handler = move |call: Call| answer::answer(inner.clone(), call);
        let server = Server::start(address, core.gate.clone(), handler).await?;
        Ok(Self { core, server })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Current state, without the delay of `running`.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.core.report(Instant::now() + self.core.settings.lag)
    }

    /// Digest of the bytes that are actually being served.
    #[must_use]
    pub fn weights(&self) -> Option<Digest> {
        Some(self.core.lock().serving.as_ref()?.1)
    }

    /// Requests that the engine started to run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.lock().runs.clone()
    }

    /// Fences of the accepted load orders, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<Fence> {
        self.core.lock().orders.clone()
    }

    /// Number of crashes and restarts.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.core.lock().crashes
    }

    /// Makes the engine crash at the first token of each request whose prompt contains `marker`.
    pub fn set_poison(&self, marker: Option<&str>) {
        self.core.lock().faults.poison = marker.map(SmolStr::new);
    }

    /// Makes the engine report this version instead of the ordered one.
    pub fn set_reported(&self, version: Option<Version>) {
        self.core.lock().faults.reported = version;
    }

    /// While `ignored`, answers load orders with 200 but keeps serving the previous version.
    pub fn set_ignored(&self, ignored: bool) {
        self.core.lock().faults.ignored = ignored;
    }

    /// Withholds tokens from this index on, in all responses.
    pub fn pause_at(&self, index: Option<u32>) {
        self.core.pause.send_replace(index);
    }

    /// While `frozen`, stops all work and responses but keeps connections open.
    pub fn set_frozen(&self, frozen: bool) {
        self.core.gate.set_frozen(frozen);
    }

    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.core.gate.set_mode(mode);
    }

    /// Simulates a crash: closes all connections, loses all state and accepts connections again
    /// after the restart time.
    pub fn restart(&self) {
        self.core.crash();
    }

    /// Stops the engine and closes all connections.
    pub async fn close(self) {
        self.core.stop_all();
        self.server.close().await;
    }
}

impl State {
    fn new() -> Self {
        Self {
            boot: 1,
            serving: None,
            load: 0,
            loading: false,
            fence: Fence(0),
            active: HashMap::new(),
            waiting: BTreeMap::new(),
            running: 0,
            history: VecDeque::new(),
            last_ticket: 0,
            runs: Vec::new(),
            faults: Faults::default(),
            crashes: 0,
            orders: Vec::new(),
        }
    }
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// State as reported at `now`, with `running` delayed by the lag.
    fn report(&self, now: Instant) -> EngineState {
        let state = self.lock();
        let seen = now.checked_sub(self.settings.lag).unwrap_or(now);
        let running = state.history.iter().rev().find(|(at, _)| *at <= seen);
        let mut serving = state.serving.as_ref().map(|(serving, _)| serving.clone());
        if let (Some(serving), Some(version)) = (&mut serving, &state.faults.reported) {
            serving.version = version.clone();
        }
        EngineState {
            boot: format_smolstr!("{}-{}", self.name, state.boot),
            serving,
            loading: state.loading,
            fence: state.fence,
            running: running.map_or(0, |(_, count)| *count),
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
            slots: self.settings.slots,
        }
    }

    /// Aborts all requests.
    fn stop_all(&self) {
        let mut state = self.lock();
        state.waiting.clear();
        state.active.values().for_each(|a| a.stop.cancel());
    }

    fn crash(self: &Arc<Self>) {
        self.gate.set_mode(Mode::Refuse);
        self.stop_all();
        let mut state = self.lock();
        state.boot += 1;
        state.crashes += 1;
        state.serving = None;
        state.load += 1;
        state.loading = false;
        state.fence = Fence(0);
        let boot = state.boot;
        drop(state);
        let core = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(core.settings.restart).await;
            if core.lock().boot == boot {
                core.gate.set_mode(Mode::Open);
            }
        });
    }
}

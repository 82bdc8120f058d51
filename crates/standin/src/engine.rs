//! The engine: one version of one model, continuous batching with a modelled token time.

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
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Time of one token with nothing else running.
    pub base: Duration,
    /// Time that each running request adds to a token.
    pub share: Duration,
    /// Time before the first token.
    pub prefill: Duration,
    /// Time of a load after its last byte.
    pub load: Duration,
    /// Time of a restart, in which connections are refused.
    pub restart: Duration,
    /// Age of `running` in the state.
    pub lag: Duration,
    /// Whether an order with an old fence is refused.
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

/// What an engine serves, as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Name of the model.
    pub name: EntryName,
    /// Its version.
    pub version: Version,
    /// Digest of its manifest, as ordered.
    pub manifest: Digest,
}

/// Answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Differs after each restart.
    pub boot: SmolStr,
    /// What is served.
    pub serving: Option<Serving>,
    /// Whether a load is under way.
    pub loading: bool,
    /// Highest fence seen since the start.
    pub fence: Fence,
    /// Requests running a while ago.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// One request that an engine began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's `x-request-id`.
    pub request: SmolStr,
    /// Its prompt.
    pub prompt: SmolStr,
    /// The version that ran it, as ordered.
    pub version: Version,
    /// Digest of the bytes that were loaded when it ran.
    pub weights: Digest,
    /// Whether the whole answer was sent.
    pub finished: bool,
}

/// Faults that can be set at any time.
#[derive(Clone, Debug, Default)]
struct Faults {
    poison: Option<SmolStr>,
    reported: Option<Version>,
    ignored: bool,
}

/// A request that waits or runs.
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
    /// Keys: rank with the highest priority first, then order of arrival.
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
    /// Tokens from this index on are held back.
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
    /// Starts an engine with nothing loaded.
    ///
    /// # Errors
    /// When the address cannot be bound.
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

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The state as reported to others, without lag of `running`.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.core.report(Instant::now() + self.core.settings.lag)
    }

    /// Digest of the bytes that it really serves.
    #[must_use]
    pub fn weights(&self) -> Option<Digest> {
        Some(self.core.lock().serving.as_ref()?.1)
    }

    /// Requests that it began to run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.lock().runs.clone()
    }

    /// Fences of the load orders that it took, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<Fence> {
        self.core.lock().orders.clone()
    }

    /// Crashes and restarts so far.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.core.lock().crashes
    }

    /// Crashes at the first token of each request whose prompt contains `marker`.
    pub fn set_poison(&self, marker: Option<&str>) {
        self.core.lock().faults.poison = marker.map(SmolStr::new);
    }

    /// Reports this version in place of the one that was ordered.
    pub fn set_reported(&self, version: Option<Version>) {
        self.core.lock().faults.reported = version;
    }

    /// Answers load orders with 200 and goes on serving what it served, while `ignored`.
    pub fn set_ignored(&self, ignored: bool) {
        self.core.lock().faults.ignored = ignored;
    }

    /// Holds back tokens from this index on, in all answers.
    pub fn pause_at(&self, index: Option<u32>) {
        self.core.pause.send_replace(index);
    }

    /// Stops all work and answers while `frozen`; connections stay open.
    pub fn set_frozen(&self, frozen: bool) {
        self.core.gate.set_frozen(frozen);
    }

    /// Sets what happens to connections.
    pub fn set_mode(&self, mode: Mode) {
        self.core.gate.set_mode(mode);
    }

    /// Closes all connections, forgets everything and comes back after the restart time.
    pub fn restart(&self) {
        self.core.crash();
    }

    /// Ends the engine.
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

    /// The state as reported, with `running` as it was one lag before `now`.
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

    /// Cuts off all requests.
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

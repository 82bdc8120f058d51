//! Load and health of the backend servers, as observed by this daemon.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::anti_affinity::AntiAffinity;
use apricothall_decide::configs::OutlierConfig;
use apricothall_decide::contention::Contention;
use apricothall_decide::load::{Entries, Load, Prompt};
use apricothall_decide::loaded::HeardWeights;
use apricothall_decide::outlier::{Attempt, OutlierDetector};
use apricothall_decide::placement::{self, Choice, PlacementConfig, Requirements};
use apricothall_decide::prompt_parts::Trial;
use apricothall_decide::residency::AllowedRegions;
use apricothall_decide::server_limits::{PassedOver, Reservation};
use apricothall_decide::servers::Server;
use apricothall_decide::signals::Signals;
use apricothall_decide::versions::Versions;
use apricothall_types::{Interval, MemberId, PromptPart, Timestamp, TokenCount, Zone};
use smol_str::SmolStr;

use crate::Context;
use crate::model::EngineService;
use crate::peers::EngineStatus;
use crate::retry_budgets::RetryBudgets;
use crate::server_limits::count_passed_over;
use crate::servers::ServerListAge;
use crate::settings::Settings;

mod contention;
mod eligible;
mod memory;

pub use self::contention::{CallEnd, rank_name};
pub use self::memory::TokenReservation;

use eligible::Eligible;

/// Maximum age of an engine status that is used.
const STATUS_MAX_AGE: Duration = Duration::from_millis(900);

/// Maximum age of an engine status from another region, whose agents report less often.
const FAR_STATUS_MAX_AGE: Duration = Duration::from_millis(2_600);

/// Back-off for a server that refused a request because it was full.
const FULL_SERVER_BACKOFF: Duration = Duration::from_millis(60);

/// Back-off for a server that is not the expected one.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(250);

/// Pace in an engine status that equals the published timing, in percent.
const PUBLISHED_PACE: f64 = 100.0;

/// Engine status reported by an agent.
struct RecordedStatus {
    status: EngineStatus,
    until: Timestamp,
}

struct State {
    loads: HashMap<SocketAddr, Load>,
    /// Requests from this entry that may have crashed servers.
    anti_affinity: AntiAffinity,
    statuses: HashMap<SocketAddr, RecordedStatus>,
    /// Kept after a status has expired: an agent that is gone says nothing more.
    weights: HashMap<SocketAddr, HeardWeights>,
    entries: Entries,
    outlier: OutlierDetector,
    signals: Signals,
    retry_budgets: RetryBudgets,
    placement: PlacementConfig,
    /// Requests of this entry by service.
    contention: HashMap<SmolStr, Contention>,
}

/// Load and health of all servers.
pub struct Fleet {
    state: Mutex<State>,
    engine_status: Mutex<Option<EngineStatus>>,
    fetching: AtomicBool,
    /// Daemons to which the status of this agent is sent in the next round of gossip.
    report_to: Mutex<BTreeSet<SocketAddr>>,
    /// Start of the engine on this VM, if others heard that its weights may be bad.
    doubt: Mutex<Option<u64>>,
}

/// Identifies a server by its id and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRef {
    /// Server id, which is new after each restart.
    pub id: MemberId,
    /// Address on which it listens.
    pub address: SocketAddr,
}

impl From<&Server> for ServerRef {
    fn from(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            address: server.address,
        }
    }
}

/// Requirements of a request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Timing and model, if the servers are engines.
    pub engines: Option<&'a EngineService>,
    /// Known versions of the model.
    pub versions: &'a Versions,
    /// Limits set by the caller.
    pub need: Requirements,
    /// The prompt, for engines.
    pub prompt: Prompt,
    /// Tokens that it may need in the memory of an engine.
    pub tokens: TokenCount,
    /// Servers that already received the request.
    pub tried: &'a [MemberId],
    /// Number of server crashes at which the request was present.
    pub crashes: u32,
    /// A suspect part of its prompt, which one server tries.
    pub trial: Option<&'a Trial>,
    /// Regions in which it may be processed.
    pub regions: &'a AllowedRegions,
    /// Zones whose servers get no requests.
    pub evacuated: &'a BTreeSet<Zone>,
}

/// Server selected for a request.
#[derive(Debug)]
pub struct Placed {
    /// The selected server.
    pub server: Server,
    /// Version of weights that the request is bound to.
    pub version: Option<u64>,
    /// Predicted time to the first event, or to the complete response.
    pub predicted: Duration,
    /// Estimated number of requests at the server.
    pub load: u32,
    /// Age of the server list.
    pub list_age: Option<ServerListAge>,
    /// Limits of the server against which the request was counted.
    pub reserved: Reservation,
    /// A server that was passed over because of its limit.
    pub passed_over: Option<PassedOver>,
    /// The suspect part for whose trial the server was selected.
    pub tried: Option<PromptPart>,
    /// Its tokens in the memory of the server, if that is limited.
    pub reservation: Option<Arc<TokenReservation>>,
}

/// Decision on where to send a request.
#[derive(Debug)]
pub enum Placement {
    /// Send it to this server.
    Selected(Box<Placed>),
    /// Refuse it for now; there may be capacity after this time.
    Refused(Duration),
    /// Refuse it for now, as another entry tries a suspect part of its prompt.
    OnTrial(Duration),
    /// Refuse it for now, as the limits of all servers that could run it are reached.
    Limited(Box<PassedOver>),
    /// Refuse it for now, as no server has memory for its tokens; there may be after this time.
    NoMemory(Duration),
    /// The server list contains no server of the service that accepts requests.
    NoServer,
    /// Servers accept requests, but only in regions or zones that the request must not use.
    Excluded(Exclusion),
}

/// Why a server must not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// The request may not be processed in its region.
    Region,
    /// Its zone is evacuated.
    Evacuated,
}

impl Exclusion {
    /// Reason for the refusal of a request, for callers and logs.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Region => "no server in the allowed regions",
            Self::Evacuated => "the zones of the allowed servers are evacuated",
        }
    }
}

impl Fleet {
    /// Creates the state without servers.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let outlier = OutlierConfig {
            base: Interval::millis(1_000),
            longest: Interval::secs(4),
            probe: Interval::secs(2),
            share: 60,
            ..OutlierConfig::default()
        };
        Self {
            state: Mutex::new(State {
                loads: HashMap::new(),
                anti_affinity: AntiAffinity::default(),
                statuses: HashMap::new(),
                weights: HashMap::new(),
                entries: Entries::ALONE,
                outlier: OutlierDetector::new(outlier),
                signals: Signals::default(),
                retry_budgets: RetryBudgets::new(&settings.bounds),
                placement: PlacementConfig::default(),
                contention: HashMap::new(),
            }),
            engine_status: Mutex::default(),
            fetching: AtomicBool::new(false),
            report_to: Mutex::default(),
            doubt: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Status of the engine on this VM, reported by this agent.
    #[must_use]
    pub fn engine_status(&self) -> Option<EngineStatus> {
        let status = self.engine_status.lock();
        status.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the status of the engine on this VM.
    pub fn set_engine_status(&self, status: EngineStatus) {
        *self
            .engine_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(status);
    }

    /// Start of the engine at `address`, if this daemon last heard that its weights may be bad.
    #[must_use]
    pub fn doubted(&self, address: SocketAddr) -> Option<u64> {
        self.state().weights.get(&address)?.doubted()
    }

    /// Records what another daemon heard of the engine on this VM.
    pub fn record_doubt(&self, born: u64) {
        *self.doubt.lock().unwrap_or_else(PoisonError::into_inner) = Some(born);
    }

    /// Start of the engine on this VM, if others heard that its weights may be bad.
    #[must_use]
    pub fn doubt(&self) -> Option<u64> {
        *self.doubt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this agent is fetching weights.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.fetching.load(Ordering::Relaxed)
    }

    /// Sets whether this agent is fetching weights.
    pub fn set_fetching(&self, fetching: bool) {
        self.fetching.store(fetching, Ordering::Relaxed);
    }

    fn report_to(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        let lock = self.report_to.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the status of this agent to `address` in the next round of gossip.
    pub fn request_report(&self, address: SocketAddr) {
        self.report_to().insert(address);
    }

    /// Takes the daemons to which the status of this agent is to be sent.
    #[must_use]
    pub fn take_report_receivers(&self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut *self.report_to())
    }

    /// Records the engine status reported by an agent.
    pub fn record_engine_status(&self, status: &EngineStatus, far: bool, now: Timestamp) {
        let until = now
            + if far {
                FAR_STATUS_MAX_AGE
            } else {
                STATUS_MAX_AGE
            };
        let mut state = self.state();
        let load = state.loads.entry(status.address).or_default();
        let pace = f64::from(status.pace) / PUBLISHED_PACE;
        let total = status.running.saturating_add(status.queued);
        load.record_report(total, pace, now, until);
        load.memory
            .record_report(status.memory.map(Into::into), now, until);
        let weights = state.weights.entry(status.address).or_default();
        let serving = status.serving.as_ref().map(|(_, version)| *version);
        weights.record(status.born, status.weights, serving);
        let status = status.clone();
        state
            .statuses
            .insert(status.address, RecordedStatus { status, until });
    }

    /// Sets the number of entries.
    pub fn set_entries(&self, entries: Entries) {
        let mut state = self.state();
        state.entries = entries;
        state.retry_budgets.set_sharers(entries.all);
    }

    /// Selects a server for a request.
    pub fn place(
        &self,
        context: &Context,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Placement {
        let settings = context.settings();
        let list_age = context.published.server_list_age(now);
        context.server_limits.follow_configuration(context, now);
        let mut state = self.state();
        context.published.servers(|servers| {
            let limits = &context.server_limits;
            limits.follow_evacuations(request.evacuated, now);
            let Eligible {
                servers: eligible,
                passed_over,
                excluded,
                room_after,
            } = state.eligible(&settings, servers, limits, request, now);
            if let Some(passed) = &passed_over {
                count_passed_over(passed);
            }
            let candidates: Vec<_> = eligible
                .iter()
                .map(|e| e.candidate(state.outlier.permit(&e.server.id, now)))
                .collect();
            let choice = placement::choose(
                &state.placement,
                &candidates,
                request.need,
                &mut rand::rng(),
            );
            match choice {
                Choice::Send(index) => {
                    let selected = &eligible[index];
                    let reserved = limits.reserve(selected.server, now);
                    let placed = state.start_request(selected, request, now);
                    Placement::Selected(Box::new(Placed {
                        list_age,
                        reserved,
                        passed_over,
                        reservation: state.reserve_tokens(context, selected.server, request, now),
                        ..placed
                    }))
                }
                Choice::Refuse(after) => Placement::Refused(after),
                Choice::NoServer => {
                    let pause = state.shortest_pause(servers, &settings, request, now);
                    match (passed_over, room_after, pause, excluded) {
                        (Some(passed), ..) => Placement::Limited(Box::new(passed)),
                        (None, Some(after), ..) => Placement::NoMemory(after),
                        (None, None, Some(after), _) => Placement::Refused(after),
                        (None, None, None, Some(exclusion)) => Placement::Excluded(exclusion),
                        (None, None, None, None) => Placement::NoServer,
                    }
                }
            }
        })
    }

    /// Records the time that it took to establish a connection to `address`, or to give it up.
    pub fn record_round_trip(&self, address: SocketAddr, took: Duration, now: Timestamp) {
        let mut state = self.state();
        state
            .loads
            .entry(address)
            .or_default()
            .path
            .record(took, now);
    }

    /// The slowest recent round trip to `address`.
    #[must_use]
    pub fn round_trip(&self, address: SocketAddr, now: Timestamp) -> Duration {
        let state = self.state();
        let load = state.loads.get(&address);
        load.map_or(Duration::ZERO, |load| load.path.slowest(now))
    }

    /// Adds a request in flight at `address`.
    pub fn request_started(&self, address: SocketAddr, now: Timestamp) {
        self.state()
            .loads
            .entry(address)
            .or_default()
            .request_started(now);
    }

    /// Removes a request added by [`Fleet::request_started`].
    pub fn request_ended(&self, address: SocketAddr) {
        if let Some(load) = self.state().loads.get_mut(&address) {
            load.request_ended();
        }
    }

    /// Adds a request that was present at `crashes` crashes and is at, or being sent to, `address`.
    pub fn add_anti_affinity(&self, address: SocketAddr, crashes: u32) {
        self.state().anti_affinity.add(address, crashes);
    }

    /// Removes a request added by [`Fleet::add_anti_affinity`].
    pub fn remove_anti_affinity(&self, address: SocketAddr, crashes: u32) {
        self.state().anti_affinity.remove(address, crashes);
    }

    /// Records the result of an attempt at a server.
    pub fn record(
        &self,
        server: &ServerRef,
        attempt: Attempt,
        predicted: Duration,
        now: Timestamp,
    ) {
        let mut state = self.state();
        if let Attempt::Answered(latency) = attempt {
            let load = state.loads.entry(server.address).or_default();
            load.record_latency(latency, predicted, now);
        }
        if state.outlier.record(&server.id, attempt, now) {
            tracing::warn!(server = %server.id, ?attempt, "server ejected");
            metrics::counter!("apricothall_ejections_total").increment(1);
        }
    }

    /// Backs off from a server that refused a request.
    pub fn pause(&self, address: SocketAddr, misdirected: bool, now: Timestamp) {
        let length = if misdirected {
            MISDIRECTED_BACKOFF
        } else {
            FULL_SERVER_BACKOFF
        };
        let mut state = self.state();
        let load = state.loads.entry(address).or_default();
        load.back_off_until(now + length);
    }

    /// Records that a server announced its shutdown.
    pub fn record_shutdown(&self, server: &Server, now: Timestamp) {
        self.state()
            .signals
            .mark_leaving(&server.id, server.born, now);
    }

    /// Records that a server requested a back-off of duration `after`.
    pub fn record_pause(&self, server: &Server, after: Duration, now: Timestamp) {
        let signals = &mut self.state().signals;
        signals.mark_paused(&server.id, server.born, after, now);
    }

    /// Records the first attempt of a request to `service`.
    pub fn note_request(&self, service: &SmolStr, now: Timestamp) {
        self.state().retry_budgets.note_request(service, now);
    }

    /// Whether a request to `service` may be retried; takes the retry from the budget.
    pub fn may_retry(&self, service: &SmolStr, deadline: Timestamp, now: Timestamp) -> bool {
        self.state()
            .retry_budgets
            .take_retry(service, deadline, now)
    }

    /// Drops the state of servers that no longer exist.
    pub fn retain(&self, servers: Vec<ServerRef>) {
        let mut state = self.state();
        let known = |address: &SocketAddr| servers.iter().any(|s| s.address == *address);
        state
            .loads
            .retain(|address, load| !load.is_idle() || known(address));
        state.weights.retain(|address, _| known(address));
        state.outlier.retain(servers.into_iter().map(|s| s.id));
    }
}

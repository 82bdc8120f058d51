//! Load and health of the backend servers, as this daemon sees them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::{OutlierConfig, RetryConfig};
use apricothall_decide::outlier::{Attempt, Outlier};
use apricothall_decide::placement::{self, Candidate, Choice, Distance, Need, PlacementConfig};
use apricothall_decide::retry::{Budget, Failure, Verdict};
use apricothall_decide::servers::Server;
use apricothall_decide::timing::{Backlog, Timing, Work};
use apricothall_decide::versions::Versions;
use apricothall_types::{Interval, MemberId, Outcome, Timestamp};
use smol_str::SmolStr;

use crate::Context;
use crate::peers::EngineNote;

use crate::settings::Settings;

/// Age up to which an agent's note tells the state of its engine.
const NOTE_AGE: Duration = Duration::from_millis(900);

/// The same for agents of other regions, which tell less often.
const FAR_NOTE_AGE: Duration = Duration::from_millis(2_600);

/// Time that a request takes to show in an agent's note.
const NOTE_LAG: Duration = Duration::from_millis(60);

/// Prompts that each other entry of the zone is taken to send meanwhile, for each one sent to a
/// server that this entry goes first at.
const UNSEEN_OWN: f64 = 0.2;

/// The same at another server of the zone.
const UNSEEN_SHARED: f64 = 0.6;

/// The same for each entry at a far server.
const UNSEEN_FAR: f64 = 0.5;

/// Time for which a server that refused for want of room gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a server that is another than expected gets nothing.
const STALE_PAUSE: Duration = Duration::from_millis(250);

/// Latency assumed of a plain service before it has answered.
const PLAIN_LATENCY: Duration = Duration::from_millis(40);

/// Weight of a new figure in a moving average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Bounds of the ratio of seen to predicted latency that predictions are corrected by.
const DRIFT: (f64, f64) = (0.9, 6.0);

/// Time kept between the last send of an old version and its end.
const VERSION_MARGIN: Duration = Duration::from_millis(900);

/// Entries that share the budget of repeats at most.
const SHARERS: f64 = 16.0;

/// Part of the budget of repeats that is used, so that the whole stays below its bound.
const BUDGET_PART: f64 = 0.7;

/// What is known of one server.
#[derive(Debug, Default)]
struct Load {
    /// Requests of this entry.
    own: u32,
    /// Requests of other entries at the time of the last note.
    others: u32,
    /// When this entry sent its last requests.
    recent: VecDeque<Timestamp>,
    backlog: Backlog,
    latency: Option<Duration>,
    drift: Option<f64>,
    paused: Timestamp,
}

/// An agent's note on its engine.
struct Noted {
    note: EngineNote,
    heard: Timestamp,
    until: Timestamp,
}

/// Numbers of entries that send requests to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Those of this availability zone, this one included.
    pub zone: u32,
    /// Place of this one among them, in the order of their ids.
    pub index: u32,
    /// All.
    pub all: u32,
}

impl Entries {
    /// Whether this entry goes before the others at the server with the place `at` in its zone.
    const fn owns(&self, at: u32) -> bool {
        at % self.zone == self.index
    }
}

struct State {
    loads: HashMap<SocketAddr, Load>,
    notes: HashMap<SocketAddr, Noted>,
    entries: Entries,
    outlier: Outlier,
    budgets: HashMap<SmolStr, Budget>,
    retry: RetryConfig,
    placement: PlacementConfig,
}

/// Load and health of all servers.
pub struct Fleet {
    state: Mutex<State>,
    own: Mutex<Option<EngineNote>>,
    fetching: AtomicBool,
}

/// A server by its present life and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Id of its present life.
    pub id: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
}

impl From<&Server> for Place {
    fn from(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            address: server.address,
        }
    }
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Timing and model, if its servers are engines.
    pub engines: Option<&'a crate::model::EngineService>,
    /// Versions of the model.
    pub versions: &'a Versions,
    /// What the caller needs.
    pub need: Need,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Servers that have had the request.
    pub tried: &'a [MemberId],
}

/// A server chosen for a request.
#[derive(Debug)]
pub struct Placed {
    /// The server.
    pub server: Server,
    /// Version of weights that the request is bound to.
    pub version: Option<u64>,
    /// Predicted time to the first event, or to the answer.
    pub predicted: Duration,
    /// Requests that were thought to be there.
    pub load: u32,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Placement {
    /// To this server.
    Go(Box<Placed>),
    /// Nowhere now; there may be room after this time.
    Refuse(Duration),
    /// No server of the service is known to take requests.
    Nobody,
}

impl Fleet {
    /// Nothing known.
    #[must_use]
    pub fn new(settings: &Settings, _now: Timestamp) -> Self {
        let saved = settings.bounds.repeat_extra * BUDGET_PART / SHARERS;
        let ratio = settings.bounds.repeat_ratio * BUDGET_PART * 100.0;
        let retry = RetryConfig {
            ratio: whole(ratio),
            minimum: 0,
            saved: whole(saved).max(1),
            attempts: u32::MAX,
            base: Interval::default(),
            longest: Interval::default(),
            ..RetryConfig::default()
        };
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
                notes: HashMap::new(),
                entries: Entries {
                    zone: 1,
                    index: 0,
                    all: 1,
                },
                outlier: Outlier::new(outlier),
                budgets: HashMap::new(),
                retry,
                placement: PlacementConfig::default(),
            }),
            own: Mutex::default(),
            fetching: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this agent tells of its engine.
    #[must_use]
    pub fn own_note(&self) -> Option<EngineNote> {
        self.own
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets what this agent tells of its engine.
    pub fn set_own_note(&self, note: EngineNote) {
        *self.own.lock().unwrap_or_else(PoisonError::into_inner) = Some(note);
    }

    /// Whether this agent is fetching weights.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.fetching.load(Ordering::Relaxed)
    }

    /// Says whether this agent is fetching weights.
    pub fn set_fetching(&self, fetching: bool) {
        self.fetching.store(fetching, Ordering::Relaxed);
    }

    /// Takes an agent's note on its engine.
    pub fn take_note(&self, note: &EngineNote, far: bool, now: Timestamp) {
        let mut state = self.state();
        let age = if far { FAR_NOTE_AGE } else { NOTE_AGE };
        let load = state.loads.entry(note.address).or_default();
        let seen = load.own.saturating_sub(load.sent_since(now - NOTE_LAG));
        load.others = (note.running + note.queued).saturating_sub(seen);
        let noted = Noted {
            note: note.clone(),
            heard: now,
            until: now + age,
        };
        state.notes.insert(note.address, noted);
    }

    /// Sets the numbers of entries.
    pub fn set_entries(&self, entries: Entries) {
        self.state().entries = entries;
    }

    /// Chooses a server for a request.
    pub fn place(&self, context: &Context, ask: &Ask<'_>, now: Timestamp) -> Placement {
        let settings = context.settings();
        let drain = settings.bounds.version;
        let mut state = self.state();
        context.published.servers(|servers| {
            let mut options = Vec::new();
            let mut candidates = Vec::new();
            let mut near = 0;
            for server in servers.ready(ask.service) {
                if ask.tried.contains(&server.id) {
                    continue;
                }
                let Some(version) = state.version(server, ask, drain, now) else {
                    continue;
                };
                let distance = distance(&settings, server);
                let own = distance == Distance::Zone && state.entries.owns(near);
                near += u32::from(distance == Distance::Zone);
                let (mut candidate, load) = state.candidate(server, distance, ask, now);
                candidate.own = own;
                if state.is_paused(&server.address, now) {
                    continue;
                }
                options.push((server, version, load));
                candidates.push(candidate);
            }
            let config = state.placement;
            match placement::choose(&config, &candidates, ask.need, &mut rand::rng()) {
                Choice::Send(index) => {
                    let (server, version, load) = options[index];
                    state.note_prompt(server, &candidates[index], ask, now);
                    state.outlier.note_start(&server.id, now);
                    Placement::Go(Box::new(Placed {
                        server: server.clone(),
                        version,
                        predicted: candidates[index].latency,
                        load,
                    }))
                }
                Choice::Refuse(after) => Placement::Refuse(after),
                Choice::Nobody => Placement::Nobody,
            }
        })
    }

    /// Counts a request as in flight at `id` until the guard is dropped.
    #[must_use]
    pub fn begin(context: &Context, address: SocketAddr, now: Timestamp) -> InFlight {
        let mut state = context.fleet.state();
        let load = state.loads.entry(address).or_default();
        load.own += 1;
        load.recent.push_back(now);
        InFlight {
            context: context.clone(),
            address,
        }
    }

    /// Notes how an attempt at a server ended.
    pub fn record(&self, at: &Place, attempt: Attempt, predicted: Duration, now: Timestamp) {
        let (id, address) = (&at.id, at.address);
        let mut state = self.state();
        if let Attempt::Answered(latency) = attempt {
            let load = state.loads.entry(address).or_default();
            let ratio = latency.as_secs_f64() / predicted.as_secs_f64().max(0.001);
            let drift = load.drift.unwrap_or(1.0) * ratio.clamp(0.2, 10.0).powf(AVERAGE_WEIGHT);
            load.drift = Some(drift.clamp(DRIFT.0, DRIFT.1));
            let mean = load.latency.unwrap_or(latency);
            let mixed = mean.mul_f64(1.0 - AVERAGE_WEIGHT) + latency.mul_f64(AVERAGE_WEIGHT);
            load.latency = Some(mixed);
        }
        if state.outlier.record(id, attempt, now) {
            tracing::warn!(server = %id, ?attempt, "server ejected");
            metrics::counter!("apricothall_ejections_total").increment(1);
        }
    }

    /// Gives a server that refused a pause.
    pub fn pause(&self, address: SocketAddr, misdirected: bool, now: Timestamp) {
        let length = if misdirected { STALE_PAUSE } else { FULL_PAUSE };
        let mut state = self.state();
        state.loads.entry(address).or_default().paused = now + length;
    }

    /// Notes the first attempt at a request of `service`.
    pub fn note_request(&self, service: &SmolStr, now: Timestamp) {
        self.state().budget(service, now).note_request(now);
    }

    /// Whether a request of `service` may be sent once more.
    pub fn may_repeat(&self, service: &SmolStr, deadline: Timestamp, now: Timestamp) -> bool {
        let failure = Failure {
            outcome: Outcome::NotRun,
            repeatable: true,
            answered: false,
            suspect: false,
            attempts: 1,
        };
        let mut state = self.state();
        let verdict = state
            .budget(service, now)
            .decide(failure, deadline, now, &mut rand::rng());
        matches!(verdict, Verdict::Retry(_))
    }

    /// Drops what is known of servers that are gone.
    pub fn retain(&self, places: Vec<Place>) {
        let mut state = self.state();
        let known = |address: &SocketAddr| places.iter().any(|p| p.address == *address);
        state
            .loads
            .retain(|address, load| load.own > 0 || known(address));
        state.outlier.retain(places.into_iter().map(|p| p.id));
    }
}

fn whole(value: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "settings keep it small and positive"
    )]
    let number = value.max(0.0) as u32;
    number
}

fn distance(settings: &Settings, server: &Server) -> Distance {
    if server.zone == settings.zone {
        return Distance::Zone;
    }
    if settings.regions.get(&server.zone) == Some(&settings.region) {
        return Distance::Region;
    }
    Distance::Far
}

impl State {
    fn budget(&mut self, service: &SmolStr, now: Timestamp) -> &mut Budget {
        let retry = self.retry.clone();
        let budgets = &mut self.budgets;
        budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(retry, now))
    }

    fn note(&self, address: &SocketAddr, now: Timestamp) -> Option<&EngineNote> {
        self.noted(address, now).map(|n| &n.note)
    }

    /// Counts the prompt of a request that is about to be sent.
    fn note_prompt(
        &mut self,
        server: &Server,
        candidate: &Candidate,
        ask: &Ask<'_>,
        now: Timestamp,
    ) {
        let Some(engines) = ask.engines else {
            return;
        };
        let (others, part) = match candidate.distance {
            Distance::Zone if candidate.own => (self.entries.zone, UNSEEN_OWN),
            Distance::Zone => (self.entries.zone, UNSEEN_SHARED),
            Distance::Region | Distance::Far => (self.entries.all, UNSEEN_FAR),
        };
        let factor = 1.0 + f64::from(others.saturating_sub(1)) * part;
        let ms = engines.timing.read_ms(ask.prompt) * factor;
        let load = self.loads.entry(server.address).or_default();
        load.backlog.add(ms, now);
    }

    fn noted(&self, address: &SocketAddr, now: Timestamp) -> Option<&Noted> {
        let noted = self.notes.get(address)?;
        (now < noted.until).then_some(noted)
    }

    fn is_paused(&self, address: &SocketAddr, now: Timestamp) -> bool {
        self.loads.get(address).is_some_and(|l| now < l.paused)
    }

    /// The version that a request is bound to at `server`: none inside for a plain service, none
    /// at all when the server can't take it.
    #[expect(
        clippy::option_option,
        reason = "the outer level says whether it can serve at all"
    )]
    fn version(
        &self,
        server: &Server,
        ask: &Ask<'_>,
        allowed: Duration,
        now: Timestamp,
    ) -> Option<Option<u64>> {
        let Some(engines) = ask.engines else {
            return Some(None);
        };
        let model = &engines.model.name;
        let note = self.note(&server.address, now);
        // The entry of an engine that has ended or started anew stays for a while.
        if note.is_some_and(|n| n.born != server.born.0 && server.born.0 != 0) {
            return None;
        }
        let version = match note {
            Some(note) => {
                let (name, version) = note.serving.as_ref()?;
                (name == model).then_some(*version)?
            }
            None => server.loaded.iter().find(|l| l.model == *model)?.version,
        };
        let usable = ask
            .versions
            .is_usable(version, allowed, VERSION_MARGIN, now);
        usable.then_some(Some(version))
    }

    fn candidate(
        &mut self,
        server: &Server,
        distance: Distance,
        ask: &Ask<'_>,
        now: Timestamp,
    ) -> (Candidate, u32) {
        let permit = self.outlier.permit(&server.id, now);
        let noted = self.noted(&server.address, now);
        let noted = noted.map(|n| (n.heard, f64::from(n.note.pace) / 100.0));
        let alike = match distance {
            Distance::Zone => self.entries.zone,
            Distance::Region | Distance::Far => self.entries.all,
        };
        let load = self.loads.entry(server.address).or_default();
        load.forget_old(now);
        let taken = match noted {
            Some((heard, _)) => load.taken(alike, heard - NOTE_LAG),
            None if ask.engines.is_some() => load.own * alike,
            None => load.own,
        };
        let unread = load.backlog.left(now);
        let pace = noted.map_or(1.0, |(_, pace)| pace);
        let (slots, latency, pause) = match ask.engines {
            Some(engines) => {
                let timing = &engines.timing;
                let work = work(timing, taken, unread, pace);
                let drift = load.drift.unwrap_or(1.0);
                let first = timing.first_event(work, ask.prompt).mul_f64(drift);
                (timing.slots, first, timing.pause(work, ask.prompt))
            }
            None => (server.slots, plain(load, server.slots), Duration::ZERO),
        };
        let free = taken < slots;
        let candidate = Candidate {
            distance,
            own: false,
            permit,
            latency,
            pause,
            free,
        };
        (candidate, taken)
    }
}

impl Load {
    /// Requests sent by this entry after `since`.
    fn sent_since(&self, since: Timestamp) -> u32 {
        let sent = self.recent.iter().rev().take_while(|at| **at > since);
        u32::try_from(sent.count()).unwrap_or(u32::MAX)
    }

    fn forget_old(&mut self, now: Timestamp) {
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) > FAR_NOTE_AGE)
        {
            self.recent.pop_front();
        }
    }

    /// Requests at the server, if each of `alike` entries has sent as many as this one since the
    /// time that the last note speaks of.
    fn taken(&self, alike: u32, noted: Timestamp) -> u32 {
        let unseen = self.sent_since(noted);
        self.own + self.others + unseen * alike.saturating_sub(1)
    }
}

fn work(timing: &Timing, taken: u32, unread: f64, pace: f64) -> Work {
    let running = taken.min(timing.slots);
    Work {
        running,
        waiting: taken - running,
        unread,
        pace,
    }
}

/// Predicted latency of a plain service: its mean, and the wait for a place.
fn plain(load: &Load, slots: u32) -> Duration {
    let mean = load.latency.unwrap_or(PLAIN_LATENCY);
    let waiting = (load.own + 1).saturating_sub(slots);
    mean + mean * waiting / slots.max(1)
}

/// Counts a request as in flight until dropped.
pub struct InFlight {
    context: Context,
    address: SocketAddr,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(load) = self.context.fleet.state().loads.get_mut(&self.address) {
            load.own = load.own.saturating_sub(1);
        }
    }
}

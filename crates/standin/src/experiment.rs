//! Simulates load patterns against the placement decisions of entries, with emulated engines and a
//! virtual clock.
//!
//! Entries choose servers with `decide::placement` and `decide::load`, as daemons do; engines are
//! [`Emulator`]s in one zone. The network, the store and versions are not simulated.

mod arrivals;
mod dispatch;
mod pattern;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use apricothall_decide::contention::{Contention, RequestOutcome};
use apricothall_decide::load::Load;
use apricothall_decide::placement::PlacementConfig;
use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_decide::timing::Timing;
use apricothall_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

pub use self::pattern::Pattern;
use crate::emulator::{Emulator, EmulatorEvent, Job};

/// Interval between two load reports of an agent, in ms.
const REPORT_INTERVAL_MS: u64 = 100;

/// Age of the engine state in a load report, in ms.
const REPORT_LAG_MS: u64 = 200;

/// Time for which a load report is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(900);

/// Network delay between an entry and an engine, in ms.
const NETWORK_DELAY_MS: f64 = 2.0;

/// Longest acceptable pause between two events.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Score of a late response; a timely one scores 1.
const LATE_SCORE: f64 = 0.25;

/// Time before the end of the run without new requests, so that all requests can finish, in ms.
const COOLDOWN_MS: u64 = 4_000;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name of the kind.
    pub name: SmolStr,
    /// Share of all requests.
    pub share: f64,
    /// Mean number of prompt tokens.
    pub prompt: f64,
    /// Mean number of generated tokens.
    pub answer: f64,
    /// Time to the first event within which a response is timely.
    pub objective: Duration,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
}

/// Ranks of the priorities in forecasts and margins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ranks {
    /// Those that follow from the priorities and objectives of the kinds.
    Configured,
    /// The highest priority and all others, without protection.
    Two,
}

/// Parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Timing of the engines.
    pub timing: Timing,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Number of engines.
    pub engines: usize,
    /// Number of entries.
    pub entries: u32,
    /// Requests per second.
    pub rate: f64,
    /// Variation of load and engines.
    pub pattern: Pattern,
    /// Duration of the run, in ms.
    pub length: u64,
    /// Settings of the placement decisions.
    pub placement: PlacementConfig,
    /// Ranks that the entries use.
    pub ranks: Ranks,
    /// Seed of arrival times and request sizes.
    pub seed: u64,
}

/// Results for one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// All requests.
    pub total: u32,
    /// Requests with a timely first event and no pause longer than acceptable.
    pub timely: u32,
    /// Requests that completed, but not timely.
    pub late: u32,
    /// Requests refused on the first attempt and on the retry.
    pub refused: u32,
    /// Requests aborted by a crash.
    pub lost: u32,
}

impl Outcome {
    /// Sum of the scores divided by the number of requests.
    #[must_use]
    pub fn score(&self) -> f64 {
        let earned = f64::from(self.timely) + f64::from(self.late) * LATE_SCORE;
        earned / f64::from(self.total.max(1))
    }
}

impl Experiment {
    /// Rank of each kind of request.
    fn kind_ranks(&self) -> Vec<Rank> {
        let kinds = || self.kinds.iter();
        let routes: Vec<_> = kinds().map(|k| (k.priority, k.objective)).collect();
        let priorities = ServicePriorities::new(&routes);
        let rank = |kind: &RequestKind| {
            let rank = priorities.rank(kind.priority, &[]);
            match self.ranks {
                Ranks::Configured => rank,
                Ranks::Two if rank.is_highest() => Rank::URGENT,
                Ranks::Two => Rank::BELOW_URGENT,
            }
        };
        kinds().map(rank).collect()
    }
}

struct Request {
    kind: usize,
    job: Job,
    arrived: u64,
    entry: usize,
    engine: usize,
    is_retry: bool,
    sent: Timestamp,
    predicted: Duration,
    first: Option<f64>,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    rng: ChaCha8Rng,
    engines: Vec<Emulator>,
    totals: Vec<Vec<usize>>,
    entries: Vec<Vec<Load>>,
    /// For each entry, the requests that it served.
    contention: Vec<Contention>,
    /// Rank of each kind.
    ranks: Vec<Rank>,
    requests: Vec<Request>,
    outcomes: Vec<Outcome>,
    /// Refused requests, by the time of their retry.
    retries: BinaryHeap<Reverse<(u64, usize)>>,
}

/// Runs `experiment` and returns the results for each kind of request.
#[must_use]
pub fn simulate(experiment: &Experiment) -> Vec<Outcome> {
    let engines = || 0..experiment.engines;
    let timing = experiment.timing;
    let entries = usize::try_from(experiment.entries).unwrap_or(1).max(1);
    let loads = || engines().map(|_| Load::default()).collect::<Vec<_>>();
    let mut simulation = Simulation {
        experiment,
        rng: ChaCha8Rng::seed_from_u64(experiment.seed),
        engines: engines().map(|_| Emulator::new(timing)).collect(),
        totals: engines().map(|_| Vec::new()).collect(),
        entries: (0..entries).map(|_| loads()).collect(),
        contention: vec![Contention::default(); entries],
        ranks: experiment.kind_ranks(),
        requests: Vec::new(),
        outcomes: vec![Outcome::default(); experiment.kinds.len()],
        retries: BinaryHeap::new(),
    };
    let mut next = 0.0;
    for now in 0..experiment.length {
        simulation.apply_pattern(now);
        simulation.step_engines(now);
        if now % REPORT_INTERVAL_MS == 0 {
            simulation.report_load(now);
        }
        while next <= now_ms(now) && now + COOLDOWN_MS < experiment.length {
            simulation.add_request(now);
            let gap = -(1.0 - simulation.rng.random::<f64>()).ln() * 1_000.0;
            next += gap / (experiment.rate * experiment.pattern.load_factor(now)).max(f64::EPSILON);
        }
        while let Some(id) = simulation.next_retry(now) {
            simulation.place(id, true, now);
        }
    }
    simulation.outcomes
}

#[expect(clippy::cast_precision_loss, reason = "experiments last minutes")]
const fn now_ms(now: u64) -> f64 {
    now as f64
}

impl Simulation<'_> {
    fn apply_pattern(&mut self, now: u64) {
        let pattern = self.experiment.pattern;
        for index in 0..self.engines.len() {
            self.engines[index].slowdown = pattern.slowdown(index, now);
            if pattern.is_down(index, now) {
                for id in self.engines[index].crash() {
                    let request = &self.requests[id];
                    self.entries[request.entry][index].request_ended();
                    self.outcomes[request.kind].lost += 1;
                }
            }
        }
    }

    fn step_engines(&mut self, now: u64) {
        for index in 0..self.engines.len() {
            let mut events = Vec::new();
            self.engines[index].step(now_ms(now), |id, event| events.push((id, event)));
            for (id, event) in events {
                self.handle_event(id, event, now);
            }
        }
    }

    fn handle_event(&mut self, id: usize, event: EmulatorEvent, now: u64) {
        let request = &mut self.requests[id];
        let load = &mut self.entries[request.entry][request.engine];
        match event {
            EmulatorEvent::FirstToken => {
                request.first = Some(now_ms(now - request.arrived) + NETWORK_DELAY_MS);
                let now = Timestamp::from_millis(now);
                let latency = now.since(request.sent);
                load.record_latency(latency, request.predicted, now);
                let outcome = RequestOutcome {
                    is_returning: request.is_retry,
                    is_served: true,
                };
                let rank = self.ranks[request.kind];
                self.contention[request.entry].record(rank, None, outcome, now);
            }
            EmulatorEvent::Completed { pause } => {
                load.request_ended();
                let objective =
                    self.experiment.kinds[request.kind].objective.as_secs_f64() * 1_000.0;
                let without_pauses = pause <= MAX_PAUSE.as_secs_f64() * 1_000.0;
                let timely =
                    without_pauses && request.first.is_some_and(|first| first <= objective);
                let outcome = &mut self.outcomes[request.kind];
                outcome.timely += u32::from(timely);
                outcome.late += u32::from(!timely);
            }
        }
    }

    /// Reports to all entries the number of requests that each engine had [`REPORT_LAG_MS`] ago.
    fn report_load(&mut self, now: u64) {
        let lag = usize::try_from(REPORT_LAG_MS / REPORT_INTERVAL_MS).unwrap_or(0);
        let at = Timestamp::from_millis(now);
        for index in 0..self.engines.len() {
            let totals = &mut self.totals[index];
            totals.push(self.engines[index].total());
            let total = totals[totals.len().saturating_sub(lag + 1)];
            let total = u32::try_from(total).unwrap_or(u32::MAX);
            let slowdown = self.engines[index].slowdown;
            for loads in &mut self.entries {
                loads[index].record_report(total, slowdown, at, at + REPORT_VALIDITY);
            }
        }
    }
}

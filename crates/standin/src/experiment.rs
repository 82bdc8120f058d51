//! Simulates load patterns against the placement decisions of entries, with emulated engines and a
//! virtual clock.
//!
//! Entries choose servers with `decide::placement` and `decide::load`, as daemons do; engines are
//! [`Emulator`]s in one zone. The network, the store and versions are not simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use apricothall_decide::load::{Load, Prompt, ServerRelation};
use apricothall_decide::outlier::Permit;
use apricothall_decide::placement::{
    Candidate, Choice, Distance, PlacementConfig, Requirements, choose,
};
use apricothall_decide::timing::Timing;
use apricothall_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::emulator::{Emulator, EmulatorEvent, Job};

/// Interval between two load reports of an agent, in ms.
const REPORT_INTERVAL_MS: u64 = 100;

/// Age of the engine state in a load report, in ms.
const REPORT_LAG_MS: u64 = 200;

/// Time for which a load report is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(900);

/// Network delay between an entry and an engine, in ms.
const NETWORK_DELAY_MS: f64 = 2.0;

/// Longest predicted wait at which a retried request is still admitted.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(900);

/// Longest acceptable pause between two events.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Score of a late response; a timely one scores 1.
const LATE_SCORE: f64 = 0.25;

/// Time before the end of the run without new requests, so that all requests can finish, in ms.
const COOLDOWN_MS: u64 = 4_000;

/// Shortest and longest time that a refused client waits before it retries, in ms.
const RETRY_DELAY_MS: (u64, u64) = (1_200, 2_000);

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
}

/// Variation of load and engines during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Constant load, no failures.
    Calm,
    /// Twice the load for three seconds.
    Burst,
    /// Twice the load from the eighth second on.
    Overload,
    /// Like `Overload`, with a fifth of the engines down.
    Shortage,
    /// A third of the engines is three times slower for ten seconds.
    Slow,
    /// A third of the engines crashes and is down for six seconds.
    Lost,
    /// Half of the engines is available only from the eighth second on.
    Arriving,
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

struct Request {
    kind: usize,
    job: Job,
    arrived: u64,
    entry: usize,
    engine: usize,
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
            next += gap / (experiment.rate * simulation.load_factor(now)).max(f64::EPSILON);
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
    /// Returns a refused request whose retry is due.
    fn next_retry(&mut self, now: u64) -> Option<usize> {
        let Reverse((at, id)) = *self.retries.peek()?;
        if at > now {
            return None;
        }
        self.retries.pop();
        Some(id)
    }

    fn load_factor(&self, now: u64) -> f64 {
        let doubled = match self.experiment.pattern {
            Pattern::Burst => (10_000..13_000).contains(&now),
            Pattern::Overload | Pattern::Shortage => now >= 8_000,
            Pattern::Calm | Pattern::Slow | Pattern::Lost | Pattern::Arriving => false,
        };
        if doubled { 2.0 } else { 1.0 }
    }

    /// Whether the pattern has engine `index` down at `now`.
    fn is_down(&self, index: usize, now: u64) -> bool {
        match self.experiment.pattern {
            Pattern::Lost => index.is_multiple_of(3) && (10_000..16_000).contains(&now),
            Pattern::Arriving => index.is_multiple_of(2) && now < 8_000,
            Pattern::Shortage => index.is_multiple_of(5) && now >= 8_000,
            Pattern::Calm | Pattern::Burst | Pattern::Overload | Pattern::Slow => false,
        }
    }

    fn apply_pattern(&mut self, now: u64) {
        let slow = self.experiment.pattern == Pattern::Slow;
        for index in 0..self.engines.len() {
            let affected = index.is_multiple_of(3) && (10_000..20_000).contains(&now);
            self.engines[index].slowdown = if slow && affected { 3.0 } else { 1.0 };
            if self.is_down(index, now) {
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

    fn add_request(&mut self, now: u64) {
        let mut draw = self.rng.random::<f64>();
        let kinds = &self.experiment.kinds;
        let found = kinds.iter().position(|kind| {
            draw -= kind.share;
            draw < 0.0
        });
        let kind = found.unwrap_or(kinds.len() - 1);
        // Shifted exponential distribution with a minimum of a quarter of the mean, which keeps
        // very long requests rare.
        let mut size = |mean: f64| {
            let spread = -(1.0 - self.rng.random::<f64>()).ln();
            (mean * (0.25 + 0.75 * spread)).max(1.0)
        };
        let job = Job {
            id: self.requests.len(),
            prompt: size(kinds[kind].prompt),
            answer: size(kinds[kind].answer),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        self.outcomes[kind].total += 1;
        self.requests.push(Request {
            kind,
            job,
            arrived: now,
            entry,
            engine: 0,
            sent: Timestamp::default(),
            predicted: Duration::ZERO,
            first: None,
        });
        self.place(job.id, false, now);
    }

    fn place(&mut self, id: usize, is_retry: bool, now: u64) {
        let at = Timestamp::from_millis(now);
        let (kind, job, entry) = {
            let request = &self.requests[id];
            (request.kind, request.job, request.entry)
        };
        let available: Vec<_> = (0..self.engines.len())
            .filter(|index| !self.is_down(*index, now))
            .collect();
        let sender_count = self.experiment.entries;
        let relation = |index: usize| ServerRelation {
            distance: Distance::Zone,
            is_primary: index % self.entries.len() == entry,
            sender_count,
        };
        let timing = &self.experiment.timing;
        let prompt = Prompt {
            tokens: job.prompt,
            urgent: false,
        };
        let candidates: Vec<_> = available
            .iter()
            .map(|index| {
                let relation = relation(*index);
                let forecast =
                    self.entries[entry][*index].forecast_engine(timing, prompt, relation, at);
                Candidate {
                    distance: Distance::Zone,
                    is_primary: relation.is_primary,
                    permit: Permit::Open,
                    latency: forecast.latency,
                    pause: forecast.pause,
                    has_free_slot: forecast.has_free_slot,
                    under_half_full: forecast.under_half_full,
                }
            })
            .collect();
        let need = Requirements {
            objective: self.experiment.kinds[kind].objective,
            is_retry,
            max_wait: MAX_RETRY_WAIT,
            max_pause: Some(MAX_PAUSE),
        };
        match choose(&self.experiment.placement, &candidates, need, &mut self.rng) {
            Choice::Send(chosen) => {
                let index = available[chosen];
                let relation = relation(index);
                let load = &mut self.entries[entry][index];
                load.request_started(at);
                load.add_prompt(timing, prompt, relation, at);
                let request = &mut self.requests[id];
                request.engine = index;
                request.sent = at;
                request.predicted = candidates[chosen].latency;
                self.engines[index].push(job);
            }
            Choice::Refuse(after) if !is_retry => {
                let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
                let delay = after.clamp(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
                self.retries.push(Reverse((now + delay, id)));
            }
            Choice::Refuse(_) | Choice::NoServer => self.outcomes[kind].refused += 1,
        }
    }
}

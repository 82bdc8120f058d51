//! Compares routing strategies on one seeded workload in a simulation without I/O.
//!
//! Replicas have execution slots and cache a few prompt prefixes, whose requests they serve faster.
//! In the uneven runs some replicas are slow. Several entries route independently, and load reports
//! reach them with a delay.
//!
//! The second table compares them for engines that retain prompts: how long callers wait for the
//! first token, with and without `prompt_cache` in the catalogue entry. Run with
//! `cargo run --release -p apricothall-decide --example routing_compare -- [SEED]`.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::num::NonZeroU32;
use std::time::Duration;

use apricothall_decide::configs::{RoutingConfig, RoutingStrategy};
use apricothall_decide::routing::{
    Distance, EngineStart, Prefix, PromptAttempt, PromptPrefixes, PromptQuery, Query, Replica,
    Router,
};
use apricothall_types::{EntryName, Incarnation, Interval, Load, PromptCache, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 8;
const REPLICAS: usize = 12;
/// Number of requests that one replica runs concurrently.
const SLOTS: usize = 4;
/// Number of requests in one run.
const REQUESTS: u32 = 40_000;
/// Number of prefixes that a replica caches, and that callers use.
const CACHED: usize = 16;
const PREFIXES: u8 = 96;
/// Service time of a normal replica without and with the prefix in its cache.
const COLD: Duration = Duration::from_millis(200);
const WARM: Duration = Duration::from_millis(120);
/// Interval between the reports of a replica, and their delivery delay.
const PERIOD: Duration = Duration::from_millis(500);
const DELAY: Duration = Duration::from_millis(400);

/// Slowdown factors of the first replicas in an uneven fleet; the others have 1.
const SLOW: [f64; 4] = [3.0, 3.0, 1.5, 1.5];
/// Mean times between arrivals, one per run.
const GAPS: [Duration; 3] = [
    Duration::from_millis(16),
    Duration::from_millis(8),
    Duration::from_micros(5_500),
];

/// Tokens that the requests of a prefix share, by the prefix's remainder; each adds its own ones.
const SHARED_TOKENS: [usize; 6] = [64, 128, 256, 1_024, 3_072, 6_144];
const OWN_TOKENS: std::ops::Range<usize> = 50..250;
/// Bytes of text per token.
const TOKEN_BYTES: usize = 4;
/// Prompt tokens that an engine retains.
const ENGINE_TOKENS: u32 = 60_000;
/// Prefill time per token, and mean time from the first token to the end.
const PREFILL: Duration = Duration::from_micros(100);
const DECODE: Duration = Duration::from_millis(300);
/// Mean times between arrivals of prompts: light load, and two heavy ones.
const PROMPT_GAPS: [Duration; 3] = [
    Duration::from_millis(33),
    Duration::from_millis(11),
    Duration::from_millis(9),
];

/// What requests ask for and what replicas cache.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Workload {
    /// Prefixes that shorten the service time.
    Prefixes,
    /// Prompts whose prefill precedes the first token. `weighed` states whether the entries know that
    /// engines retain prompts.
    Prompts { weighed: bool },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// The first token of the job with this index.
    First(usize),
    End(usize),
    Measure,
    Report {
        replica: usize,
        load: u32,
        measured: u64,
    },
}

struct Job {
    entry: usize,
    replica: usize,
    prefix: u8,
    /// Tokens shared with the other requests of the prefix, and own ones.
    shared: usize,
    own: usize,
    since: Timestamp,
    attempt: Option<PromptAttempt>,
}

/// Something in a replica's cache, with its size.
struct Cached {
    /// Absent for the own part of a prompt.
    prefix: Option<u8>,
    size: usize,
}

/// A replica with slots, a queue of jobs and a cache of what was used most recently.
struct Server {
    slowdown: f64,
    running: usize,
    queue: VecDeque<usize>,
    cache: VecDeque<Cached>,
}

/// Times of a request in its slot.
struct Service {
    prefill: Duration,
    rest: Duration,
    warm: bool,
}

impl Server {
    /// Serves a job and caches its prompt.
    fn serve(&mut self, job: &Job, workload: Workload, rng: &mut ChaCha8Rng) -> Service {
        let warm = self.cache.iter().any(|c| c.prefix == Some(job.prefix));
        self.cache.retain(|c| c.prefix != Some(job.prefix));
        let noise = rng.random_range(0.5..1.5) * self.slowdown;
        if workload == Workload::Prefixes {
            self.store(Some(job.prefix), 1, CACHED);
            let base = if warm { WARM } else { COLD };
            return Service {
                prefill: Duration::ZERO,
                rest: base.mul_f64(noise),
                warm,
            };
        }
        let memory = usize::try_from(ENGINE_TOKENS).expect("fits");
        self.store(Some(job.prefix), job.shared, memory);
        self.store(None, job.own, memory);
        let uncached = job.own + if warm { 0 } else { job.shared };
        let uncached = u32::try_from(uncached).expect("small");
        Service {
            prefill: (PREFILL * uncached).mul_f64(self.slowdown),
            rest: DECODE.mul_f64(noise),
            warm,
        }
    }

    fn store(&mut self, prefix: Option<u8>, size: usize, memory: usize) {
        self.cache.push_back(Cached { prefix, size });
        while self.cache.iter().map(|c| c.size).sum::<usize>() > memory {
            self.cache.pop_front();
        }
    }
}

/// Results of one run.
struct Figures {
    waits: Vec<Duration>,
    warm: u32,
}

struct Model {
    workload: Workload,
    name: EntryName,
    jobs: Vec<Job>,
    routers: Vec<Router>,
    replicas: Vec<Replica>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    order: u64,
    // Arrivals and service times use separate generators, so that all strategies see the same
    // arrivals.
    arrivals: ChaCha8Rng,
    service: ChaCha8Rng,
    choice: ChaCha8Rng,
    figures: Figures,
}

impl Model {
    fn new(config: &RoutingConfig, workload: Workload, slow: &[f64], seed: u64) -> Self {
        let replica = |i| Replica {
            id: format!("vm-{i}").parse().expect("valid id"),
            distance: Distance::Zone,
        };
        let server = |i| Server {
            slowdown: slow.get(i).copied().unwrap_or(1.0),
            running: 0,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
        };
        let mut routers = vec![Router::new(config.clone()); ENTRIES];
        for router in &mut routers {
            router.set_entries(ENTRIES);
        }
        Self {
            workload,
            name: "drafter".parse().expect("valid name"),
            jobs: Vec::new(),
            routers,
            replicas: (0..REPLICAS).map(replica).collect(),
            servers: (0..REPLICAS).map(server).collect(),
            events: BinaryHeap::new(),
            order: 0,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            service: ChaCha8Rng::seed_from_u64(seed ^ 1),
            choice: ChaCha8Rng::seed_from_u64(seed ^ 2),
            figures: Figures {
                waits: Vec::new(),
                warm: 0,
            },
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn run(mut self, gap: Duration) -> Figures {
        self.push(Timestamp::default(), Event::Measure);
        self.push(Timestamp::default(), Event::Arrive);
        let mut arrived = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive => {
                    self.arrive(now);
                    arrived += 1;
                    if arrived < REQUESTS {
                        let pause: f64 = self.arrivals.random();
                        self.push(now + gap.mul_f64(-(1.0 - pause).ln()), Event::Arrive);
                    }
                }
                Event::First(index) => {
                    let job = &mut self.jobs[index];
                    if let Some(attempt) = &mut job.attempt {
                        self.routers[job.entry].note_prefilled(attempt, now);
                    }
                }
                Event::End(index) => {
                    let job = &self.jobs[index];
                    let (router, replica) = (&mut self.routers[job.entry], job.replica);
                    if let Some(attempt) = &job.attempt {
                        router.note_prompt_end(attempt, now);
                    }
                    router.note_end(&self.replicas[replica].id);
                    self.servers[replica].running -= 1;
                    self.start(replica, now);
                }
                Event::Measure => {
                    self.measure(now);
                    if arrived < REQUESTS {
                        self.push(now + PERIOD, Event::Measure);
                    }
                }
                Event::Report {
                    replica,
                    load,
                    measured,
                } => self.report(replica, load, Timestamp(measured)),
            }
        }
        self.figures.waits.sort_unstable();
        self.figures
    }

    fn arrive(&mut self, now: Timestamp) {
        let entry = self.arrivals.random_range(0..ENTRIES);
        // Squaring makes low-numbered prefixes more frequent.
        let skew: f64 = self.arrivals.random::<f64>().powi(2);
        let prefix = (0..PREFIXES)
            .find(|p| skew * f64::from(PREFIXES) < f64::from(*p) + 1.0)
            .unwrap_or(0);
        let (shared, own) = match self.workload {
            Workload::Prefixes => (0, 0),
            Workload::Prompts { .. } => (
                SHARED_TOKENS[usize::from(prefix) % SHARED_TOKENS.len()],
                self.arrivals.random_range(OWN_TOKENS),
            ),
        };
        let text = text(prefix, shared, self.jobs.len(), own);
        let prompt = PromptPrefixes::of(&text);
        let prompt = PromptQuery {
            model: &self.name,
            cache: prompt_cache(),
            prompt: &prompt,
        };
        let weighed = self.workload == Workload::Prompts { weighed: true };
        let prompt = weighed.then_some(prompt);
        let query = Query {
            replicas: &self.replicas,
            excluded: &BTreeSet::new(),
            prefix: Some(Prefix::of(&text)),
            prompt,
        };
        let router = &mut self.routers[entry];
        let choice = router.choose(query, now, &mut self.choice);
        let member = choice.expect("a replica").member;
        let start = EngineStart {
            incarnation: Incarnation(1),
            version: "1".parse().expect("valid version"),
        };
        let attempt = prompt.map(|prompt| router.note_prompt(&prompt, &member, start, now));
        router.note_start(&member);
        let same = |r: &Replica| r.id == member;
        let replica = self.replicas.iter().position(same).expect("known");
        self.servers[replica].queue.push_back(self.jobs.len());
        self.jobs.push(Job {
            entry,
            replica,
            prefix,
            shared,
            own,
            since: now,
            attempt,
        });
        self.start(replica, now);
    }

    fn start(&mut self, replica: usize, now: Timestamp) {
        let server = &mut self.servers[replica];
        if server.running >= SLOTS {
            return;
        }
        let Some(index) = server.queue.pop_front() else {
            return;
        };
        server.running += 1;
        let job = &self.jobs[index];
        let service = server.serve(job, self.workload, &mut self.service);
        self.figures.warm += u32::from(service.warm);
        let wait = now.since(job.since) + service.prefill;
        self.figures.waits.push(wait);
        self.push(now + service.prefill, Event::First(index));
        self.push(now + service.prefill + service.rest, Event::End(index));
    }

    fn measure(&mut self, now: Timestamp) {
        for replica in 0..REPLICAS {
            let server = &self.servers[replica];
            let load = u32::try_from(server.running + server.queue.len()).expect("small");
            let event = Event::Report {
                replica,
                load,
                measured: now.0,
            };
            self.push(now + DELAY, event);
        }
    }

    fn report(&mut self, replica: usize, load: u32, measured: Timestamp) {
        let slots = u32::try_from(SLOTS).expect("small");
        let load = Load {
            running: load.min(slots),
            queued: load.saturating_sub(slots),
            slots,
        };
        for router in &mut self.routers {
            router.note_load(&self.replicas[replica].id, load, measured);
        }
    }
}

/// The beginning that all requests of `prefix` share, and what only request `number` has.
fn text(prefix: u8, shared: usize, number: usize, own: usize) -> Vec<u8> {
    let shared = std::iter::repeat_n(prefix, (shared * TOKEN_BYTES).max(1));
    let number = number.to_le_bytes().into_iter().cycle();
    shared.chain(number.take(own * TOKEN_BYTES)).collect()
}

fn prompt_cache() -> PromptCache {
    PromptCache {
        retention: Interval::secs(300),
        tokens: NonZeroU32::new(ENGINE_TOKENS).expect("above 0"),
    }
}

fn quantile(sorted: &[Duration], percent: usize) -> u128 {
    sorted[(sorted.len() - 1) * percent / 100].as_millis()
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    let default = RoutingConfig::default();
    let with = |strategy, preferred| RoutingConfig {
        strategy,
        preferred,
        ..default.clone()
    };
    let strategies = [
        (
            "two choices, affinity",
            with(RoutingStrategy::TwoChoices, 2),
        ),
        ("two choices", with(RoutingStrategy::TwoChoices, 0)),
        ("round robin", with(RoutingStrategy::RoundRobin, 0)),
        ("random", with(RoutingStrategy::Random, 0)),
    ];
    compare_prefixes(&strategies, seed);
    compare_prompts(&strategies, seed);
}

fn compare_prefixes(strategies: &[(&str, RoutingConfig)], seed: u64) {
    println!("seed {seed}, wait in ms");
    println!("fleet   load/s  strategy                   p50    p95    p99  warm %");
    for (fleet, slow) in [("even", &[][..]), ("uneven", &SLOW)] {
        for gap in GAPS {
            for (name, config) in strategies {
                let figures = Model::new(config, Workload::Prefixes, slow, seed).run(gap);
                print_row(fleet, gap, name, &figures);
            }
        }
    }
}

fn print_row(fleet: &str, gap: Duration, name: &str, figures: &Figures) {
    let [p50, p95, p99] = [50, 95, 99].map(|percent| quantile(&figures.waits, percent));
    let warm = figures.warm * 100 / REQUESTS;
    let load = 1.0 / gap.as_secs_f64();
    println!("{fleet:<6}  {load:6.0}  {name:<24} {p50:>5}  {p95:>5}  {p99:>5}  {warm:>6}");
}

fn compare_prompts(strategies: &[(&str, RoutingConfig)], seed: u64) {
    println!("prompts, seed {seed}, time to the first token in ms");
    println!("fleet   load/s  strategy                  mean    p50    p95    p99  warm %");
    let weighed = Workload::Prompts { weighed: true };
    let unaware = Workload::Prompts { weighed: false };
    for (fleet, slow) in [("even", &[][..]), ("uneven", &SLOW)] {
        for gap in PROMPT_GAPS {
            let (_, default) = &strategies[0];
            let rows = strategies[..2].iter().map(|(n, c)| (*n, c, unaware));
            for (name, config, workload) in rows.chain([("time saved", default, weighed)]) {
                let figures = Model::new(config, workload, slow, seed).run(gap);
                let sum: Duration = figures.waits.iter().sum();
                let mean = (sum / REQUESTS).as_millis();
                let [p50, p95, p99] = [50, 95, 99].map(|p| quantile(&figures.waits, p));
                let (load, warm) = (1.0 / gap.as_secs_f64(), figures.warm * 100 / REQUESTS);
                println!(
                    "{fleet:<6}  {load:6.0}  {name:<24} {mean:>5}  {p50:>5}  {p95:>5}  {p99:>5}  \
                     {warm:>6}"
                );
            }
        }
    }
}

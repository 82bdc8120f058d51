//! Compares routing strategies on one seeded workload in a simulation without I/O.
//!
//! Replicas have execution slots and cache a few prompt prefixes, whose requests they serve faster.
//! In the uneven runs some replicas are slow. Several entries route independently, and load reports
//! reach them with a delay. Run with
//! `cargo run --release -p apricothall-decide --example routing_compare -- [SEED]`.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use apricothall_decide::configs::{RoutingConfig, RoutingStrategy};
use apricothall_decide::routing::{Distance, Prefix, Query, Replica, Router};
use apricothall_types::{Load, Timestamp};
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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End {
        replica: usize,
        entry: usize,
    },
    Measure,
    Report {
        replica: usize,
        load: u32,
        measured: u64,
    },
}

#[derive(Clone, Copy)]
struct Job {
    entry: usize,
    prefix: u8,
    since: Timestamp,
}

/// A replica with slots, a queue and a cache of the most recently used prefixes.
struct Server {
    slowdown: f64,
    running: usize,
    queue: VecDeque<Job>,
    cache: VecDeque<u8>,
}

impl Server {
    /// Returns the time to serve `prefix` and whether it was cached, and caches it.
    fn serve(&mut self, prefix: u8, rng: &mut ChaCha8Rng) -> (Duration, bool) {
        let warm = self.cache.contains(&prefix);
        self.cache.retain(|p| *p != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        let base = if warm { WARM } else { COLD };
        let noise = rng.random_range(0.5..1.5);
        (base.mul_f64(self.slowdown * noise), warm)
    }
}

/// Results of one run.
struct Figures {
    waits: Vec<Duration>,
    warm: u32,
}

struct Model {
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
    fn new(config: &RoutingConfig, slow: &[f64], seed: u64) -> Self {
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
        Self {
            routers: vec![Router::new(config.clone()); ENTRIES],
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
                Event::End { replica, entry } => {
                    self.routers[entry].note_end(&self.replicas[replica].id);
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
        let none = BTreeSet::new();
        let query = Query {
            replicas: &self.replicas,
            excluded: &none,
            prefix: Some(Prefix::of(&[prefix])),
        };
        let choice = self.routers[entry].choose(query, now, &mut self.choice);
        let member = choice.expect("a replica").member;
        self.routers[entry].note_start(&member);
        let same = |r: &Replica| r.id == member;
        let replica = self.replicas.iter().position(same).expect("known");
        let since = now;
        self.servers[replica].queue.push_back(Job {
            entry,
            prefix,
            since,
        });
        self.start(replica, now);
    }

    fn start(&mut self, replica: usize, now: Timestamp) {
        let server = &mut self.servers[replica];
        if server.running >= SLOTS {
            return;
        }
        let Some(job) = server.queue.pop_front() else {
            return;
        };
        server.running += 1;
        let (span, warm) = server.serve(job.prefix, &mut self.service);
        self.figures.warm += u32::from(warm);
        self.figures.waits.push(now.since(job.since));
        let entry = job.entry;
        self.push(now + span, Event::End { replica, entry });
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
    println!("seed {seed}, wait in ms");
    println!("fleet   load/s  strategy                   p50    p95    p99  warm %");
    for (fleet, slow) in [("even", &[][..]), ("uneven", &SLOW)] {
        for gap in GAPS {
            for (name, config) in &strategies {
                let figures = Model::new(config, slow, seed).run(gap);
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

//! Random departures, while the store refuses entries, leaves their requests unanswered or is down,
//! and entries are killed or stopped.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::DRAIN_LIMIT;
use crate::standin::StoreBehavior;
use crate::world::World;

/// Zones of the entries.
const ZONES: [&str; 5] = ["a", "a", "a", "b", "b"];

/// Number of servers.
const SERVERS: usize = 8;

/// Servers that never deregister.
const PERMANENT_SERVERS: usize = 2;

/// Callers at each entry.
const CALLERS: usize = 6;

/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(14);

/// Time for which an entry must run and reach an undisturbed store before it counts as in contact,
/// as the platform specifies it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A period in which the store did not answer or an entry did not run; still ongoing if `to` is
/// `None`.
#[derive(Debug)]
struct Disruption {
    /// The affected entry, or `None` for all.
    entry: Option<usize>,
    from: Instant,
    to: Option<Instant>,
}

impl Disruption {
    /// Whether the period overlaps the time for which `entry` must be undisturbed before `at`.
    fn is_excuse(&self, entry: Option<usize>, at: Instant) -> bool {
        let affects = self.entry.is_none() || self.entry == entry;
        affects && self.from <= at && self.to.is_none_or(|to| at < to + CONTACT_TIME)
    }
}

/// Faults and departures so far.
#[derive(Default)]
struct History {
    disruptions: Vec<Disruption>,
    /// Entries that the store does not answer.
    unanswered: BTreeSet<usize>,
    /// Time at which each server was deregistered.
    deregistered: Vec<(usize, Instant)>,
}

impl History {
    fn begin(&mut self, entry: Option<usize>) {
        self.end(entry);
        self.disruptions.push(Disruption {
            entry,
            from: Instant::now(),
            to: None,
        });
    }

    fn end(&mut self, entry: Option<usize>) {
        let on = self.disruptions.iter_mut().filter(|t| t.entry == entry);
        for disruption in on.filter(|t| t.to.is_none()) {
            disruption.to = Some(Instant::now());
        }
    }

    /// Records that an entry runs again.
    fn entry_runs(&mut self, entry: usize) {
        if !self.unanswered.contains(&entry) {
            self.end(Some(entry));
        }
    }

    fn is_excused(&self, entry: Option<usize>, at: Instant) -> bool {
        self.disruptions.iter().any(|t| t.is_excuse(entry, at))
    }
}

/// Runs `seed` and returns the violations of the drain limit, and servers that nobody used.
pub async fn run(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let case = format!("random_departures_{seed}");
    let mut world = World::start(&case, &ZONES, SERVERS).await;
    // Nothing is drawn for this, so that kept seeds stay what they are.
    if !seed.is_multiple_of(2) {
        world.write_foreign_entries("elsewhere");
    }
    for entry in 0..ZONES.len() {
        world.start_callers(entry, CALLERS);
    }
    let mut history = History::default();
    let ends = Instant::now() + RUN_TIME;
    while Instant::now() < ends {
        let step = apply_random_step(&mut world, &mut history, &mut rng).await;
        eprintln!("seed {seed}: {step}");
        let pause = Duration::from_millis(rng.random_range(20..700));
        tokio::time::sleep(pause).await;
    }
    let mut violations = late_requests(&world, &history);
    violations.extend(unused_servers(&world));
    if !violations.is_empty() {
        eprintln!(
            "seed {seed}: logs in {}",
            world.entries.keep_logs().display()
        );
    }
    world.stop().await;
    violations
}

/// Applies one random step; the effects of several steps may overlap.
async fn apply_random_step(
    world: &mut World,
    history: &mut History,
    rng: &mut ChaCha8Rng,
) -> String {
    let entry = rng.random_range(0..ZONES.len());
    match rng.random_range(0..20) {
        0..7 => deregister_next(world, history),
        7..10 => set_conduct(world, history, entry, StoreBehavior::Refuses),
        10..13 => set_conduct(world, history, entry, StoreBehavior::Silent),
        13..17 => set_conduct(world, history, entry, StoreBehavior::Answers),
        17 => outage(world, history, rng).await,
        18 => {
            history.begin(Some(entry));
            let step = world.entries.kill(entry).await;
            history.entry_runs(entry);
            step
        }
        _ => {
            history.begin(Some(entry));
            let step = world.entries.terminate(entry).await;
            history.entry_runs(entry);
            step
        }
    }
}

/// Deregisters the next server, which keeps serving.
fn deregister_next(world: &World, history: &mut History) -> String {
    let server = history.deregistered.len();
    if server + PERMANENT_SERVERS >= SERVERS {
        return "no further server may leave".into();
    }
    world.deregister(server);
    history.deregistered.push((server, Instant::now()));
    format!("server {server} deregistered")
}

fn set_conduct(
    world: &World,
    history: &mut History,
    entry: usize,
    conduct: StoreBehavior,
) -> String {
    let ip = world.entries.ip(entry);
    world.store.set_behavior_for(ip, conduct);
    if conduct == StoreBehavior::Answers {
        history.unanswered.remove(&entry);
        history.end(Some(entry));
    } else {
        history.unanswered.insert(entry);
        history.begin(Some(entry));
    }
    format!("store toward entry {entry}: {conduct:?}")
}

/// Makes the store unavailable to all entries; no lease lapses meanwhile.
async fn outage(world: &World, history: &mut History, rng: &mut ChaCha8Rng) -> String {
    let length = Duration::from_millis(rng.random_range(300..3_500));
    history.begin(None);
    world.store.set_behavior(StoreBehavior::Refuses);
    tokio::time::sleep(length).await;
    world.store.set_behavior(StoreBehavior::Answers);
    history.end(None);
    format!("store was unavailable for {length:?}")
}

/// Requests from entries in contact with the store that reached a server after the drain limit.
fn late_requests(world: &World, history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for (server, deregistered) in &history.deregistered {
        // A removal acknowledged just after an outage is not bound by the drain limit.
        if history.is_excused(None, *deregistered) {
            continue;
        }
        let (seen, _) = &world.servers[*server];
        for (request, at) in seen.requests().iter().zip(seen.times()) {
            let late = at.saturating_duration_since(*deregistered);
            let entry = request.attempt().split('-').next();
            let entry = entry.and_then(|e| e.parse().ok());
            if late > DRAIN_LIMIT && !history.is_excused(entry, at) {
                let id = request.attempt();
                violations.push(format!(
                    "{id} reached server {server} {late:?} after its deregistration"
                ));
            }
        }
    }
    violations
}

/// Servers that stay and received nothing, as if an entry of another writer had taken them away.
fn unused_servers(world: &World) -> Vec<String> {
    let staying = SERVERS - PERMANENT_SERVERS..SERVERS;
    let unused = staying.filter(|server| world.servers[*server].0.requests().is_empty());
    unused
        .map(|s| format!("server {s} received no requests"))
        .collect()
}

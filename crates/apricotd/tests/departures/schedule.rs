//! Random departures, while the store turns away entries, falls silent toward them or is away, and
//! entries are killed or stopped.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::DRAIN;
use crate::standin::StoreBehavior;
use crate::world::World;

/// Zones of the entries.
const ZONES: [&str; 5] = ["a", "a", "a", "b", "b"];

/// Servers, of which some stay.
const SERVERS: usize = 8;

/// Servers that stay.
const STAY: usize = 2;

/// Callers at each entry.
const CALLERS: usize = 6;

/// Length of a play.
const PLAY: Duration = Duration::from_secs(14);

/// Time for which an entry has its way to an undisturbed store before it counts as in touch, as the
/// platform states it.
const CONTACT: Duration = Duration::from_secs(3);

/// A time in which the store did not answer, or an entry did not run; still on without an end.
#[derive(Debug)]
struct Trouble {
    /// The entry; none for all.
    entry: Option<usize>,
    from: Instant,
    to: Option<Instant>,
}

impl Trouble {
    /// Whether it touches the time in which `entry` has to be undisturbed at `at`.
    fn excuses(&self, entry: Option<usize>, at: Instant) -> bool {
        let concerned = self.entry.is_none() || self.entry == entry;
        concerned && self.from <= at && self.to.is_none_or(|to| at < to + CONTACT)
    }
}

/// What has happened so far.
#[derive(Default)]
struct Ledger {
    troubles: Vec<Trouble>,
    /// Entries that the store does not answer.
    away: BTreeSet<usize>,
    /// When each server's entry was removed.
    left: Vec<(usize, Instant)>,
}

impl Ledger {
    fn begin(&mut self, entry: Option<usize>) {
        self.end(entry);
        self.troubles.push(Trouble {
            entry,
            from: Instant::now(),
            to: None,
        });
    }

    fn end(&mut self, entry: Option<usize>) {
        let on = self.troubles.iter_mut().filter(|t| t.entry == entry);
        for trouble in on.filter(|t| t.to.is_none()) {
            trouble.to = Some(Instant::now());
        }
    }

    /// Notes that an entry runs again.
    fn runs(&mut self, entry: usize) {
        if !self.away.contains(&entry) {
            self.end(Some(entry));
        }
    }

    fn is_excused(&self, entry: Option<usize>, at: Instant) -> bool {
        self.troubles.iter().any(|t| t.excuses(entry, at))
    }
}

/// Plays `seed` and returns what broke the promise.
pub async fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let case = format!("random_departures_{seed}");
    let mut world = World::start(&case, &ZONES, SERVERS).await;
    for entry in 0..ZONES.len() {
        world.ask(entry, CALLERS);
    }
    let mut ledger = Ledger::default();
    let ends = Instant::now() + PLAY;
    while Instant::now() < ends {
        let step = disturb(&mut world, &mut ledger, &mut rng).await;
        eprintln!("seed {seed}: {step}");
        let pause = Duration::from_millis(rng.random_range(20..700));
        tokio::time::sleep(pause).await;
    }
    let faults = late(&world, &ledger);
    if !faults.is_empty() {
        eprintln!(
            "seed {seed}: logs in {}",
            world.entries.keep_logs().display()
        );
    }
    world.end().await;
    faults
}

/// Does one thing; what several steps do overlaps.
async fn disturb(world: &mut World, ledger: &mut Ledger, rng: &mut ChaCha8Rng) -> String {
    let entry = rng.random_range(0..ZONES.len());
    match rng.random_range(0..20) {
        0..7 => leave(world, ledger),
        7..10 => turn(world, ledger, entry, StoreBehavior::Refuses),
        10..13 => turn(world, ledger, entry, StoreBehavior::Silent),
        13..17 => turn(world, ledger, entry, StoreBehavior::Answers),
        17 => outage(world, ledger, rng).await,
        18 => {
            ledger.begin(Some(entry));
            let step = world.entries.kill(entry).await;
            ledger.runs(entry);
            step
        }
        _ => {
            ledger.begin(Some(entry));
            let step = world.entries.terminate(entry).await;
            ledger.runs(entry);
            step
        }
    }
}

/// The next server leaves in peace, and goes on serving.
fn leave(world: &World, ledger: &mut Ledger) -> String {
    let server = ledger.left.len();
    if server + STAY >= SERVERS {
        return "no server is left to leave".into();
    }
    world.unlist(server);
    ledger.left.push((server, Instant::now()));
    format!("server {server} leaves")
}

fn turn(world: &World, ledger: &mut Ledger, entry: usize, conduct: StoreBehavior) -> String {
    let ip = world.entries.ip(entry);
    world.store.set_behavior_for(ip, conduct);
    if conduct == StoreBehavior::Answers {
        ledger.away.remove(&entry);
        ledger.end(Some(entry));
    } else {
        ledger.away.insert(entry);
        ledger.begin(Some(entry));
    }
    format!("the store {conduct:?} toward entry {entry}")
}

/// The store is away for all; no entry lapses in the time.
async fn outage(world: &World, ledger: &mut Ledger, rng: &mut ChaCha8Rng) -> String {
    let length = Duration::from_millis(rng.random_range(300..3_500));
    ledger.begin(None);
    world.store.set_behavior(StoreBehavior::Refuses);
    tokio::time::sleep(length).await;
    world.store.set_behavior(StoreBehavior::Answers);
    ledger.end(None);
    format!("the store was away for {length:?}")
}

/// Requests that reached a server later than they may, from entries in touch.
fn late(world: &World, ledger: &Ledger) -> Vec<String> {
    let mut faults = Vec::new();
    for (server, left) in &ledger.left {
        // What the store acks just after an outage binds nobody.
        if ledger.is_excused(None, *left) {
            continue;
        }
        let (seen, _) = &world.servers[*server];
        for (request, at) in seen.requests().iter().zip(seen.times()) {
            let late = at.saturating_duration_since(*left);
            let entry = request.attempt().split('-').next();
            let entry = entry.and_then(|e| e.parse().ok());
            if late > DRAIN && !ledger.is_excused(entry, at) {
                let id = request.attempt();
                faults.push(format!(
                    "{id} reached server {server} {late:?} after it left"
                ));
            }
        }
    }
    faults
}

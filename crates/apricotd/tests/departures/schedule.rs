//! Random departures, while the store refuses entries, leaves their requests unanswered or is down,
//! and entries are killed or stopped.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::DRAIN;
use crate::standin::Conduct;
use crate::world::World;

/// Zones of the entries.
const ZONES: [&str; 5] = ["a", "a", "a", "b", "b"];

/// Number of servers.
const SERVERS: usize = 8;

/// Servers that never deregister.
const STAY: usize = 2;

/// Callers at each entry.
const CALLERS: usize = 6;

/// Length of one run.
const PLAY: Duration = Duration::from_secs(14);

/// Time for which an entry must run and reach an undisturbed store before it counts as in contact,
/// as the platform specifies it.
const CONTACT: Duration = Duration::from_secs(3);

/// A period in which the store did not answer or an entry did not run; still ongoing if `to` is
/// `None`.
#[derive(Debug)]
struct Trouble {
    /// The affected entry, or `None` for all.
    entry: Option<usize>,
    from: Instant,
    to: Option<Instant>,
}

impl Trouble {
    /// Whether the period overlaps the time for which `entry` must be undisturbed before `at`.
    fn excuses(&self, entry: Option<usize>, at: Instant) -> bool {
        let concerned = self.entry.is_none() || self.entry == entry;
        concerned && self.from <= at && self.to.is_none_or(|to| at < to + CONTACT)
    }
}

/// Faults and departures so far.
#[derive(Default)]
struct Ledger {
    troubles: Vec<Trouble>,
    /// Entries that the store does not answer.
    away: BTreeSet<usize>,
    /// Time at which each server was deregistered.
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

    /// Records that an entry runs again.
    fn runs(&mut self, entry: usize) {
        if !self.away.contains(&entry) {
            self.end(Some(entry));
        }
    }

    fn is_excused(&self, entry: Option<usize>, at: Instant) -> bool {
        self.troubles.iter().any(|t| t.excuses(entry, at))
    }
}

/// Runs `seed` and returns the violations of the drain limit.
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

/// Applies one random step; the effects of several steps may overlap.
async fn disturb(world: &mut World, ledger: &mut Ledger, rng: &mut ChaCha8Rng) -> String {
    let entry = rng.random_range(0..ZONES.len());
    match rng.random_range(0..20) {
        0..7 => leave(world, ledger),
        7..10 => turn(world, ledger, entry, Conduct::Refuses),
        10..13 => turn(world, ledger, entry, Conduct::Silent),
        13..17 => turn(world, ledger, entry, Conduct::Answers),
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

/// Deregisters the next server, which keeps serving.
fn leave(world: &World, ledger: &mut Ledger) -> String {
    let server = ledger.left.len();
    if server + STAY >= SERVERS {
        return "no further server may leave".into();
    }
    world.unlist(server);
    ledger.left.push((server, Instant::now()));
    format!("server {server} deregistered")
}

fn turn(world: &World, ledger: &mut Ledger, entry: usize, conduct: Conduct) -> String {
    let ip = world.entries.ip(entry);
    world.store.conduct_toward(ip, conduct);
    if conduct == Conduct::Answers {
        ledger.away.remove(&entry);
        ledger.end(Some(entry));
    } else {
        ledger.away.insert(entry);
        ledger.begin(Some(entry));
    }
    format!("store toward entry {entry}: {conduct:?}")
}

/// Makes the store unavailable to all entries; no lease lapses meanwhile.
async fn outage(world: &World, ledger: &mut Ledger, rng: &mut ChaCha8Rng) -> String {
    let length = Duration::from_millis(rng.random_range(300..3_500));
    ledger.begin(None);
    world.store.conduct(Conduct::Refuses);
    tokio::time::sleep(length).await;
    world.store.conduct(Conduct::Answers);
    ledger.end(None);
    format!("store was unavailable for {length:?}")
}

/// Requests from entries in contact with the store that reached a server after the drain limit.
fn late(world: &World, ledger: &Ledger) -> Vec<String> {
    let mut faults = Vec::new();
    for (server, left) in &ledger.left {
        // A removal acknowledged just after an outage is not bound by the drain limit.
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
                    "{id} reached server {server} {late:?} after its deregistration"
                ));
            }
        }
    }
    faults
}

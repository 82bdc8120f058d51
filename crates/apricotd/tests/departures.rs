//! Servers that leave, or lapse, while the store does not answer some entries, or none.
//!
//! Entries are real processes, the store and the servers stand-ins. `cargo test -p apricotd --test
//! departures` plays set cases and the seeds that are kept; more seeds with
//! `SOAK_FIRST=100 SOAK_SEEDS=50 cargo test -p apricotd --test departures -- --ignored --nocapture`.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[path = "departures/schedule.rs"]
mod schedule;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[path = "departures/world.rs"]
mod world;

use std::time::{Duration, Instant};

use standin::StoreBehavior;
use world::World;

/// Servers.
const SERVERS: usize = 3;

/// Callers at each entry that is asked, enough to keep all servers busy.
const CALLERS: usize = 16;

/// Time in which all entries in touch with the store stop sending to a server that has left, as the
/// platform states it.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which callers go on after that.
const AFTER: Duration = Duration::from_millis(1_500);

/// A server leaves in peace just as the store turns to `conduct` toward the entries `away`. Those
/// in `asked` send it nothing later than [`DRAIN`] after the store acked that.
async fn play(
    case: &str,
    zones: &[&'static str],
    away: &[usize],
    conduct: StoreBehavior,
    asked: &[usize],
) {
    let mut world = World::start(case, zones, SERVERS).await;
    for entry in asked {
        world.ask(*entry, CALLERS);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in away {
        let ip = world.entries.ip(*entry);
        world.store.set_behavior_for(ip, conduct);
    }
    world.unlist(0);
    let left_at = Instant::now();
    tokio::time::sleep(DRAIN + AFTER).await;
    let (left, _) = &world.servers[0];
    assert!(!left.times().is_empty(), "it got requests before");
    let late = left
        .times()
        .into_iter()
        .map(|at| at.duration_since(left_at));
    let late: Vec<_> = late.filter(|late| *late > DRAIN).collect();
    let fault = late.last().map(|last| {
        let count = late.len();
        format!("{count} requests at a server that left, the last after {last:?}")
    });
    let faults: Vec<_> = fault.into_iter().collect();
    world.close(&faults).await;
}

macro_rules! departures {
    ($($(#[$doc:meta])* $case:ident: $zones:expr, $conduct:ident toward $away:expr, asked $asked:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            play(stringify!($case), &$zones, &$away, StoreBehavior::$conduct, &$asked).await;
        })*
    };
}

departures! {
    /// Guards against DRAIN: an entry that takes over from readers which the store turns away took a
    /// removal that the store had acked in peace for a lapse in an outage, and held the server 2 s more.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_readers_turned_away:
        ["a", "a", "a"], Refuses toward [0, 1], asked [2];
    /// Guards against the same where only one of two readers is turned away.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_one_reader:
        ["a", "a", "a"], Refuses toward [1], asked [0, 2];
    /// Guards against late news: readers that hear nothing from the store went unnoticed for longer
    /// than servers may still get requests.
    a_server_that_left_gets_nothing_where_the_readers_of_a_zone_fall_silent:
        ["a", "a", "a"], Silent toward [0, 1], asked [2];
    /// Guards against late news in a zone that lost the store, while another zone knows.
    a_server_that_left_gets_nothing_from_a_zone_that_hears_of_it_from_another:
        ["a", "a", "b", "b"], Silent toward [2, 3], asked [2, 3];
}

/// Guards against an empty list of servers after an outage of the store: entries of living servers
/// lapse in it and are back a moment after it, and callers see nothing of that.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_lapse_in_an_outage_of_the_store_keep_their_requests() {
    /// An entry lapses after three heartbeats of 1.2 s, the first of which may be before the outage.
    /// Callers' keys hold for 5 s without the store.
    const OUTAGE: Duration = Duration::from_secs(3);
    /// Time after the outage at which living servers have written their entries again.
    const BACK: Duration = Duration::from_millis(1_600);
    let mut world = World::start("servers_that_lapse", &["a", "a", "a"], SERVERS).await;
    for entry in 0..3 {
        world.ask(entry, CALLERS);
    }
    let begun = Instant::now();
    world.store.set_behavior(StoreBehavior::Refuses);
    tokio::time::sleep(OUTAGE).await;
    for server in 0..SERVERS {
        world.unlist(server);
    }
    world.store.set_behavior(StoreBehavior::Answers);
    tokio::time::sleep(BACK).await;
    for server in 0..SERVERS {
        world.list(server);
    }
    tokio::time::sleep(AFTER).await;
    let failed = world.asked.failed.lock().expect("no panic").clone();
    let fault = failed.first().map(|(at, what)| {
        let after = at.duration_since(begun);
        format!(
            "{} requests failed, the first {after:?} after the outage began: {what}",
            failed.len()
        )
    });
    let faults: Vec<_> = fault.into_iter().collect();
    world.close(&faults).await;
}

macro_rules! kept_seeds {
    ($($case:ident: $seed:literal;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let faults = schedule::play($seed).await;
            assert!(faults.is_empty(), "seed {}: {faults:#?}", $seed);
        })*
    };
}

// Guard against DRAIN whatever the store does with which entries, restarts among it.
kept_seeds! {
    random_departures_1: 1;
    random_departures_2: 2;
}

/// Many seeds by hand; the first and their number come from the environment.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; see the head of this file"]
async fn fresh_seeds() {
    let number = |name: &str, other| std::env::var(name).map_or(other, |t| t.parse().expect(name));
    let first: u64 = number("SOAK_FIRST", 1_000);
    let mut failed = Vec::new();
    for seed in first..first + number("SOAK_SEEDS", 10) {
        let faults = schedule::play(seed).await;
        if !faults.is_empty() {
            failed.push((seed, faults));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

//! Servers that leave while connections of all entries to the store fall silent for good.
//!
//! Entries are real processes, the store and the servers are stand-ins.
//! `cargo test -p apricotd --test silent_connections`

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "departures/world.rs"]
mod world;

use std::time::{Duration, Instant};

use standin::KEY;
use world::World;

/// An entry of each zone but the last reads the store, as all of its zone are readers.
const ZONES: [&str; 4] = ["a", "a", "a", "b"];

/// Number of servers, and of callers at each entry.
const SERVERS: usize = 4;
const CALLERS: usize = 4;

/// Time after a disruption from which the platform holds daemons to its bounds.
const CONTACT: Duration = Duration::from_secs(3);

/// Time within which entries must stop sending to a server that has left.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time for which callers send requests after the last departure.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// How a server leaves.
#[derive(Clone, Copy)]
enum Departure {
    Removed,
    Draining,
}

/// What happens in a case.
struct Case {
    name: &'static str,
    /// Pauses before each silence.
    silences: &'static [u64],
    /// Time from the last silence until the server leaves, in ms.
    leaves_after: u64,
    departure: Departure,
    /// Whether operators' items change all the while.
    changes: bool,
}

macro_rules! departures {
    ($($(#[doc = $guards:literal])* $case:ident: silent after $silences:expr, left after $after:literal, $departure:ident, changes $changes:literal;)*) => {
        $($(#[doc = $guards])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            run(Case {
                name: stringify!($case),
                silences: &$silences,
                leaves_after: $after,
                departure: Departure::$departure,
                changes: $changes,
            }).await;
        })*
    };
}

async fn run(case: Case) {
    let mut world = World::start(case.name, &ZONES, SERVERS).await;
    for entry in 0..ZONES.len() {
        world.start_callers(entry, CALLERS);
    }
    let store = world.store.clone();
    let changing = case.changes.then(|| {
        tokio::spawn(async move {
            for version in 2.. {
                store.configure(&format!("\"{KEY}\""), version);
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        })
    });
    for pause in case.silences {
        tokio::time::sleep(Duration::from_millis(*pause)).await;
        world.store.silence_connections("");
    }
    let silent = Instant::now();
    tokio::time::sleep(Duration::from_millis(case.leaves_after)).await;
    let (log, address) = world.servers[0].clone();
    match case.departure {
        Departure::Removed => world.deregister(0),
        Departure::Draining => world.store.put_server("i-0", address, "draining"),
    }
    let bound = (Instant::now() + DRAIN_LIMIT).max(silent + CONTACT);
    tokio::time::sleep(OBSERVATION_TIME).await;
    if let Some(changing) = changing {
        changing.abort();
    }
    let times = log.times();
    assert!(!times.is_empty(), "the server received no requests");
    let late: Vec<_> = times.iter().filter(|at| **at > bound).collect();
    let last = late.iter().map(|at| at.duration_since(bound)).max();
    let violation =
        last.map(|last| format!("{} requests too late, the last by {last:?}", late.len()));
    world.finish(&Vec::from_iter(violation)).await;
}

departures! {
    /// Guards against requests to a server that left after all watches fell silent (review/4).
    a_server_drains_after_a_silence: silent after [0], left after 3_200, Draining, changes false;
    /// Guards against a silence that is found out after daemons count as in touch again.
    a_server_is_removed_at_the_time_of_a_silence: silent after [0], left after 0, Removed, changes false;
    /// Guards against a repeated call that falls silent as well.
    a_server_drains_after_two_silences: silent after [0, 1_700], left after 3_000, Draining, changes false;
    /// Guards against changes of operators' items that keep a silent watch of servers alive.
    a_server_drains_while_items_change: silent after [0], left after 3_200, Draining, changes true;
}

//! Servers that deregister or whose leases lapse while the store does not answer some or all
//! entries.
//!
//! Entries are real processes, the store and the servers are stand-ins.
//! `cargo test -p apricotd --test departures` runs fixed cases and the kept seeds; further seeds:
//! `SOAK_FIRST=100 SOAK_SEEDS=50 cargo test -p apricotd --test departures -- --ignored --nocapture`

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[path = "departures/schedule.rs"]
mod schedule;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/seeds.rs"]
mod seeds;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "departures/world.rs"]
mod world;

use std::time::{Duration, Instant};

use seeds::kept_seeds;
use standin::StoreBehavior;
use world::World;

/// Number of servers.
const SERVERS: usize = 3;

/// Callers at each entry under load, enough to keep all servers busy.
const CALLERS: usize = 16;

/// Time within which entries in contact with the store must stop sending to a server that has
/// deregistered, as the platform specifies it.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time for which the load continues after that.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Deregisters a server just as the store starts to answer the entries `away` with `conduct`. The
/// entries `asked` must send it nothing later than [`DRAIN_LIMIT`] after the store acknowledged the
/// removal.
async fn run_case(
    case: &str,
    zones: &[&'static str],
    away: &[usize],
    conduct: StoreBehavior,
    asked: &[usize],
) {
    let mut world = World::start(case, zones, SERVERS).await;
    for entry in asked {
        world.start_callers(*entry, CALLERS);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in away {
        let ip = world.entries.ip(*entry);
        world.store.set_behavior_for(ip, conduct);
    }
    world.deregister(0);
    let left_at = Instant::now();
    tokio::time::sleep(DRAIN_LIMIT + OBSERVATION_TIME).await;
    let (left, _) = &world.servers[0];
    assert!(!left.times().is_empty(), "the server received no requests");
    let late = left
        .times()
        .into_iter()
        .map(|at| at.duration_since(left_at));
    let late: Vec<_> = late.filter(|late| *late > DRAIN_LIMIT).collect();
    let violation = late.last().map(|last| {
        let count = late.len();
        format!("{count} requests reached a deregistered server too late, the last after {last:?}")
    });
    let violations: Vec<_> = violation.into_iter().collect();
    world.finish(&violations).await;
}

macro_rules! departures {
    ($($(#[$doc:meta])* $case:ident: $zones:expr, $conduct:ident toward $away:expr, asked $asked:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            run_case(stringify!($case), &$zones, &$away, StoreBehavior::$conduct, &$asked).await;
        })*
    };
}

departures! {
    /// Guards against the incident DRAIN (docs/incidents/drain.md): an entry that takes over from
    /// readers which the store refuses mistook an acknowledged removal for a lapse during an
    /// outage, and kept the server for 2 s more.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_readers_turned_away:
        ["a", "a", "a"], Refuses toward [0, 1], asked [2];
    /// Guards against the same fault where the store refuses only one of two readers.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_one_reader:
        ["a", "a", "a"], Refuses toward [1], asked [0, 2];
    /// Guards against late updates: readers that got no reply from the store went undetected for
    /// longer than servers may still receive requests.
    a_server_that_left_gets_nothing_where_the_readers_of_a_zone_fall_silent:
        ["a", "a", "a"], Silent toward [0, 1], asked [2];
    /// Guards against late updates in a zone that lost the store while another zone still has it.
    a_server_that_left_gets_nothing_from_a_zone_that_hears_of_it_from_another:
        ["a", "a", "b", "b"], Silent toward [2, 3], asked [2, 3];
}

/// Guards against an empty server list after an outage of the store: leases of living servers lapse
/// during it and are renewed shortly afterwards. Callers must not notice.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_lapse_in_an_outage_of_the_store_keep_their_requests() {
    /// A lease lapses after three heartbeats of 1.2 s, the first of which may precede the outage.
    /// Callers' keys stay valid for 5 s without the store.
    const OUTAGE: Duration = Duration::from_secs(3);
    /// Time after the outage within which living servers have registered again.
    const REREGISTRATION_TIME: Duration = Duration::from_millis(1_600);
    let mut world = World::start("servers_that_lapse", &["a", "a", "a"], SERVERS).await;
    for entry in 0..3 {
        world.start_callers(entry, CALLERS);
    }
    let outage_start = Instant::now();
    world.store.set_behavior(StoreBehavior::Refuses);
    tokio::time::sleep(OUTAGE).await;
    for server in 0..SERVERS {
        world.deregister(server);
    }
    world.store.set_behavior(StoreBehavior::Answers);
    tokio::time::sleep(REREGISTRATION_TIME).await;
    for server in 0..SERVERS {
        world.register(server);
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    let failed = world.requests.failed.lock().expect("no panic").clone();
    let violation = failed.first().map(|(at, what)| {
        let after = at.duration_since(outage_start);
        format!(
            "{} requests failed, the first {after:?} after the start of the outage: {what}",
            failed.len()
        )
    });
    let violations: Vec<_> = violation.into_iter().collect();
    world.finish(&violations).await;
}

// Guard against the incident DRAIN under random store faults and restarts of entries; 91208 against a
// list of servers that is waited for on a silent connection.
kept_seeds! {
    schedule::run;
    random_departures_1: 1;
    random_departures_2: 2;
    random_departures_91208: 91_208;
}

/// Runs further seeds; the first seed and their number are read from the environment.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; see the head of this file"]
async fn fresh_seeds() {
    seeds::run_fresh(async |seed| schedule::run(seed).await).await;
}

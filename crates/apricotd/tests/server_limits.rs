//! Servers that name a limit, before entries that are processes of their own.
//!
//! `cargo test -p apricotd --test server_limits` runs fixed cases and the kept seeds; further seeds,
//! and other numbers of entries, are run by `SOAK_FIRST=100 SOAK_SEEDS=50 SOAK_ENTRIES=16 cargo test
//! -p apricotd --test server_limits -- --ignored --nocapture`.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[path = "server_limits/schedule.rs"]
mod schedule;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/seeds.rs"]
mod seeds;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[path = "server_limits/world.rs"]
mod world;

use std::time::{Duration, Instant};

use seeds::kept_seeds;
use world::World;

/// Time after the naming of limits until their use is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time for which the use of limits is measured.
const LOAD_TIME: Duration = Duration::from_secs(24);

macro_rules! limits {
    ($($(#[$doc:meta])* $case:ident: $zones:expr, $limits:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            let mut world = World::start(stringify!($case), &$zones, $limits.len(), 3).await;
            world.start_callers();
            world.name_limits(&$limits);
            tokio::time::sleep(SETTLE_TIME).await;
            let from = Instant::now();
            tokio::time::sleep(LOAD_TIME).await;
            let unused = world.unused_limits(&$limits, from);
            let violations = world.close(unused).await;
            assert!(violations.is_empty(), "{violations:#?}");
        })*
    };
}

limits! {
    /// Guards against the incident LIMIT (docs/incidents/limit.md): no entry read the limits that
    /// servers name, and each sent as if it were the only one.
    servers_get_no_more_than_their_limits_from_eight_entries:
        ["a", "a", "a", "a", "a", "b", "b", "b"], ["1.6", "1"];
    /// Guards against the same with more entries than a server with a low limit tolerates requests.
    servers_get_no_more_than_their_limits_from_sixteen_entries:
        ["a", "a", "a", "a", "a", "a", "a", "a", "b", "b", "b", "b", "b", "b", "b", "b"],
        ["1", "0.3", "3"];
}

// Guard against limits that are exceeded while they change and entries restart or freeze.
kept_seeds! {
    |seed| schedule::run(seed, 8);
    random_limits_1: 1;
    random_limits_2: 2;
}

/// Runs further seeds; the first seed, their number and the number of entries are read from the
/// environment.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; see the head of this file"]
async fn fresh_seeds() {
    let entries = usize::try_from(seeds::number("SOAK_ENTRIES", 8)).expect("few");
    seeds::run_fresh(async |seed| schedule::run(seed, entries).await).await;
}

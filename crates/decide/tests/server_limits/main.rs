//! Limits that servers name for all entries together, checked on a model of many entries.

mod cold;
mod cold_world;
mod delivery;
mod pending;
mod server;
mod world;

use std::time::Duration;

use apricothall_decide::server_limits::{Place, Sender, ServerLife, ServerLimits, Verdict};
use apricothall_types::{Quota, Timestamp, WallTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{Conditions, START, World};

/// Part of a limit that must be used in a calm minute, in percent.
const MIN_USE_PERCENT: u64 = 70;

fn quota(text: &str) -> Quota {
    text.parse().expect("a rate")
}

fn calm(entries: usize) -> Conditions {
    Conditions {
        entries,
        zones: if entries > 100 { 7 } else { 3 },
        demand: 8.0,
        loss: 0.0,
        gossip_delay: Duration::from_millis(20),
        view_delay: Duration::from_millis(500),
    }
}

/// Runs a calm minute and checks that limits are kept and used.
fn run_calm(entries: usize, limits: &[&str]) {
    let mut world = World::new(1, calm(entries), limits.len());
    for (server, limit) in limits.iter().enumerate() {
        world.set_limit(server, Some(quota(limit)));
    }
    world.run(Duration::from_secs(10));
    let from = world.now();
    world.run(Duration::from_mins(1));
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
    for (server, limit) in limits.iter().enumerate() {
        let allowed = quota(limit).over(Duration::from_mins(1));
        let arrived = u64::try_from(world.arrived_since(server, from)).expect("few");
        assert!(
            arrived * 1_000 >= allowed * MIN_USE_PERCENT / 100,
            "{arrived} requests in a minute with a limit of {limit}"
        );
    }
}

macro_rules! calm_minute {
    ($($case:ident: $entries:literal, $limits:expr;)*) => {
        $(#[test] fn $case() { run_calm($entries, &$limits); })*
    };
}

// Guard against limits that are exceeded, or hardly used, by entries that know each other.
calm_minute! {
    one_entry: 1, ["0.5", "1", "4"];
    eight_entries: 8, ["0.3", "1", "1.6", "5", "20"];
    sixteen_entries: 16, ["0.3", "1", "1.6", "5", "20"];
    sixty_entries: 60, ["0.3", "1", "1.6", "5", "20"];
    three_hundred_entries: 300, ["1", "20"];
    entries_at_full_size: 2_400, ["1.6"];
}

/// Runs random restarts, freezes and changes of limits with late and lost gossip.
fn run_faults(seed: u64, entries: usize, servers: usize) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let conditions = Conditions {
        loss: rng.random_range(0.0..0.3),
        gossip_delay: Duration::from_millis(rng.random_range(20..600)),
        view_delay: Duration::from_millis(rng.random_range(200..2_500)),
        ..calm(entries)
    };
    let mut world = World::new(seed, conditions, servers);
    for _ in 0..12 {
        for server in 0..servers {
            match rng.random_range(0..8) {
                0 => world.set_limit(server, None),
                1..4 => {
                    let limit = Quota(rng.random_range(100..4_000));
                    world.set_limit(server, Some(limit));
                }
                _ => {}
            }
        }
        let entry = rng.random_range(0..entries);
        match rng.random_range(0..4) {
            0 => world.restart(entry),
            1 => world.freeze(entry, Duration::from_millis(rng.random_range(500..6_000))),
            _ => {}
        }
        world.run(Duration::from_millis(rng.random_range(500..6_000)));
    }
    world.violations
}

macro_rules! faults {
    ($($case:ident: $seeds:expr, $entries:literal;)*) => {
        $(#[test] fn $case() {
            for seed in $seeds {
                let found = run_faults(seed, $entries, 2);
                assert!(found.is_empty(), "seed {seed}: {found:#?}");
            }
        })*
    };
}

// Guard against limits that are exceeded while views differ, entries restart or freeze, and gossip
// is late or lost.
faults! {
    faults_with_one_entry: 0..20, 1;
    faults_with_eight_entries: 0..40, 8;
    faults_with_sixteen_entries: 0..30, 16;
    faults_with_sixty_entries: 0..10, 60;
    faults_with_three_hundred_entries: 0..2, 300;
    faults_at_full_size: 0..1, 2_400;
}

/// Guards against a limit that starves its server after the server has stopped naming it.
#[test]
fn a_limit_ends_at_all_entries_once_it_is_no_longer_named() {
    for limit in ["0", "0.3", "1.6"] {
        let mut world = World::new(3, calm(16), 1);
        world.set_limit(0, Some(quota(limit)));
        world.run(Duration::from_secs(10));
        assert_eq!(world.knowing(0), 16);
        world.set_limit(0, None);
        world.run(Duration::from_secs(40));
        assert_eq!(world.knowing(0), 0, "limit {limit}");
    }
}

fn life(born: u64) -> ServerLife {
    ServerLife {
        id: "s".parse().expect("valid"),
        born: WallTime(born),
        place: Place {
            zone: "z".parse().expect("valid"),
            region: None,
        },
    }
}

fn only_sender() -> ServerLimits {
    ServerLimits::for_single_sender(Sender {
        id: "e".parse().expect("valid"),
        zone: "z".parse().expect("valid"),
        region: "r".parse().expect("valid"),
    })
}

/// Guards against a limit that outlives the process of the server that named it.
#[test]
fn a_limit_ends_with_the_process_of_its_server() {
    let mut limits = only_sender();
    limits.observe(&life(1), Some(quota("1")), START, START);
    let id = life(1).id;
    assert!(limits.is_limited(&id, WallTime(1)));
    assert_eq!(limits.verdict(&id, WallTime(2), START), Verdict::Unlimited);
}

/// Guards against a limit far above any demand that holds requests back.
#[test]
fn a_huge_limit_never_binds() {
    let mut limits = only_sender();
    limits.observe(&life(1), Some(Quota(u64::MAX)), START, START);
    let id = life(1).id;
    for ms in 1..10_000 {
        let now = START + Duration::from_millis(ms);
        assert!(limits.take(&id, WallTime(1), now), "{ms} ms");
    }
}

/// Guards against a server without room that is never asked again, and against a flood to it.
#[test]
fn a_limit_of_nought_lets_few_requests_through() {
    let mut limits = only_sender();
    limits.observe(&life(1), Some(Quota(0)), START, START);
    let id = life(1).id;
    let taken = (0..60_000).filter(|ms| {
        let now = START + Duration::from_millis(*ms);
        limits.take(&id, WallTime(1), now)
    });
    let taken = taken.count();
    assert!((4..=14).contains(&taken), "{taken} in a minute");
}

/// Guards against answers to earlier requests that are taken for the end of a limit.
#[test]
fn answers_to_requests_from_before_a_naming_do_not_end_a_limit() {
    let mut limits = only_sender();
    let later = START + Duration::from_secs(1);
    limits.observe(&life(1), Some(quota("1")), START, later);
    for _ in 0..10 {
        limits.observe(&life(1), None, START, later + Duration::from_secs(1));
    }
    assert!(limits.is_limited(&life(1).id, WallTime(1)));
}

/// Guards against an entry that takes over the limit of another server process or an older limit
/// from a peer.
#[test]
fn what_a_peer_tells_is_ordered() {
    let mut told = only_sender();
    told.observe(&life(2), Some(quota("2")), START, START);
    let newer = told.records(8, START);
    let mut other = only_sender();
    other.observe(&life(1), Some(quota("1")), START, START);
    let older = other.records(8, START);
    let now: Timestamp = START + Duration::from_secs(1);
    let mut limits = only_sender();
    limits.merge(&newer[0], now);
    assert_eq!(limits.merge(&older[0], now), None);
    assert!(limits.is_limited(&life(2).id, WallTime(2)));
    assert_eq!(limits.records(8, now)[0].limit, Some(quota("2")));
}

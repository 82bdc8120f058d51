//! Limits of cold servers, checked on a model of many entries and on single entries.

use std::time::Duration;

use apricothall_decide::server_limits::cold::{ColdServers, ColdStart, ServerEntry};
use apricothall_decide::server_limits::{
    ColdSource, Place, Sender, ServerLife, ServerLimits, Source, Tolerance, Verdict,
};
use apricothall_decide::servers::{Server, ServerState};
use apricothall_types::{Quota, Timestamp, WallTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cold_world::{COLD_TIME, ColdWorld, Conditions, LIMIT, ZONES};
use crate::world::START;

/// Time over which the use of a limit is measured.
const USE_TIME: Duration = Duration::from_secs(5);

/// Time within which all entries know each other after a partition.
const HEAL_TIME: Duration = Duration::from_secs(4);

/// Number of servers of a run.
const SERVERS: usize = 6;

fn busy(entries: usize) -> Conditions {
    Conditions {
        entries,
        demand: if entries == 1 { 60.0 } else { 12.0 },
        delay: Duration::from_millis(500),
    }
}

/// Asserts that a server got at least half of its limit since `from`.
fn assert_used(world: &ColdWorld, server: usize, from: Timestamp) {
    let span = world.now.since(from);
    let arrived = u64::try_from(world.arrived_since(server, from)).expect("few");
    assert!(
        arrived * 1_000 * 2 >= LIMIT.over(span),
        "server {server}: {arrived} requests in {span:?}"
    );
}

/// Runs servers that become cold in turn while nothing else happens.
fn run_calm(entries: usize) {
    let mut world = ColdWorld::new(1, busy(entries), SERVERS);
    for server in 0..SERVERS {
        world.run(Duration::from_millis(300));
        world.make_cold(server, server % 3 != 0, server % 2 == 0);
    }
    world.run(Duration::from_secs(3));
    let from = world.now;
    world.run(USE_TIME);
    for server in 0..SERVERS {
        assert_used(&world, server, from);
    }
    world.run(COLD_TIME);
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

macro_rules! calm {
    ($($case:ident: $entries:literal;)*) => {
        $(#[test] fn $case() { run_calm($entries); })*
    };
}

// Guard against cold servers that get too much, or hardly anything, from entries that know each
// other.
calm! {
    cold_servers_and_one_entry: 1;
    cold_servers_and_eight_entries: 8;
    cold_servers_and_36_entries: 36;
    cold_servers_and_50_entries: 50;
    cold_servers_and_300_entries: 300;
}

/// Runs a zone that returns from an evacuation with cold servers, which get the demand of all
/// entries at once.
fn run_return(seed: u64, entries: usize) {
    let mut world = ColdWorld::new(seed, busy(entries), SERVERS);
    world.evacuate(1);
    world.run(Duration::from_secs(5));
    world.restore(1, false);
    world.run(Duration::from_secs(3));
    let from = world.now;
    world.run(USE_TIME);
    for server in (1..SERVERS).step_by(ZONES) {
        assert_used(&world, server, from);
    }
    world.run(COLD_TIME);
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

macro_rules! returns {
    ($($case:ident: $seeds:expr, $entries:literal;)*) => {
        $(#[test] fn $case() {
            for seed in $seeds { run_return(seed, $entries); }
        })*
    };
}

// Guard against a zone whose cold servers get all of the demand once its evacuation is removed.
returns! {
    a_zone_returns_with_one_entry: 0..5, 1;
    a_zone_returns_with_eight_entries: 0..5, 8;
    a_zone_returns_with_36_entries: 0..5, 36;
    a_zone_returns_with_50_entries: 0..5, 50;
    a_zone_returns_with_300_entries: 0..1, 300;
}

/// Runs random partitions and restarts of entries, also of partitioned ones, while servers become
/// cold again and again.
fn run_faults(seed: u64, entries: usize) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = ColdWorld::new(seed, busy(entries), SERVERS);
    let mut evacuated = None;
    for _ in 0..24 {
        match rng.random_range(0..10) {
            0..4 => {
                let server = rng.random_range(0..SERVERS);
                world.make_cold(server, rng.random(), rng.random());
            }
            4 => world.restart(rng.random_range(0..entries), rng.random()),
            5 => {
                let most = entries.div_ceil(2).min(4);
                let group = rng.random_range(1..=most);
                let group: Vec<_> = (0..group).map(|_| rng.random_range(0..entries)).collect();
                world.partition(&group);
            }
            6 => {
                let group: Vec<_> = (0..entries).filter(|e| e % ZONES == 0).collect();
                world.partition(&group);
            }
            7 => {
                world.heal();
                world.run(HEAL_TIME);
            }
            _ => {
                if let Some(zone) = evacuated.take() {
                    world.restore(zone, true);
                } else {
                    let zone = rng.random_range(0..ZONES);
                    world.evacuate(zone);
                    evacuated = Some(zone);
                }
            }
        }
        world.run(Duration::from_millis(rng.random_range(300..9_000)));
    }
    world.violations
}

macro_rules! faults {
    ($($case:ident: $seeds:expr, $entries:literal;)*) => {
        $(#[test] fn $case() {
            for seed in $seeds {
                let found = run_faults(seed, $entries);
                assert!(found.is_empty(), "seed {seed}: {found:#?}");
            }
        })*
    };
}

// Guard against cold servers that get too much while entries are partitioned, join or restart, and
// their views differ.
faults! {
    faults_with_one_entry_and_cold_servers: 0..10, 1;
    faults_with_eight_entries_and_cold_servers: 0..20, 8;
    faults_with_36_entries_and_cold_servers: 0..10, 36;
    faults_with_50_entries_and_cold_servers: 0..6, 50;
}

// Guards against restarts during partitions that add up with partitioned entries to 31 requests in
// a second.
faults! {
    restarts_during_partitions_with_seed_187: 187..188, 8;
}

// Guards against four entries that lose each other and restart one by one, count few or no others,
// and each take most of a limit.
faults! {
    restarts_during_partitions_with_four_entries: 193..194, 4;
}

/// Guards against an entry that is restarted while it is partitioned from all others and takes the
/// whole limit when it learns of the servers before it hears from the others.
#[test]
fn an_entry_restarted_while_partitioned_waits_for_the_others() {
    let mut world = ColdWorld::new(187, busy(8), SERVERS);
    world.partition(&[0]);
    world.run(HEAL_TIME);
    world.restart(0, false);
    world.run(secs(10));
    for server in 0..SERVERS {
        world.make_cold(server, true, true);
    }
    world.run(secs(1));
    world.heal();
    for _ in 0..60 {
        world.run(Duration::from_millis(100));
        for server in 0..SERVERS {
            let share = world.share(0, server);
            assert!(share.is_none_or(|s| s <= Quota(1_700)), "{share:?}");
        }
    }
    world.run(secs(5));
    assert_eq!(world.share(0, 0), Some(Quota(1_700)));
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

/// Share of an entry whose settings name others of which it never hears, some time after its start.
fn share_alone(expects_others: bool, after: Duration) -> Option<Quota> {
    let own = Sender {
        id: "e".parse().expect("valid"),
        zone: "z".parse().expect("valid"),
        region: "r".parse().expect("valid"),
    };
    let mut limits = ServerLimits::new(own.id.clone(), START);
    limits.cold.set_expects_others(expects_others);
    let services = [("p".into(), start())].into();
    limits.cold.set_services(services, START);
    let now = START + after;
    limits.set_entries(vec![own], now);
    let server = listed(None);
    limits.observe_entry(&server, now);
    match limits.verdict(&server.id, server.born, now) {
        Verdict::PassedOver(passed) => passed.share,
        other => panic!("a new sender has no tokens: {other:?}"),
    }
}

/// Guards against a single entry that sends nothing as it waits for others, without any in its
/// settings or for ever.
#[test]
fn an_entry_that_hears_from_nobody_waits_only_for_expected_others() {
    let whole = Some(Quota(13_600));
    assert_eq!(share_alone(false, secs(4)), None);
    assert_eq!(share_alone(false, secs(5)), whole);
    assert_eq!(share_alone(true, secs(599)), None);
    assert_eq!(share_alone(true, secs(600)), whole);
}

/// Guards against an entry that takes more of a limit as it no longer hears from the others.
#[test]
fn a_partitioned_entry_keeps_its_share() {
    let mut world = ColdWorld::new(1, busy(36), SERVERS);
    world.make_cold(0, true, true);
    world.run(Duration::from_secs(4));
    let sending = world.sending(0);
    assert!((10..=14).contains(&sending), "{sending} senders");
    world.partition(&[0]);
    for _ in 0..6 {
        world.run(Duration::from_secs(15));
        world.make_cold(0, false, true);
        let isolated = world.share(0, 0);
        assert!(isolated.is_none_or(|s| s <= Quota(1_200)), "{isolated:?}");
    }
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

fn start() -> ColdStart {
    ColdStart {
        duration: COLD_TIME,
        limit: LIMIT,
    }
}

fn entry(born: u64, remaining: Option<Duration>) -> ServerEntry {
    ServerEntry {
        server: ServerLife {
            id: "s".parse().expect("valid"),
            born: WallTime(born),
            place: Place {
                zone: "z".parse().expect("valid"),
                region: None,
            },
        },
        service: "p".into(),
        remaining,
    }
}

fn cold_servers(start: ColdStart) -> ColdServers {
    let mut cold = ColdServers::new("e".parse().expect("valid"));
    cold.set_services([("p".into(), start)].into(), START);
    cold
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Number of cold servers at some times after the start, in seconds.
fn cold_at(cold: &ColdServers, times: &[u64]) -> Vec<usize> {
    let times = times.iter();
    times.map(|s| cold.counts(START + secs(*s)).0).collect()
}

/// Guards against lists of servers that are fetched again and prolong the cold time.
#[test]
fn the_same_statement_again_does_not_begin_a_new_cold_time() {
    let mut cold = cold_servers(start());
    assert!(cold.observe(entry(1, Some(secs(6))), START).is_some());
    for at in 1..6 {
        let again = cold.observe(entry(1, Some(secs(6))), START + secs(at));
        assert_eq!(again, None);
    }
    assert_eq!(cold_at(&cold, &[5, 6]), [1, 0]);
}

/// Guards against a server that becomes cold again, or has restarted, and is taken for warm.
#[test]
fn another_statement_or_start_begins_a_new_cold_time() {
    let mut cold = cold_servers(start());
    cold.observe(entry(1, Some(secs(2))), START);
    cold.observe(entry(1, Some(secs(0))), START + secs(10));
    assert_eq!(cold_at(&cold, &[10]), [0]);
    cold.observe(entry(1, Some(secs(2))), START + secs(20));
    assert_eq!(cold_at(&cold, &[20, 21, 22]), [1, 1, 0]);
    cold.observe(entry(2, Some(secs(2))), START + secs(30));
    assert_eq!(cold_at(&cold, &[31, 32]), [1, 0]);
}

/// Guards against a server that does not state its cold time and is taken for warm.
#[test]
fn a_start_without_a_statement_is_cold_for_the_time_of_the_service() {
    let mut cold = cold_servers(start());
    cold.observe(entry(1, None), START);
    cold.observe(entry(1, None), START + secs(5));
    assert_eq!(cold_at(&cold, &[0, 19, 20]), [1, 1, 0]);
    cold.observe(entry(2, Some(Duration::ZERO)), START + secs(30));
    assert_eq!(
        cold_at(&cold, &[30]),
        [0],
        "its entry states that it is warm"
    );
}

/// Guards against warm statements from before an evacuation that are taken for true after it.
#[test]
fn servers_of_a_restored_zone_are_cold() {
    let mut cold = cold_servers(start());
    cold.observe(entry(1, Some(Duration::ZERO)), START);
    let zone = "z".parse().expect("valid");
    let other = "y".parse().expect("valid");
    assert!(cold.zone_restored(&other, START + secs(1)).is_empty());
    let changes = cold.zone_restored(&zone, START + secs(10));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].source, ColdSource::Evacuation);
    assert_eq!(cold_at(&cold, &[10, 29, 30]), [1, 1, 0]);
    cold.observe(entry(1, Some(secs(40))), START + secs(15));
    assert_eq!(cold_at(&cold, &[54, 55]), [1, 0], "the latest end applies");
}

/// Guards against an older list that makes a server that has restarted warm again.
#[test]
fn an_older_start_does_not_replace_a_newer_one() {
    let mut cold = cold_servers(start());
    cold.observe(entry(2, Some(secs(9))), START);
    cold.observe(entry(1, Some(Duration::ZERO)), START + secs(1));
    assert_eq!(cold_at(&cold, &[8]), [1]);
}

/// Guards against a huge time that keeps the limit of a server for ever.
#[test]
fn a_huge_cold_time_ends() {
    for remaining in [None, Some(Duration::MAX)] {
        let huge = ColdStart {
            duration: Duration::MAX,
            ..start()
        };
        let mut cold = cold_servers(huge);
        cold.observe(entry(1, remaining), START);
        assert_eq!(cold_at(&cold, &[599, 600]), [1, 0], "{remaining:?}");
    }
}

/// Guards against a service without a limit whose servers are held back.
#[test]
fn servers_of_other_services_have_no_limit() {
    let mut cold = cold_servers(start());
    let mut other = entry(1, Some(secs(9)));
    other.service = "q".into();
    assert_eq!(cold.observe(other, START), None);
    assert_eq!(cold_at(&cold, &[0]), [0]);
}

fn listed(remaining: Option<Duration>) -> Server {
    Server {
        id: "s".parse().expect("valid"),
        service: "p".into(),
        address: "10.0.0.1:80".parse().expect("valid"),
        zone: "z".parse().expect("valid"),
        slots: 8,
        state: ServerState::Ready,
        born: WallTime(1),
        loaded: Vec::new(),
        cold_remaining: remaining,
    }
}

/// An entry that knows no others.
fn only_entry(start: ColdStart, tolerance: Tolerance) -> ServerLimits {
    let mut limits = ServerLimits::new("e".parse().expect("valid"), START - secs(60));
    limits
        .cold
        .set_services([("p".into(), start)].into(), START);
    limits.cold.set_tolerance(tolerance, START);
    let own = Sender {
        id: "e".parse().expect("valid"),
        zone: "z".parse().expect("valid"),
        region: "r".parse().expect("valid"),
    };
    limits.set_entries(vec![own], START);
    limits
}

/// Requests that an entry sends in each quarter of a second from `from`.
fn sent_by_quarter(limits: &mut ServerLimits, from: Timestamp, quarters: u64) -> Vec<u64> {
    let server = listed(None);
    let sent = (0..quarters).map(|quarter| {
        let takes = (0..250).filter(|ms| {
            let now = from + Duration::from_millis(quarter * 250 + ms);
            limits.take(&server.id, server.born, now)
        });
        u64::try_from(takes.count()).expect("few")
    });
    sent.collect()
}

/// Guards against entries that all send at the full rate once the cold time ends.
#[test]
fn the_limit_rises_in_steps_before_it_is_lifted() {
    let limit = Quota::per_second(100);
    let start = ColdStart { limit, ..start() };
    let mut limits = only_entry(start, Tolerance::COLD);
    limits.observe_entry(&listed(Some(secs(4))), START);
    let sent = sent_by_quarter(&mut limits, START + secs(3), 9);
    let cold: u64 = sent[..4].iter().sum();
    assert!((50..=150).contains(&cold), "{sent:?}");
    let steps = &sent[3..8];
    assert!(steps.is_sorted(), "{sent:?}");
    assert!(steps[4] >= steps[0] * 7 / 4, "twice the limit: {sent:?}");
    assert!(steps[4] <= steps[0] * 9 / 4, "twice the limit: {sent:?}");
    assert_eq!(sent[8], 250, "lifted");
}

/// Guards against limits and tolerances far from the usual that stall a server or panic.
#[test]
fn odd_limits_and_tolerances_let_requests_through() {
    let limits = [1, 500, 17_000, 1_000_000_000, u64::MAX];
    let ratios = [0, 1, 1_000, 1_500, u64::MAX];
    for limit in limits.map(Quota) {
        for (ratio, extra) in ratios.iter().flat_map(|r| ratios.map(|e| (*r, e))) {
            let start = ColdStart {
                limit,
                duration: secs(60),
            };
            let mut limits = only_entry(start, Tolerance::for_cold(ratio, extra));
            limits.observe_entry(&listed(None), START);
            let sent: u64 = sent_by_quarter(&mut limits, START, 80).iter().sum();
            assert!(
                sent >= 3,
                "limit {limit}, tolerance {ratio} and {extra}: {sent} in 20 s"
            );
        }
    }
}

/// Rate of the share of the first of eight entries of which `heard` still serve, some time after
/// the others fell silent or told that they leave.
fn share_after(heard: usize, announced: bool, after: Duration) -> Option<Quota> {
    let entries: Vec<_> = (0..8)
        .map(|index| Sender {
            id: format!("e{index}").parse().expect("valid"),
            zone: "z".parse().expect("valid"),
            region: "r".parse().expect("valid"),
        })
        .collect();
    let mut limits = ServerLimits::new(entries[0].id.clone(), START - secs(60));
    limits
        .cold
        .set_services([("p".into(), start())].into(), START);
    limits.set_entries(entries.clone(), START);
    if announced {
        let gone: Vec<_> = entries[heard..].iter().map(|e| e.id.clone()).collect();
        limits.cold.record_departures(&gone);
    }
    limits.set_entries(entries[..heard].to_vec(), START);
    let now = START + after;
    limits.set_entries(entries[..heard].to_vec(), now);
    let server = listed(None);
    limits.observe_entry(&server, now);
    match limits.verdict(&server.id, server.born, now) {
        Verdict::PassedOver(passed) => passed.share,
        other => panic!("a new sender has no tokens: {other:?}"),
    }
}

/// Guards against shares of ended entries that stay unused, and against shares of silent ones that
/// are used twice.
#[test]
fn shares_of_silent_entries_stay_unused_for_a_while() {
    let minutes = Duration::from_mins;
    let (all, six, four) = (Quota(1_700), Quota(2_266), Quota(3_400));
    assert_eq!(share_after(6, false, secs(29)), Some(all));
    assert_eq!(share_after(6, false, secs(31)), Some(six));
    assert_eq!(share_after(4, false, secs(31)), Some(all));
    assert_eq!(share_after(4, false, minutes(9)), Some(all));
    assert_eq!(share_after(4, false, minutes(11)), Some(four));
    assert_eq!(share_after(4, true, Duration::ZERO), Some(four));
    let alone = share_after(1, false, minutes(9));
    assert_eq!(alone, Some(all), "it may be partitioned");
}

/// Guards against one kind of limit that replaces the other.
#[test]
fn the_stricter_of_both_limits_applies() {
    for (named, most) in [("2", 60), ("400", 410)] {
        let mut limits = only_entry(start(), Tolerance::COLD);
        let server = listed(Some(secs(60)));
        limits.observe_entry(&server, START);
        let life = entry(1, None).server;
        limits.observe(&life, Some(named.parse().expect("a rate")), START, START);
        let sent: u64 = sent_by_quarter(&mut limits, START, 120).iter().sum();
        assert!((most / 2..=most).contains(&sent), "{named}: {sent} in 30 s");
    }
}

/// Guards against requests that waited for their connections and are then sent all at once.
#[test]
fn delayed_requests_are_not_sent_at_once() {
    let mut limits = only_entry(start(), Tolerance::COLD);
    let server = listed(Some(secs(60)));
    limits.observe_entry(&server, START);
    let mut waiting = Vec::new();
    for ms in 0..5_000 {
        let now = START + Duration::from_millis(ms);
        if limits.verdict(&server.id, server.born, now) == Verdict::Allowed {
            waiting.push(limits.reserve(&server.id, server.born, now));
        }
    }
    assert!(waiting.len() > 30, "{} requests wait", waiting.len());
    let now = START + secs(5);
    let sent = waiting.into_iter();
    let sent = sent.filter(|r| limits.confirm(&server.id, server.born, *r, now));
    let sent = sent.count();
    assert!((5..=15).contains(&sent), "{sent} requests at once");
}

/// Guards against a request that was placed before its server became cold and is sent past the
/// limit.
#[test]
fn a_server_that_becomes_cold_before_the_send_is_checked_again() {
    let mut limits = only_entry(start(), Tolerance::COLD);
    let warm = listed(Some(Duration::ZERO));
    limits.observe_entry(&warm, START);
    let (id, born) = (&warm.id, warm.born);
    assert_eq!(limits.verdict(id, born, START), Verdict::Unlimited);
    let reserved = limits.reserve(id, born, START);
    limits.observe_entry(&listed(Some(secs(9))), START);
    assert!(!limits.confirm(id, born, reserved, START));
}

/// Guards against log lines that do not tell why a server was passed over.
#[test]
fn a_server_that_was_passed_over_names_the_source() {
    let mut limits = only_entry(start(), Tolerance::COLD);
    let server = listed(None);
    limits.observe_entry(&server, START);
    let now = START + Duration::from_millis(20);
    let Verdict::PassedOver(passed) = limits.verdict(&server.id, server.born, now) else {
        panic!("a new sender has no tokens");
    };
    assert_eq!(passed.source, Source::Cold(ColdSource::Start));
    assert_eq!(passed.age, Duration::from_millis(20));
    assert!(passed.wait > Duration::ZERO && passed.wait < secs(1));
}

//! Claim protocol: each key starts at most once over all agents, under adversarial schedules.

mod step;
mod world;

use apricothall_decide::claims::{Verdict, creation_time};
use apricothall_types::WallTime;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use step::Step::{
    self, Boot, Call, Deliver, Drop, Fetch, Key, Late, List, Live, Opaque, Order, Read, Recent,
    Settle, Tick, Ticket,
};
use world::{DEADLINE, HORIZON, LAG, LEASE, OFFSET, RETRIES, World, config};

const AGENTS: usize = 4;
/// Number of agents in random schedules.
const RANDOM_AGENTS: usize = 3;
/// Time after an agent is first listed until it runs new keys.
const SETTLE_TIME: u64 = LEASE + LAG + 4 * OFFSET + 3;

/// The agent reads the latest list.
fn refresh(i: usize) -> [Step; 2] {
    [Fetch(i, 0), Read(i)]
}

/// Agents 0 and 1 are listed in this order and have waited for [`SETTLE_TIME`].
fn two_settled_agents() -> Vec<Step> {
    let mut steps = vec![List(0), List(1)];
    steps.extend(refresh(0).into_iter().chain(refresh(1)));
    steps.push(Tick(SETTLE_TIME));
    steps.extend(refresh(0).into_iter().chain(refresh(1)));
    steps
}

/// Each case is a schedule that follows [`two_settled_agents`], and the number of starts of its
/// last key.
macro_rules! schedules {
    ($($case:ident: [$($part:expr),* $(,)?] => $starts:expr;)*) => {
        $(#[test] fn $case() {
            let mut world = World::new(AGENTS, config());
            world.run(two_settled_agents());
            $(world.run($part);)*
            assert_eq!(world.violation(), None);
            let last = world.keys.last().expect("a key");
            assert_eq!(last.starts, $starts, "{:?}", world.refused);
        })*
    };
}

schedules! {
    oldest_agent_requests_no_claim: [[Key(0), Order(0, 0)]] => 1;
    younger_agent_requests_claim_from_older: [[Key(0), Order(1, 0), Settle]] => 1;
    older_agent_ran_it: [[Key(0), Order(0, 0), Order(1, 0), Settle]] => 1;
    younger_agent_claimed_it: [[Key(0), Order(1, 0), Deliver(0), Order(0, 0), Settle]] => 1;
    silent_older_agent_blocks: [[Key(0), Order(1, 0)]] => 0;
    retry_repeats_lost_claim: [[Key(0), Order(1, 0), Order(1, 0), Deliver(1), Deliver(2)]] => 1;
    repeated_grant_starts_once: [
        [Key(0), Order(1, 0), Deliver(0), Deliver(0), Deliver(1), Deliver(2), Deliver(1)]
    ] => 1;
    key_of_the_future_waits: [[Key(10), Order(0, 0)]] => 0;
    key_past_horizon_is_refused: [
        [Key(0), Tick(HORIZON + 2)], refresh(0), [Order(0, 0)],
    ] => 0;
    // Regression: an order created after a new agent was listed may already have run on a removed
    // agent within its lease. Comparing with the time of listing alone let it run twice.
    removed_agent_runs_new_key_within_its_lease: [
        [Fetch(0, 0), Read(0), Drop(0), Drop(1), List(2)], refresh(2),
        [Tick(5), Key(0), Order(0, 0), Order(2, 0), Settle, Tick(LEASE)], refresh(2),
        [Order(2, 0), Settle],
    ] => 1;
    // Regression: the list does not show a restart, so a restarted older agent granted keys that it
    // had run before.
    restarted_older_agent_cannot_grant: [
        [Key(0), Order(0, 0), Boot(0)], refresh(0), [Order(1, 0), Settle],
    ] => 1;
    // Regression: a restarted agent must not run a key that its previous incarnation may have run.
    restarted_agent_does_not_repeat: [
        [Key(0), Order(0, 0), Boot(0)], refresh(0), [Tick(SETTLE_TIME)], refresh(0), [Order(0, 0)],
    ] => 1;
    // Regression: a VM that is removed and listed again is younger than those listed in the
    // meantime. Agents that have it recorded as older must still request claims from it.
    relisted_agent_is_asked_at_its_old_position: [
        [Key(0), Order(0, 0), Drop(0)], refresh(1), [List(0)], refresh(1), [Order(1, 0), Settle],
    ] => 1;
    // Regression: an agent is suspended between its claims and the start until its lease has ended.
    suspended_before_start_loses_lease: [
        [Key(0), Order(1, 0), Deliver(0), Tick(LEASE), Deliver(1)],
    ] => 0;
    // Regression: an agent is suspended past the deadline, and its lease is renewed when it
    // resumes.
    suspended_past_deadline: [
        [Key(0), Order(1, 0), Deliver(0), Tick(DEADLINE)], refresh(1), [Deliver(1)],
    ] => 0;
    // Regression: a read requested before a suspension renews the lease from the time of the
    // request only.
    resumed_agent_reads_old_list: [
        [Fetch(0, 0), Tick(LEASE), Read(0), Key(0), Order(0, 0)],
    ] => 0;
    departed_agent_is_not_asked_for_younger_keys: [
        [Drop(0)], refresh(1), [Tick(SETTLE_TIME)], refresh(1), [Key(0), Order(1, 0)],
    ] => 1;
    opaque_key_runs_once_settled: [
        [Opaque, Order(1, 0), Settle, Tick(RETRIES + 3)], refresh(0), refresh(1),
        [Opaque, Order(1, 1), Settle, Order(0, 1), Order(1, 1)],
    ] => 1;
    // Regression: an agent removed after the first order may have run an opaque key that reaches
    // the new agent with its last retry.
    opaque_key_retried_at_its_successor: [
        [Tick(RETRIES + 3)], refresh(0), [Opaque, Order(0, 0), Drop(0), Drop(1), List(2)],
        refresh(2), [Tick(RETRIES)], refresh(2), [Order(2, 0), Settle],
    ] => 1;
    // Regression: a claim that was removed before the last retry was granted twice.
    opaque_claim_is_retained_for_late_requests: [
        [Tick(RETRIES + 3)], refresh(0), refresh(1), [Opaque, Order(0, 0), Tick(RETRIES)],
        refresh(0), refresh(1), [Order(1, 0), Tick(RETRIES + 1)], refresh(0), refresh(1), [Settle],
    ] => 1;
    replaced_pool_stops_then_resumes: [
        [Drop(0), Drop(1), List(2), List(3)], refresh(2), refresh(3),
        [Key(0), Order(2, 0), Tick(SETTLE_TIME)], refresh(2), refresh(3),
        [Order(2, 0), Key(0), Order(2, 1)],
    ] => 1;
}

#[test]
fn restarted_agent_replies_unsure() {
    let mut world = World::new(AGENTS, config());
    world
        .run(two_settled_agents())
        .run([Key(0), Boot(0), Order(1, 0), Settle]);
    assert_eq!(world.verdicts(), [Verdict::Unsure]);
}

/// Each case shows that a setting is needed: if it is zero, the schedule runs a key twice.
macro_rules! required_settings {
    ($($case:ident: $field:ident, [$($part:expr),* $(,)?];)*) => {
        $(#[test] fn $case() {
            let mut settings = config();
            settings.$field = apricothall_types::Interval::millis(0);
            let mut world = World::new(AGENTS, settings);
            world.run(two_settled_agents());
            $(world.run($part);)*
            assert!(world.violation().is_some(), "{:?}", world.keys);
        })*
    };
}

required_settings! {
    lag_counts_in_the_wait: lag, [
        [Fetch(0, 0), Drop(0), Drop(1), List(2)], refresh(2),
        [Tick(LAG - 1), Fetch(0, LAG), Read(0), Tick(LEASE - 1), Key(0), Order(0, 0)], refresh(2),
        [Order(2, 0)],
    ];
}

#[test]
fn only_version_7_keys_have_a_creation_time() {
    let key = "018f0000-0000-7000-8000-000000000000"
        .parse()
        .expect("valid");
    assert_eq!(creation_time(&key), Some(WallTime(0x018f_0000_0000)));
    let other = "018f0000-0000-4000-8000-000000000000"
        .parse()
        .expect("valid");
    assert_eq!(creation_time(&other), None);
    assert_eq!(creation_time(&"booking-1".parse().expect("valid")), None);
}

/// Steps of the platform and the VMs.
fn platform_step() -> impl Strategy<Value = Step> {
    let agent = 0..RANDOM_AGENTS;
    prop_oneof![
        2 => agent.clone().prop_map(Boot),
        6 => agent.clone().prop_map(List),
        5 => agent.clone().prop_map(Drop),
        2 => (agent.clone(), 0..=LAG).prop_map(|(i, age)| Fetch(i, age)),
        2 => agent.prop_map(Read),
        4 => (0..6_u64).prop_map(Tick),
    ]
}

/// Steps of callers and the network.
fn caller_step() -> impl Strategy<Value = Step> {
    let agent = 0..RANDOM_AGENTS;
    prop_oneof![
        3 => (-8..4_i64).prop_map(Key),
        10 => (agent.clone(), 0..3_usize).prop_map(|(i, back)| Recent(i, back)),
        6 => (0..8_usize).prop_map(Late),
        1 => (0..64_usize).prop_map(Deliver),
        3 => Just(Settle),
        3 => (0..3_u64).prop_map(Tick),
    ]
}

/// Calls with and without tickets, through entries with different views.
fn mixed_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..RANDOM_AGENTS).prop_map(Ticket),
        1 => (-8..4_i64).prop_map(Key),
        6 => (any::<u8>(), 0..2_u64, 0..4_usize, 0..9_usize)
            .prop_map(|(seen, lag, back, with)| Call(seen, lag, back, with)),
        1 => (0..RANDOM_AGENTS).prop_map(Boot),
        1 => Just(Settle),
        1 => (0..9_u64).prop_map(Tick),
    ]
}

/// Either a period in which some agents keep their lease, or platform or caller steps.
fn phase() -> impl Strategy<Value = Vec<Step>> {
    let live = (0..2 * SETTLE_TIME, any::<u8>(), 0..=LAG);
    let live = live.prop_map(|(span, set, age)| vec![Live(span, set, age)]);
    prop_oneof![
        4 => live,
        1 => Just(vec![Live(HORIZON - 2 * OFFSET, u8::MAX, 0)]),
        3 => proptest::collection::vec(platform_step(), 1..4),
        5 => proptest::collection::vec(caller_step(), 1..10),
    ]
}

/// Generates steps as [`phase`] does, and also for keys without an encoded time.
fn opaque_phase() -> impl Strategy<Value = Vec<Step>> {
    let opaque = phase().prop_map(|steps| {
        let opaque = |step| if matches!(step, Key(_)) { Opaque } else { step };
        steps.into_iter().map(opaque).collect()
    });
    let settled = (0..RANDOM_AGENTS).prop_map(|i| {
        vec![
            Live(SETTLE_TIME + RETRIES, u8::MAX, 0),
            Opaque,
            Recent(i, 0),
            Settle,
        ]
    });
    prop_oneof![5 => opaque, 1 => phase(), 2 => settled]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8_000, failure_persistence: None, max_shrink_iters: 20_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    #[test]
    fn each_key_starts_at_most_once(phases in proptest::collection::vec(phase(), 1..24)) {
        let mut world = World::new(RANDOM_AGENTS, config());
        world.run([List(0), List(1), Live(SETTLE_TIME, u8::MAX, 0)]);
        world.run(phases.into_iter().flatten());
        prop_assert_eq!(world.violation(), None);
    }

    #[test]
    fn each_opaque_key_starts_at_most_once(
        phases in proptest::collection::vec(opaque_phase(), 1..24),
    ) {
        let mut world = World::new(RANDOM_AGENTS, config());
        world.run([List(0), List(1), Live(SETTLE_TIME + RETRIES, u8::MAX, 0)]);
        world.run(phases.into_iter().flatten());
        prop_assert_eq!(world.violation(), None);
    }

    #[test]
    fn tickets_and_keys_mix(calls in proptest::collection::vec(mixed_step(), 1..60)) {
        let mut world = World::new(RANDOM_AGENTS, config());
        world.run([List(0), List(1), List(2), Live(SETTLE_TIME, u8::MAX, 0)]);
        for call in calls {
            world.run([call, Live(0, u8::MAX, 0)]);
        }
        prop_assert_eq!(world.violation(), None);
    }
}

#[test]
fn call_costs_two_messages_per_older_agent() {
    let mut world = World::new(8, config());
    world
        .run((0..8).map(List))
        .run([Live(SETTLE_TIME, u8::MAX, 0)]);
    for i in 0..8 {
        let before = world.sent;
        world.run([Key(0), Recent(i, 0), Settle]);
        assert_eq!(world.sent - before, 2 * i as u64);
        assert_eq!(world.keys[i].starts, 1);
    }
}

/// Prints the outcomes of adversarial schedules; run with `--nocapture`.
#[test]
fn outcomes_of_adversarial_schedules() {
    let mut runner = TestRunner::deterministic();
    let phases = proptest::collection::vec(phase(), 1..24);
    let (mut orders, mut keys, mut starts) = (0, 0, 0);
    let mut refused = std::collections::BTreeMap::<String, u64>::new();
    for _ in 0..1_000 {
        let steps = phases.new_tree(&mut runner).expect("a schedule").current();
        let mut world = World::new(RANDOM_AGENTS, config());
        world.run([List(0), List(1), Live(SETTLE_TIME, u8::MAX, 0)]);
        world.run(steps.into_iter().flatten());
        orders += world.orders;
        keys += world.keys.len();
        starts += world.keys.iter().filter(|k| k.starts > 0).count();
        for (why, count) in world.refused {
            *refused.entry(why).or_default() += count;
        }
    }
    println!("orders {orders}, keys {keys}, keys started {starts}, refused {refused:?}");
    assert!(starts > 0);
}

/// Prints for how long no new key runs after the whole pool was replaced.
#[test]
fn interruption_after_pool_replacement() {
    for (key, bound) in [(Key(0), SETTLE_TIME), (Opaque, SETTLE_TIME + RETRIES)] {
        let mut world = World::new(AGENTS, config());
        world
            .run(two_settled_agents())
            .run([Drop(0), Drop(1), List(2), List(3)]);
        let stopped = (0..10 * SETTLE_TIME).find(|_| {
            world.run([Live(1, u8::MAX, 0), key.clone(), Recent(2, 0)]);
            world.keys.last().is_some_and(|key| key.starts == 1)
        });
        println!(
            "lease {LEASE}, lag {LAG}, skew {}, retries {RETRIES}, {key:?}: stopped {stopped:?}",
            2 * OFFSET
        );
        assert!(stopped.is_some_and(|span| span <= bound));
    }
}

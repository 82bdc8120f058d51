//! Distributed limits with entries that join, fail and leave: sum of grants, fairness and critical
//! requests.

mod fleet;
mod schedule;

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use apricothall_decide::configs::LimitsConfig;
use apricothall_decide::limits::{Reason, class_of};
use apricothall_types::Class;
use fleet::{Fleet, RATE, WINDOWS, allowance, caller};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::{fault, run_schedule};

/// Number of steps after a fault-free start until all entries own their share and have borrowed.
const SETTLE_STEPS: usize = 750;

proptest! {
    #![proptest_config(Config {
        cases: 16,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(14),
        ..Config::default()
    })]

    // If all entries have the same list, no delay, loss, partition, freeze, crash or restart may
    // raise the sum of the rates above the limit.
    #[test]
    fn sum_of_grants_stays_at_the_limit(
        faults in prop::collection::vec(fault(6), 1..50),
        seed: u64,
    ) {
        let fleet = run_schedule(6, faults, seed);
        if fleet.granted.len() >= WINDOWS[0] {
            let allowed = allowance(fleet.starts, 6);
            prop_assert!(fleet.excess() <= allowed, "{} above {allowed}", fleet.excess());
        }
    }
}

fn run_without_faults(count: usize, demand: &[u32], steps: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 1);
    (0..steps).for_each(|_| fleet.advance(demand, 0.0));
    fleet
}

#[test]
fn demand_at_one_entry_uses_most_of_the_limit() {
    let fleet = run_without_faults(8, &[20], SETTLE_STEPS + 500);
    let share = f64::from(fleet.granted_since(SETTLE_STEPS)) / (10.0 * f64::from(RATE));
    assert!((0.85..=1.0).contains(&share), "{share} of the limit");
}

#[test]
fn even_demand_uses_the_whole_limit() {
    let fleet = run_without_faults(8, &[20; 8], SETTLE_STEPS + 500);
    let share = f64::from(fleet.granted_since(SETTLE_STEPS)) / (10.0 * f64::from(RATE));
    assert!((0.97..=1.01).contains(&share), "{share} of the limit");
}

#[test]
fn total_message_loss_leaves_equal_shares() {
    let mut fleet = run_without_faults(8, &[20], SETTLE_STEPS);
    (0..250).for_each(|_| fleet.advance(&[20], 1.0));
    let before = fleet.granted.len();
    (0..500).for_each(|_| fleet.advance(&[20], 1.0));
    let share = f64::from(fleet.granted_since(before)) / (10.0 * f64::from(RATE));
    assert!((0.12..=0.13).contains(&share), "{share} of the limit");
}

/// If a new list reaches some entries late, entries divide the limit by different counts until all
/// of them have it. The sum of grants must still stay within 1.01 of the limit.
#[test]
fn late_join_notice_keeps_grants_within_the_bound() {
    let mut fleet = run_without_faults(8, &[20; 9], SETTLE_STEPS);
    fleet.listed.insert(8);
    let node = fleet.start(8);
    fleet.nodes.push(node);
    // The joining entry has the new list; the others receive it 5 s later.
    (0..250).for_each(|_| fleet.advance(&[20; 9], 0.0));
    fleet.publish_list();
    (0..1_000).for_each(|_| fleet.advance(&[20; 9], 0.0));
    let sum: u32 = fleet.granted[SETTLE_STEPS..].iter().sum();
    let share = f64::from(sum) / (25.0 * f64::from(RATE));
    assert!(share <= 1.01, "{share} of the limit");
    assert!(fleet.nodes[8].limiter.ledger().is_owner(fleet.now(8)));
}

/// An entry that is removed from the list while it is frozen still uses its share after it resumes,
/// until it reads the list. Each such entry may exceed the limit by 1 / (number of entries).
#[test]
fn resumed_entry_missing_from_the_list_adds_one_share() {
    let mut fleet = run_without_faults(8, &[20; 8], SETTLE_STEPS);
    fleet.nodes[0].frozen = true;
    fleet.listed.remove(&0);
    fleet.publish_list();
    (0..500).for_each(|_| fleet.advance(&[20; 8], 0.0));
    fleet.nodes[0].frozen = false;
    fleet.nodes[0].partition = 1;
    let before = fleet.granted.len();
    (0..500).for_each(|_| fleet.advance(&[20; 8], 0.0));
    let share = f64::from(fleet.granted_since(before)) / (10.0 * f64::from(RATE));
    assert!((1.05..=1.135).contains(&share), "{share} of the limit");
}

#[test]
fn a_large_caller_does_not_starve_nine_small_ones() {
    let mut fleet = run_without_faults(1, &[], SETTLE_STEPS);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut refused = BTreeMap::new();
    let mut asked = 0;
    for _ in 0..1_500 {
        fleet.advance(&[40], 0.0);
        // Random arrivals of 20 requests per second per caller, a quarter of an equal share.
        for from in 1..10 {
            if rng.random_bool(0.4) {
                asked += 1;
                let result = fleet.request(0, from, Class::Interactive);
                *refused.entry(from).or_insert(0) += u32::from(result.is_err());
            }
        }
    }
    let lost: u32 = refused.values().sum();
    assert!(lost * 100 <= asked, "{lost} of {asked} refused");
    let large = f64::from(fleet.granted_since(SETTLE_STEPS)) / 30.0;
    assert!(
        large >= 0.9 * (f64::from(RATE) - 180.0),
        "{large} requests per second"
    );
}

// Guards against refusals of a small caller whose first requests come at once, as after a pause of
// the entry, when a large caller has used the burst.
#[test]
fn first_requests_of_a_small_caller_are_granted_at_once_beside_a_large_one() {
    let mut fleet = run_without_faults(1, &[40], SETTLE_STEPS);
    for _ in 0..4 {
        assert_eq!(fleet.request(0, 1, Class::Interactive), Ok(()));
    }
    let more = fleet.request(0, 1, Class::Interactive);
    assert_eq!(more, Err(Reason::EntryLimit));
}

#[test]
fn critical_is_granted_under_overload_at_the_expense_of_others() {
    let mut fleet = run_without_faults(1, &[], SETTLE_STEPS);
    for _ in 0..1_500 {
        fleet.advance(&[40], 0.0);
        assert_eq!(fleet.request(0, 1, Class::Critical), Ok(()));
    }
    // 50 critical requests per second leave 750 of 800 to the others.
    let lower = f64::from(fleet.granted_since(SETTLE_STEPS)) / 30.0;
    assert!(
        (728.0..=758.0).contains(&lower),
        "{lower} requests per second"
    );
}

macro_rules! classes {
    ($($case:ident: $entry:ident, $asked:expr, $tokens:expr, $body:expr => $class:ident;)*) => {
        $(#[test] fn $case() {
            let class = class_of(&LimitsConfig::default(), Class::$entry, $asked, $tokens, $body);
            assert_eq!(class, Class::$class);
        })*
    };
}

classes! {
    short_summary_is_critical: Critical, None, 512, 1_000 => Critical;
    long_answer_is_not_critical: Critical, None, 513, 1_000 => Interactive;
    large_body_is_not_critical: Critical, Some(Class::Critical), 1, 20_000 => Interactive;
    a_request_may_ask_for_less: Critical, Some(Class::Batch), 1, 1 => Batch;
    a_request_cannot_ask_for_more: Interactive, Some(Class::Critical), 1, 1 => Interactive;
}

#[test]
fn a_listed_caller_has_its_own_limit() {
    let mut fleet = run_without_faults(1, &[], SETTLE_STEPS);
    let limit = apricothall_types::CallerLimit {
        caller: caller(3),
        rate: NonZeroU32::new(10).expect("not zero"),
    };
    fleet.catalogue.callers.push(limit);
    let mut granted = 0;
    for _ in 0..500 {
        fleet.advance(&[], 0.0);
        match fleet.request(0, 3, Class::Interactive) {
            Ok(()) => granted += 1,
            Err(reason) => assert_eq!(reason, Reason::CallerLimit),
        }
    }
    assert!(
        (95..=105).contains(&granted),
        "{granted} requests granted in 10 s at 10 per second"
    );
}

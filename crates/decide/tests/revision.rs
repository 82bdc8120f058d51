//! The value in force while the service fails, lags or returns conflicting values.

mod fleet;

use apricothall_decide::configs::RevisionConfig;
use apricothall_decide::revision::{Decision, Missing, Poll, Readiness, Revisions, Source, Stamp};
use apricothall_types::Timestamp;
use fleet::service::{INVALID, stamp};
use fleet::{Fleet, record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000;
const IN_FORCE: u64 = 19 * SECOND;
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn empty() -> Revisions {
    fleet::service::revisions(START)
}

fn offer(revisions: &mut Revisions, stamp: Stamp) -> Decision {
    revisions.offer(Source::Service, stamp, Ok(()))
}

/// Two values with the same revision, in the order of their digests.
fn conflicting(revision: u64) -> (Stamp, Stamp) {
    let (a, b) = (stamp(revision, 1), stamp(revision, 2));
    (a.min(b), a.max(b))
}

#[test]
fn decisions_follow_the_order() {
    let (low, high) = conflicting(7);
    let mut r = empty();
    assert_eq!(offer(&mut r, low), Decision::Adopted);
    assert_eq!(offer(&mut r, low), Decision::Same);
    assert_eq!(offer(&mut r, stamp(6, 9)), Decision::Older);
    assert_eq!(offer(&mut r, high), Decision::AdoptedWithConflict(low));
    assert_eq!(offer(&mut r, low), Decision::RejectedWithConflict(high));
    assert_eq!(r.conflicts().0, 1);
    assert_eq!(r.in_force(), Some(high));
}

#[test]
fn invalid_value_is_refused_and_not_fetched_again() {
    let mut r = empty();
    offer(&mut r, stamp(1, 1));
    let bad = stamp(2, INVALID);
    let reason = Err("bad".into());
    assert_eq!(r.offer(Source::Service, bad, reason), Decision::Refused);
    assert_eq!(r.in_force(), Some(stamp(1, 1)));
    assert!(!r.wants(bad.head()));
    assert!(r.wants(stamp(2, 1).head()));
    for revision in 3..40 {
        r.offer(Source::Service, stamp(revision, INVALID), Err("bad".into()));
    }
    assert_eq!(r.refused().count(), 16);
}

#[test]
fn only_one_peer_is_asked_until_it_fails_or_times_out() {
    let mut r = empty();
    let (a, b) = (record(1, 1).id, record(2, 1).id);
    let head = Some(stamp(3, 1).head());
    assert_eq!(r.observe_peer_head(&a, head, START), Some(a.clone()));
    assert_eq!(r.observe_peer_head(&b, head, START), None);
    r.fetch_failed(&a);
    assert_eq!(r.observe_peer_head(&b, head, START), Some(b));
    let late = START + RevisionConfig::default().fetch.0;
    assert_eq!(r.observe_peer_head(&a, head, late), Some(a));
}

#[test]
fn new_process_is_ready_after_messages_of_service_and_peers() {
    let mut r = empty();
    let peer = record(1, 1).id;
    assert_eq!(r.readiness(1, START), Readiness::Starting(Missing::Value));
    offer(&mut r, stamp(1, 1));
    assert_eq!(r.readiness(1, START), Readiness::Starting(Missing::Service));
    r.poll_ended(Poll::Answered);
    assert_eq!(r.readiness(1, START), Readiness::Starting(Missing::Peers));
    // The service is stale and the peer has a newer value.
    r.observe_peer_head(&peer, Some(stamp(2, 1).head()), START);
    assert_eq!(r.readiness(1, START), Readiness::Starting(Missing::Fetch));
    r.offer(Source::Peer(peer), stamp(2, 1), Ok(()));
    assert_eq!(r.readiness(1, START), Readiness::Ready(stamp(2, 1)));
}

#[test]
fn new_process_without_answers_is_ready_after_a_timeout() {
    let mut r = empty();
    offer(&mut r, stamp(1, 1));
    let late = START + RevisionConfig::default().patience.0;
    assert_eq!(r.readiness(9, late), Readiness::Ready(stamp(1, 1)));
}

#[test]
fn reads_keep_the_minimum_gap_for_all_outcomes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let gap = RevisionConfig::default().gap.0;
    for poll in [Poll::Answered, Poll::Stale, Poll::Failed] {
        let mut r = empty();
        let mut now = START;
        for _ in 0..100 {
            r.poll_started(now);
            r.poll_ended(poll);
            let next = r.next_poll(true, now, &mut rng);
            assert!(next.since(now) >= gap);
            assert!(next.since(now) <= gap.max(RevisionConfig::default().backoff.0));
            now = next;
        }
    }
    // The target deployment with every process partitioned and two subjects stays within the limit
    // of 2,000 reads per second.
    assert!(2_400.0 * 2.0 / gap.as_secs_f64() <= 2_000.0);
}

macro_rules! spread {
    ($($case:ident: |$fleet:ident| $body:block => $stamp:expr;)*) => {
        $(#[test] fn $case() {
            let mut fleet = Fleet::new(40, 11);
            fleet.publish_value(stamp(1, 1));
            fleet.run(60 * SECOND, |f| f.all_in_force(stamp(1, 1))).expect("starts");
            let $fleet = &mut fleet;
            $body
            assert!(fleet.run(IN_FORCE, |f| f.all_in_force($stamp)).is_some());
            fleet.run(60 * SECOND, |f| { assert!(f.all_in_force($stamp)); false });
            assert!(fleet.nodes.iter().all(|n| n.reverts == 0));
        })*
    };
}

spread! {
    published_everywhere: |f| { f.publish_value(stamp(2, 1)); } => stamp(2, 1);
    readable_in_one_region_only: |f| { f.service = [None, Some(stamp(2, 1)), None]; } => stamp(2, 1);
    stale_in_two_regions: |f| { f.service[2] = Some(stamp(2, 1)); } => stamp(2, 1);
    service_goes_back: |f| { f.publish_value(stamp(2, 1)); f.run(IN_FORCE, |_| false);
        f.publish_value(stamp(1, 1)); f.run(IN_FORCE, |_| false); } => stamp(2, 1);
    back_after_an_outage: |f| { f.service = [None; 3]; f.run(300 * SECOND, |_| false);
        f.publish_value(stamp(2, 1)); } => stamp(2, 1);
    two_operators_at_once: |f| { f.service = [Some(conflicting(2).0), Some(conflicting(2).1), None]; }
        => conflicting(2).1;
    invalid_then_valid: |f| { f.publish_value(stamp(2, INVALID)); f.run(IN_FORCE, |_| false);
        assert!(f.all_in_force(stamp(1, 1))); f.publish_value(stamp(3, 1)); } => stamp(3, 1);
    new_member_while_the_service_is_stale: |f| { f.service = [Some(stamp(2, 1)), None, None];
        f.run(IN_FORCE, |_| false); f.publish_value(stamp(1, 1)); f.add(5, 2); } => stamp(2, 1);
    member_after_a_freeze: |f| { f.freeze(3, 30 * SECOND); f.publish_value(stamp(2, 1));
        f.service[0] = None; f.run(30 * SECOND, |_| false); } => stamp(2, 1);
}

#[derive(Clone, Debug)]
enum Fault {
    Publish(usize, u64, u8),
    Down(usize),
    Freeze(usize, u64),
    Restart(usize),
    Split(usize),
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    let content = prop_oneof![Just(INVALID), 1..4_u8];
    prop_oneof![
        3 => (0..3_usize, 1..9_u64, content).prop_map(|(r, n, c)| Fault::Publish(r, n, c)),
        1 => (0..3_usize).prop_map(Fault::Down),
        1 => (any::<usize>(), 1..40_u64).prop_map(|(i, s)| Fault::Freeze(i, s * SECOND)),
        1 => any::<usize>().prop_map(Fault::Restart),
        1 => (1..8_usize).prop_map(Fault::Split),
        1 => Just(Fault::Heal),
    ]
}

fn apply(fleet: &mut Fleet, fault: &Fault, incarnation: u64) {
    let count = fleet.nodes.len();
    match *fault {
        Fault::Publish(region, revision, content) => {
            fleet.service[region] = Some(stamp(revision, content));
        }
        Fault::Down(region) => fleet.service[region] = None,
        Fault::Freeze(i, millis) => fleet.freeze(i % count, millis),
        Fault::Restart(i) => fleet.add(i % count, incarnation),
        Fault::Split(width) => {
            let nodes = fleet.nodes.iter_mut().enumerate();
            nodes.for_each(|(i, n)| n.partition = u8::from(i % 8 < width));
        }
        Fault::Heal => fleet.nodes.iter_mut().for_each(|n| n.partition = 0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        max_shrink_iters: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_member_reverts_and_all_agree(
        count in 5..40_usize,
        seed: u64,
        loss in 0.0..0.3_f64,
        faults in prop::collection::vec((fault(), 0..20_u64), 1..16),
    ) {
        let mut fleet = Fleet::new(count, seed);
        fleet.loss = loss;
        fleet.delay = (1, 400);
        for (step, (fault, wait)) in faults.iter().enumerate() {
            apply(&mut fleet, fault, step as u64 + 2);
            fleet.run(wait * SECOND, |_| false);
        }
        fleet.thaw();
        fleet.loss = 0.0;
        fleet.nodes.iter_mut().for_each(|n| n.partition = 0);
        let best = |f: &Fleet| f.nodes.iter().filter_map(|n| n.revisions.in_force()).max();
        let agreed = |f: &Fleet| best(f).is_none_or(|stamp| f.all_in_force(stamp));
        // Views that removed members of the other partition have to discover them again first.
        fleet.run(120 * SECOND, |_| false);
        prop_assert!(agreed(&fleet), "members have different values in force");
        prop_assert!(best(&fleet).is_none_or(|s| s.digest != stamp(1, INVALID).digest));
        prop_assert!(fleet.nodes.iter().all(|n| n.reverts == 0), "a member reverted to an older value");
    }
}

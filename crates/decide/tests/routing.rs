//! Replica selection: exclusion, load bound, distance, cache hints and subsets.

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall_decide::configs::{RoutingConfig, RoutingStrategy};
use apricothall_decide::routing::{
    CacheEvent, Cause, Distance, Hints, Prefix, Query, Replica, Router, subset,
};
use apricothall_types::{Load, MemberId, Sequence, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn replicas(count: usize, distance: impl Fn(usize) -> Distance) -> Vec<Replica> {
    let replica = |i| Replica {
        id: format!("vm-{i}").parse().expect("valid id"),
        distance: distance(i),
    };
    (0..count).map(replica).collect()
}

fn query<'a>(
    replicas: &'a [Replica],
    excluded: &'a BTreeSet<MemberId>,
    prompt: &[u8],
) -> Query<'a> {
    Query {
        replicas,
        excluded,
        prefix: Some(Prefix::of(prompt)),
        prompt: None,
    }
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..Config::default()
    })]

    #[test]
    fn excluded_members_are_never_selected(
        excluded_indices in prop::collection::btree_set(0..12_usize, 0..=12),
        strategy in prop::sample::select(vec![RoutingStrategy::TwoChoices, RoutingStrategy::RoundRobin, RoutingStrategy::Random]),
        seed: u64,
    ) {
        let all = replicas(12, |i| if i < 4 { Distance::Zone } else { Distance::Far });
        let excluded: BTreeSet<_> = excluded_indices.iter().map(|i| all[*i].id.clone()).collect();
        let config = RoutingConfig { strategy, ..RoutingConfig::default() };
        let mut router = Router::new(config);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for step in 0..50_u64 {
            let prompt = [u8::try_from(step % 5).expect("small")];
            let choice = router.choose(query(&all, &excluded, &prompt), ms(step), &mut rng);
            prop_assert_eq!(choice.is_none(), excluded.len() == 12);
            if let Some(choice) = choice {
                prop_assert!(!excluded.contains(&choice.member));
                router.note_start(&choice.member);
            }
        }
    }

    #[test]
    fn affinity_respects_the_load_bound(seed: u64, same in 1..4_u8) {
        let all = replicas(8, |_| Distance::Zone);
        let none = BTreeSet::new();
        let mut router = Router::new(RoutingConfig::default());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for step in 0..400_u64 {
            let prompt = [u8::try_from(step % u64::from(same)).expect("small")];
            let choice = router.choose(query(&all, &none, &prompt), ms(0), &mut rng).expect("one");
            if matches!(choice.cause, Cause::Affinity | Cause::Hint) {
                let bound = (1.25 * (choice.mean + 1.0)).max(1.0);
                prop_assert!(choice.load + 1.0 <= bound);
            }
            router.note_start(&choice.member);
        }
        let most = all.iter().map(|r| router.in_flight(&r.id)).max().expect("some");
        prop_assert!(most <= 50 * 5 / 4 + 3, "{most} of 400 requests on one of 8 replicas");
    }

    #[test]
    fn hints_stay_bounded(steps in prop::collection::vec((0..6_usize, 0..40_u64, 0..30_u8, 0..3_u8), 1..400)) {
        let all = replicas(6, |_| Distance::Zone);
        let mut hints = Hints::new(10, Duration::from_secs(1));
        for (index, sequence, prefix, kind) in steps {
            let prefix = Prefix::of(&[prefix]);
            let event = match kind {
                0 => CacheEvent::Evicted(prefix),
                1 => CacheEvent::Stored(prefix),
                _ => CacheEvent::Cleared,
            };
            let id = &all[index].id;
            let new = hints.apply(id, Sequence(sequence), event, ms(0));
            prop_assert!(hints.len() <= 10);
            if new && kind != 1 {
                prop_assert!(!hints.members(prefix).contains(id));
            }
        }
        hints.expire(ms(1_000));
        prop_assert!(hints.is_empty());
    }
}

#[test]
fn sequence_gap_drops_only_the_hints_of_its_member() {
    let all = replicas(2, |_| Distance::Zone);
    let mut hints = Hints::new(10, Duration::from_mins(1));
    let prefix = Prefix::of(b"span notes");
    for replica in &all {
        hints.apply(&replica.id, Sequence(1), CacheEvent::Stored(prefix), ms(0));
    }
    let other = CacheEvent::Stored(Prefix::of(b"other"));
    assert!(hints.apply(&all[0].id, Sequence(3), other, ms(1)));
    assert!(!hints.apply(&all[0].id, Sequence(2), CacheEvent::Cleared, ms(1)));
    assert_eq!(hints.members(prefix), [all[1].id.clone()]);
    assert_eq!(hints.members(Prefix::of(b"other")), [all[0].id.clone()]);
}

#[test]
fn loaded_zone_overflows_to_the_region_first() {
    let places = [Distance::Zone, Distance::Region, Distance::Far];
    let all = replicas(6, |i| places[i / 2]);
    let none = BTreeSet::new();
    let mut router = Router::new(RoutingConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let full = Load {
        running: 8,
        queued: 4,
        slots: 4,
    };
    for (loaded, farthest) in [
        (0, Distance::Zone),
        (2, Distance::Region),
        (6, Distance::Far),
    ] {
        for replica in &all[..loaded] {
            router.note_load(&replica.id, full, ms(0));
        }
        let mut seen = BTreeSet::new();
        for prompt in 0..60_u8 {
            let choice = router.choose(query(&all, &none, &[prompt]), ms(0), &mut rng);
            seen.insert(choice.expect("one").distance);
        }
        assert_eq!(seen.last(), Some(&farthest));
    }
}

#[test]
fn weight_of_a_report_decays_with_age() {
    let all = replicas(1, |_| Distance::Zone);
    let mut router = Router::new(RoutingConfig::default());
    let load = Load {
        running: 8,
        queued: 0,
        slots: 4,
    };
    router.note_load(&all[0].id, load, ms(0));
    let loads = [0, 500, 5_000].map(|at| router.load(&all[0].id, ms(at)));
    assert!((loads[0] - 2.0).abs() < 1e-9 && (loads[1] - 1.0).abs() < 1e-9);
    assert!(loads[2] < 0.01);
}

#[test]
fn subset_is_bounded_and_stable() {
    let all = replicas(10_000, |i| {
        if i % 7 == 0 {
            Distance::Zone
        } else {
            Distance::Far
        }
    });
    let own: MemberId = "entry-1".parse().expect("valid id");
    let kept = subset(&own, &all, 64);
    assert_eq!(kept.len(), 128);
    let without: Vec<_> = all.iter().filter(|r| **r != kept[0]).cloned().collect();
    let after = subset(&own, &without, 64);
    let changed = after.iter().filter(|r| !kept.contains(r)).count();
    assert_eq!(changed, 1);
}

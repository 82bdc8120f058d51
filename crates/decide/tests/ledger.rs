//! Ledger of a limit: sum of shares under adversarial schedules, and encoded size of a record.

use std::time::Duration;

use apricothall_decide::configs::LimitsConfig;
use apricothall_decide::limits::{Demand, Ledger, Quota, Subject};
use apricothall_types::{CallerId, Incarnation, MemberId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn member(index: usize) -> MemberId {
    format!("entry-{index}").parse().expect("valid id")
}

fn caller(index: usize) -> CallerId {
    format!("caller-{index}").parse().expect("valid id")
}

/// A step of a schedule in which records are lost, duplicated and reordered arbitrarily.
#[derive(Clone, Debug)]
enum Action {
    Publish { from: usize, want: u64, own: u64 },
    Deliver { record: usize, to: usize },
    Advance(u64),
    Restart(usize),
    List { at: usize, mask: u8 },
}

fn step(count: usize) -> impl Strategy<Value = Action> {
    let rate = || prop::sample::select(vec![0_u64, 500, 5_000]);
    prop_oneof![
        4 => (0..count, rate(), rate()).prop_map(|(from, want, own)| Action::Publish { from, want, own }),
        8 => (0..12_usize, 0..count).prop_map(|(record, to)| Action::Deliver { record, to }),
        3 => (1..2_500_u64).prop_map(Action::Advance),
        1 => (0..count).prop_map(Action::Restart),
        1 => (0..count, any::<u8>()).prop_map(|(at, mask)| Action::List { at, mask }),
    ]
}

/// Runs a schedule and checks the sum of the shares after each step. With one list it is at most the
/// limit. With differing lists it is at most the sum of the largest shares owned within the last
/// term.
fn run_ledgers(actions: Vec<Action>, lists: bool) -> Result<(), TestCaseError> {
    const COUNT: usize = 3;
    let total = Quota::per_second(3);
    let subject = Subject {
        name: "drafts".parse().expect("valid name"),
        caller: None,
    };
    let mut now = Timestamp::default();
    let mut starts = 0;
    let mut start = |index: usize, now: Timestamp| {
        starts += 1;
        let config = LimitsConfig::default();
        let mut ledger = Ledger::new(config, member(index), Incarnation(starts), now);
        ledger.set_entries((0..COUNT).map(member), now);
        ledger
    };
    let mut ledgers: Vec<_> = (0..COUNT).map(|i| start(i, now)).collect();
    // After the maximum join time all entries own their share.
    now = now + Duration::from_secs(10);
    for ledger in &mut ledgers {
        ledger.tick(now);
    }
    let mut records = Vec::new();
    let mut one_list = true;
    let mut owned: Vec<(Timestamp, Vec<u64>)> = Vec::new();
    for next in actions {
        match next {
            Action::Publish { from, want, own } => {
                let demand = Demand {
                    subject: subject.clone(),
                    rate: Quota(want),
                    want: Quota(want),
                };
                ledgers[from].tick(now);
                let record =
                    ledgers[from].publish(vec![demand], |_| Some(total), |_| Quota(own), now);
                records.insert(0, record);
            }
            Action::Deliver { record, to } => {
                if let Some(record) = records.get(record) {
                    ledgers[to].merge(record.clone(), now);
                }
            }
            Action::Advance(millis) => now = now + Duration::from_millis(millis),
            Action::Restart(index) => ledgers[index] = start(index, now),
            Action::List { at, mask } if lists => {
                one_list = false;
                let listed = (0..COUNT).filter(|i| mask >> i & 1 == 1).map(member);
                ledgers[at].set_entries(listed, now);
            }
            Action::List { .. } => {}
        }
        let shares = ledgers.iter().map(|l| l.share(&subject, total, now, now).0);
        let sum: u64 = shares.sum();
        let bases = ledgers.iter().map(|l| l.own_share(total, now).0).collect();
        owned.push((now, bases));
        let term = LimitsConfig::default().term.0;
        let recent = owned.iter().filter(|(at, _)| now.since(*at) <= term);
        let parts = recent.fold([0; COUNT], |most, (_, bases)| {
            std::array::from_fn(|i| bases[i].max(most[i]))
        });
        let bound = if one_list {
            total.0
        } else {
            parts.iter().sum()
        };
        prop_assert!(sum <= bound, "sum of shares {sum} exceeds {bound}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(15),
        ..Config::default()
    })]

    #[test]
    fn shares_never_sum_above_the_limit(actions in prop::collection::vec(step(3), 1..120)) {
        run_ledgers(actions, false)?;
    }

    #[test]
    fn differing_lists_are_bounded_by_the_owned_shares(actions in prop::collection::vec(step(3), 1..120)) {
        run_ledgers(actions, true)?;
    }
}

/// Maximum encoded size of a record at the default settings, with names of typical length.
const MAX_RECORD_BYTES: usize = 2_048;

#[test]
fn a_full_record_is_small() {
    let config = LimitsConfig::default();
    let subject = |index| Subject {
        name: "drafts-piura-lines".parse().expect("valid name"),
        caller: Some(caller(index)),
    };
    let demands = |wants: u64| {
        let demand = |index| Demand {
            subject: subject(index),
            rate: Quota(wants),
            want: Quota(wants),
        };
        (0..100).map(demand).collect::<Vec<_>>()
    };
    let mut ledgers = [0, 1].map(|index| {
        let start = Timestamp::default();
        let mut ledger = Ledger::new(config.clone(), member(index), Incarnation(1), start);
        ledger.set_entries([member(0), member(1)], start);
        ledger
    });
    let now = Timestamp::from_millis(10_000);
    for ledger in &mut ledgers {
        ledger.tick(now);
    }
    let total = |_: &Subject| Some(Quota::per_second(200));
    let asking = ledgers[0].publish(demands(300_000), total, |_| Quota::default(), now);
    ledgers[1].merge(asking, now);
    let full = ledgers[1].publish(demands(300_000), total, |_| Quota::default(), now);
    assert_eq!(
        (full.demands.len(), full.loans.len()),
        (config.demands, config.loans)
    );
    let encoded = bincode::serde::encode_to_vec(&full, bincode::config::standard());
    let size = encoded.expect("encodes").len();
    println!("{size} bytes");
    assert!(size <= MAX_RECORD_BYTES, "{size} bytes");
}

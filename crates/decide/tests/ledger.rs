//! Shares of a limit: their sum under adversarial schedules, and the size of a record.

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

/// A step of a schedule of ledgers alone, in which records are lost, repeated and crossed at will.
#[derive(Clone, Debug)]
enum Move {
    Publish { from: usize, want: u64, own: u64 },
    Deliver { record: usize, to: usize },
    Pass(u64),
    Restart(usize),
    List { at: usize, mask: u8 },
}

fn step(count: usize) -> impl Strategy<Value = Move> {
    let rate = || prop::sample::select(vec![0_u64, 500, 5_000]);
    prop_oneof![
        4 => (0..count, rate(), rate()).prop_map(|(from, want, own)| Move::Publish { from, want, own }),
        8 => (0..12_usize, 0..count).prop_map(|(record, to)| Move::Deliver { record, to }),
        3 => (1..2_500_u64).prop_map(Move::Pass),
        1 => (0..count).prop_map(Move::Restart),
        1 => (0..count, any::<u8>()).prop_map(|(at, mask)| Move::List { at, mask }),
    ]
}

/// Runs a schedule and checks after each step the sum of the shares. With one list that is the
/// limit at most; with lists that differ, the sum of the largest parts owned within the last term.
fn run_ledgers(moves: Vec<Move>, lists: bool) -> Result<(), TestCaseError> {
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
    // All own their part after the longest wait.
    now = now + Duration::from_secs(10);
    for ledger in &mut ledgers {
        ledger.tick(now);
    }
    let mut records = Vec::new();
    let mut one_list = true;
    let mut owned: Vec<(Timestamp, Vec<u64>)> = Vec::new();
    for next in moves {
        match next {
            Move::Publish { from, want, own } => {
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
            Move::Deliver { record, to } => {
                if let Some(record) = records.get(record) {
                    ledgers[to].merge(record.clone(), now);
                }
            }
            Move::Pass(millis) => now = now + Duration::from_millis(millis),
            Move::Restart(index) => ledgers[index] = start(index, now),
            Move::List { at, mask } if lists => {
                one_list = false;
                let listed = (0..COUNT).filter(|i| mask >> i & 1 == 1).map(member);
                ledgers[at].set_entries(listed, now);
            }
            Move::List { .. } => {}
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
        prop_assert!(sum <= bound, "{sum} of {bound}");
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
    fn shares_never_sum_above_the_limit(moves in prop::collection::vec(step(3), 1..120)) {
        run_ledgers(moves, false)?;
    }

    #[test]
    fn lists_that_differ_add_no_more_than_their_parts(moves in prop::collection::vec(step(3), 1..120)) {
        run_ledgers(moves, true)?;
    }
}

/// Largest record on the wire at the default settings, with names of usual length.
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

//! Simulation of the transfer planner on modelled links: duration, traffic and completion, with
//! and without faults.

mod swarm;

use apricothall_decide::configs::TransferStrategy;
use apricothall_types::TransferObjective;
use swarm::{Faults, Outcome, Swarm};

const SEED: u64 = 7;
const SEEDS: [u64; 3] = [SEED, 8, 9];

fn run(
    count: usize,
    strategy: TransferStrategy,
    weighting: TransferObjective,
    faults: Faults,
) -> Outcome {
    run_seeded(count, strategy, weighting, faults, SEED)
}

fn run_seeded(
    count: usize,
    strategy: TransferStrategy,
    weighting: TransferObjective,
    faults: Faults,
    seed: u64,
) -> Outcome {
    let swarm = Swarm::new(count, strategy, weighting, faults, seed);
    let outcome = swarm.run(weighting);
    println!(
        "{strategy:?} {weighting:?} N={count}: home {:.2}, far {:.2}, origin {:.2}, cross {:.2}",
        outcome.home, outcome.far, outcome.origin, outcome.cross
    );
    assert_eq!(outcome.missing, 0, "every live agent completes");
    outcome
}

macro_rules! fault_free {
    ($($case:ident: $count:expr, $weighting:ident;)*) => {
        $(#[test] fn $case() {
            let weighting = TransferObjective::$weighting;
            for seed in SEEDS {
                let faults = Faults::default();
                let found = run_seeded($count, TransferStrategy::Ranked, weighting, faults, seed);
                assert!(found.home <= 1.25, "{found:?}");
                assert!(found.far <= 1.15, "{found:?}");
                assert!(found.origin <= 1.05, "{found:?}");
                assert!(found.cross <= 1.05, "{found:?}");
            }
        })*
    };
}

fault_free! {
    fault_free_6_bytes: 6, Bytes;
    fault_free_12_bytes: 12, Bytes;
    fault_free_24_bytes: 24, Bytes;
    fault_free_48_bytes: 48, Bytes;
    fault_free_96_bytes: 96, Bytes;
    fault_free_6_time: 6, Time;
    fault_free_12_time: 12, Time;
    fault_free_24_time: 24, Time;
    fault_free_48_time: 48, Time;
    fault_free_96_time: 96, Time;
}

macro_rules! with_faults {
    ($($case:ident: $weighting:ident, $faults:expr;)*) => {
        $(#[test] fn $case() {
            let found = run(24, TransferStrategy::Ranked, TransferObjective::$weighting, $faults);
            assert!(found.origin <= 2.0, "{found:?}");
        })*
    };
}

with_faults! {
    kill_bytes: Bytes, Faults { kills: 2, ..Faults::default() };
    kill_time: Time, Faults { kills: 2, ..Faults::default() };
    stall_bytes: Bytes, Faults { stalls: 2, ..Faults::default() };
    stall_time: Time, Faults { stalls: 2, ..Faults::default() };
    corrupt_peers_bytes: Bytes, Faults { corrupt_peers: 2, ..Faults::default() };
    corrupt_store_bytes: Bytes, Faults { corrupt: 5, ..Faults::default() };
    store_down_bytes: Bytes, Faults { store_down: true, ..Faults::default() };
    all_bytes: Bytes,
        Faults { kills: 1, stalls: 1, corrupt_peers: 1, corrupt: 5, ..Faults::default() };
    all_time: Time,
        Faults { kills: 1, stalls: 1, corrupt_peers: 1, corrupt: 5, store_down: true, split: false };
    split_bytes: Bytes, Faults { split: true, ..Faults::default() };
    split_time: Time, Faults { split: true, ..Faults::default() };
}

/// Favouring time must complete the last replica outside the store's region at least 5 % sooner
/// than favouring bytes.
#[test]
fn weighting_changes_the_far_time() {
    let of = |weighting| run(12, TransferStrategy::Ranked, weighting, Faults::default()).seconds;
    assert!(of(TransferObjective::Time) < of(TransferObjective::Bytes) * 0.95);
}

#[test]
fn baselines() {
    for count in [6, 12, 24, 48, 96] {
        for strategy in [TransferStrategy::Origin, TransferStrategy::Chain] {
            run(count, strategy, TransferObjective::Bytes, Faults::default());
        }
    }
}

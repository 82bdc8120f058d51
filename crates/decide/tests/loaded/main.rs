//! Tests when loaded weights count as verified, with orders that are accepted late, pieces that turn
//! bad, writes without an answer, and engines and agents that start again.

mod engine;
mod world;

use apricothall_decide::layers::LayerRange;
use apricothall_decide::loaded::{
    Acceptance, HeardWeights, LoadTracker, Observation, Operation, OrderOutcome, PieceHistory,
    Proof, Weights,
};
use apricothall_decide::pending_writes::{EarlierWrites, PendingWrites};
use apricothall_types::Timestamp;
use engine::{NEW, OLD, WHOLE};
use world::{Odds, World};

/// Number of rounds of the agent in a run, and of those without faults after them.
const ROUNDS: usize = 40;
const CALM_ROUNDS: usize = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// The report of an engine that was started with a version.
const STARTED: Observation = Observation {
    born: 1,
    orders: 0,
    version: Some(OLD),
    layers: Some(WHOLE),
    busy: false,
};

/// Faults of the engine and of the way to it.
const FAULTS: Odds = Odds {
    kill: 0.0,
    lost_write: 0.0,
    lost_order: 0.3,
    rot: 0.05,
    restart: 0.01,
};

/// Seeds of a run in CI.
const SEEDS: u64 = 3_000;

/// Guards against a late write of this version that makes a bad piece right after an order was accepted
/// late and before the piece is checked again.
#[test]
fn a_check_after_the_acceptance_proves_nothing_amid_writes_of_this_version() {
    let accepted = Acceptance {
        after: at(1_060),
        by: at(1_200),
    };
    let checked_later = PieceHistory {
        last_check: Some(at(1_100)),
        ..history(1_050, 1_000, SAME)
    };
    assert_eq!(checked_later.proof(accepted), Proof::Impossible);
    let without_writes = PieceHistory {
        pending: OTHER,
        ..checked_later
    };
    assert_eq!(without_writes.proof(accepted), Proof::ReadBack);
}

/// Seeds that failed once. 204723: an engine that nobody used, after an order that was accepted late
/// and two kills. 542292: bad weights, as a write that was lost at an engine which had started again
/// hid a bad piece. 672046: bad weights, as a lost write took effect between a late acceptance and the
/// next check. 467503: bad weights, as the order of a killed agent was taken for that of its successor.
/// 768061: a bad layer that stayed, as a killed agent's order to keep it was accepted late.
const KEPT_SEEDS: [u64; 5] = [204_723, 467_503, 542_292, 672_046, 768_061];

/// Seeds that fail, of 240,000 for each of four odds; not traced.
const OPEN_SEEDS: [u64; 3] = [450_899, 524_562, 588_690];

/// Plays a seed. Bad weights must never be used, and the engine must be used again in the end. Returns
/// whether a published version was verified.
fn play(odds: Odds, seed: u64) -> bool {
    let mut world = World::new(seed, odds);
    for _ in 0..ROUNDS {
        world.round();
    }
    let is_used = world.settle(CALM_ROUNDS);
    assert!(is_used, "unused for good: seed {seed}: {world:?}");
    world.verified > 0
}

/// Plays `count` seeds from `first` on.
fn play_many(odds: Odds, first: u64, count: u64) {
    let seeds = first..first + count;
    let verified = seeds.filter(|seed| play(odds, *seed)).count();
    let verified = u64::try_from(verified).expect("few");
    let is_most = verified * 30 > count * 29;
    assert!(is_most, "verified in {verified} of {count} runs");
}

/// A number of the environment.
fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable);
    text.map_or(default, |text| text.parse().expect("a number"))
}

macro_rules! models {
    ($($(#[doc = $doc:literal])* $case:ident: $odds:expr;)*) => {
        $($(#[doc = $doc])* #[test] fn $case() { play_many($odds, 0, SEEDS); })*

        /// Plays seeds that failed once.
        #[test]
        fn kept_seeds() {
            for odds in [$($odds),*] {
                for seed in KEPT_SEEDS {
                    play(odds, seed);
                }
            }
        }

        /// Guards against bad weights after kills in the rare seeds that fail still (KNOWN-RED.txt).
        #[test]
        fn open_seeds() {
            for odds in [$($odds),*] {
                for seed in OPEN_SEEDS {
                    play(odds, seed);
                }
            }
        }

        /// Plays other seeds, started by hand: `SOAK_FIRST=100000 SOAK_SEEDS=500000 cargo test -p
        /// apricothall-decide --test loaded -- --ignored`
        #[test]
        #[ignore = "plays as many seeds as asked"]
        fn fresh_seeds() {
            let first = number("SOAK_FIRST", SEEDS);
            let count = number("SOAK_SEEDS", 10 * SEEDS);
            for odds in [$($odds),*] {
                play_many(odds, first, count);
            }
        }
    };
}

models! {
    /// Guards against streams of bad weights, whenever orders are accepted, pieces turn bad and
    /// engines start again; and against engines that are never used again.
    only_whole_weights_are_verified: FAULTS;
    /// Guards against the same while writes take effect long after they were sent.
    writes_without_an_answer: Odds { lost_write: 0.05, ..FAULTS };
    /// Guards against the same while the agent is killed again and again: its successors know nothing
    /// of its orders and writes, which may be of the version that they stage or of another one.
    an_agent_that_is_killed: Odds { kill: 0.01, lost_write: 0.05, ..FAULTS };
    /// Guards against the same amid nothing but kills and late writes.
    late_writes_of_killed_agents: Odds { kill: 0.03, lost_write: 0.1, lost_order: 0.0, rot: 0.0, restart: 0.0 };
}

macro_rules! proofs {
    ($($(#[doc = $doc:literal])* $case:ident: $history:expr, $after:literal..$by:literal => $proof:expr;)*) => {
        $($(#[doc = $doc])* #[test] fn $case() {
            let accepted = Acceptance { after: at($after), by: at($by) };
            assert_eq!($history.proof(accepted), $proof);
        })*
    };
}

const NONE: PendingWrites = PendingWrites {
    same: false,
    other: false,
};
const SAME: PendingWrites = PendingWrites { same: true, ..NONE };
const OTHER: PendingWrites = PendingWrites {
    other: true,
    ..NONE
};
const BOTH: PendingWrites = PendingWrites {
    same: true,
    other: true,
};

fn history(checked: u64, written: u64, pending: PendingWrites) -> PieceHistory {
    PieceHistory {
        version: NEW,
        checked: Some(at(checked)),
        last_check: Some(at(checked)),
        written: at(written),
        pending,
    }
}

proofs! {
    a_prompt_acceptance: history(1_000, 1_050, NONE), 1_060..1_070 => Proof::Correct;
    /// Guards against pieces that turn bad while the order waits at the engine.
    a_late_acceptance: history(1_000, 1_050, NONE), 1_060..4_070 => Proof::ReadBack;
    /// Guards against a piece that was bad when it was taken, and is right only since it was written.
    a_write_after_the_acceptance: history(1_500, 1_450, NONE), 1_060..1_600 => Proof::Impossible;
    /// Guards against a late write of another version between the check and the acceptance.
    a_pending_write_of_another_version: history(1_000, 1_050, OTHER), 1_060..1_070 => Proof::ReadBack;
    a_pending_write_of_another_version_and_a_late_acceptance:
        history(1_000, 1_050, OTHER), 1_060..4_070 => Proof::ReadBack;
    a_pending_write_of_this_version: history(1_000, 1_050, SAME), 1_060..1_070 => Proof::ReadBack;
    /// Guards against a late write that hides that a piece had been bad.
    a_pending_write_and_a_late_acceptance: history(1_000, 1_050, SAME), 1_060..4_070 => Proof::Impossible;
    /// Guards against a late write of another version that one of this version hides.
    pending_writes_of_two_versions: history(1_000, 1_050, BOTH), 1_060..1_070 => Proof::Likely;
    pending_writes_of_two_versions_and_a_late_acceptance:
        history(1_000, 1_050, BOTH), 1_060..4_070 => Proof::Impossible;
}

/// The engine of a new process accepts its order. Returns what is known after the report.
fn load_with(pending: PendingWrites, layers: LayerRange) -> LoadTracker {
    let mut tracker = LoadTracker::default();
    let first = Observation {
        orders: 1,
        version: Some(OLD),
        layers: Some(layers),
        born: 1,
        busy: false,
    };
    let pieces = history(2_000, 2_500, pending);
    tracker.observe(first, &EarlierWrites::UNKNOWN.history(), at(1), at(2));
    let (after, by) = (at(3_000), at(3_010));
    let accepted = OrderOutcome::Accepted(Acceptance { after, by });
    tracker.record_order(Operation::Load, accepted);
    let loaded = Observation {
        orders: 2,
        version: Some(NEW),
        ..first
    };
    tracker.observe(loaded, &pieces, at(3_020), at(3_030));
    tracker
}

/// Guards against weights that count as verified before the pieces were read back, while a process
/// before may have written another version.
#[test]
fn a_load_amid_writes_of_another_process_is_read_back() {
    let mut tracker = load_with(OTHER, WHOLE);
    assert_eq!(tracker.weights(), Weights::Unverified);
    assert!(tracker.awaits_read_back());
    tracker.record_read_back(true, &history(2_000, 2_500, OTHER));
    assert_eq!(tracker.weights(), Weights::Verified(NEW));
}

/// Guards against a mixed version behind two late writes of one piece, and against an engine that is
/// loaded again and again for them.
#[test]
fn a_load_amid_writes_of_two_versions_is_repeated_once() {
    let mut tracker = load_with(BOTH, WHOLE);
    assert!(!tracker.awaits_read_back() && tracker.is_stale());
    let mut orders = 2;
    while tracker.weights() != Weights::Verified(NEW) && orders < 20 {
        let operation = tracker.reload_step().unwrap_or(Operation::Load);
        orders += 1;
        let layers = match operation {
            Operation::Keep(kept) => kept,
            Operation::Load => WHOLE,
        };
        let now = orders * 10_000;
        let (after, by) = (at(now), at(now + 10));
        tracker.record_order(operation, OrderOutcome::Accepted(Acceptance { after, by }));
        let seen = Observation {
            born: 1,
            orders,
            version: Some(NEW),
            layers: Some(layers),
            busy: false,
        };
        let pieces = history(now - 100, 2_500, BOTH);
        tracker.observe(seen, &pieces, at(now + 20), at(now + 30));
        tracker.record_read_back(true, &pieces);
    }
    assert_eq!(orders, 6, "layers are given up and loaded twice");
}

/// Guards against an engine that is never used, as it has one layer and can't be loaded anew.
#[test]
fn a_load_of_one_layer_is_not_repeated() {
    let tracker = load_with(BOTH, LayerRange::single(0));
    assert!(tracker.awaits_read_back());
}

/// Guards against an engine that is never used again, as it tells the version of which it holds a part
/// and its new agent takes that part for all of it.
#[test]
fn a_part_that_the_engine_tells_is_not_taken_for_the_whole() {
    let mut tracker = LoadTracker::default();
    let pieces = EarlierWrites::UNKNOWN.history();
    let part = Observation {
        orders: 2,
        version: Some(NEW),
        layers: Some(LayerRange::single(0)),
        ..STARTED
    };
    tracker.observe(part, &pieces, at(1), at(2));
    tracker.record_doubt(part.born);
    assert_eq!(tracker.reload_step(), None, "one layer can't be given up");
    let whole = Observation {
        orders: 3,
        layers: Some(WHOLE),
        ..part
    };
    tracker.observe(whole, &pieces, at(101), at(102));
    let keep = Operation::Keep(LayerRange::single(0));
    assert_eq!(tracker.reload_step(), Some(keep));
}

/// Guards against an order of a killed process that is accepted after its successor's first look: its
/// pieces may have been bad and written since.
#[test]
fn an_order_of_an_earlier_process_is_not_verified_by_reading_back() {
    let mut tracker = LoadTracker::default();
    let pieces = EarlierWrites::UNKNOWN.history();
    let first = Observation {
        born: 1,
        orders: 1,
        version: Some(OLD),
        layers: Some(WHOLE),
        busy: false,
    };
    tracker.observe(first, &pieces, at(1), at(2));
    let loaded = Observation {
        orders: 2,
        version: Some(NEW),
        ..first
    };
    tracker.observe(loaded, &pieces, at(101), at(102));
    assert!(!tracker.awaits_read_back() && tracker.is_stale());
}

/// Guards against an engine that is used as before it started again, or before its agent did.
#[test]
fn what_was_heard_holds_for_one_life() {
    let mut heard = HeardWeights::default();
    heard.record(5, Weights::Unverified, None);
    heard.record(5, Weights::Unknown, Some(NEW));
    heard.record(0, Weights::Verified(NEW), None);
    assert!(!heard.permits(5, NEW) && !heard.permits(0, NEW));
    assert!(!heard.permits(6, NEW), "it began without weights");
    assert_eq!(heard.doubted(), Some(5));
    heard.record(5, Weights::Verified(NEW), Some(NEW));
    assert!(heard.permits(5, NEW) && !heard.permits(5, OLD));
    heard.record(6, Weights::Unknown, Some(NEW));
    assert!(!heard.permits(6, NEW) && heard.doubted() == Some(6));
}

/// Guards against an engine that no entry uses until the next version: a killed agent's order was
/// accepted late, and neither of its successors knows what it loaded.
#[test]
fn a_version_of_which_nobody_knows_is_doubted() {
    let mut heard = HeardWeights::default();
    heard.record(5, Weights::Verified(OLD), Some(OLD));
    heard.record(5, Weights::Unknown, Some(OLD));
    assert_eq!(heard.doubted(), None, "it is the version that was verified");
    heard.record(5, Weights::Unknown, None);
    assert_eq!(heard.doubted(), None, "it serves nothing now");
    heard.record(5, Weights::Unknown, Some(NEW));
    assert_eq!(heard.doubted(), Some(5));
    assert!(!heard.permits(5, OLD) && !heard.permits(5, NEW));
}

/// Guards against an engine without orders that is not used although it was started with a version.
#[test]
fn an_engine_that_was_started_with_a_version_is_verified() {
    let mut tracker = LoadTracker::default();
    let seen = STARTED;
    tracker.observe(seen, &PieceHistory::default(), at(1), at(2));
    assert_eq!(tracker.weights(), Weights::Verified(OLD));
}

/// Guards against the loss of all engines whose agents start again.
#[test]
fn a_load_of_an_earlier_process_is_unknown() {
    let mut tracker = LoadTracker::default();
    let seen = Observation {
        orders: 1,
        ..STARTED
    };
    tracker.observe(seen, &PieceHistory::default(), at(1), at(2));
    assert!(
        !tracker.awaits_read_back(),
        "an earlier process may have repaired pieces"
    );
    assert_eq!(tracker.weights(), Weights::Unknown);
}

/// Guards against an engine that is not used any more as its agent does not know what others heard.
#[test]
fn a_doubted_load_of_an_earlier_process_is_loaded_anew() {
    let mut tracker = LoadTracker::default();
    let seen = Observation {
        orders: 1,
        ..STARTED
    };
    tracker.observe(seen, &PieceHistory::default(), at(1), at(2));
    tracker.record_doubt(seen.born + 1);
    assert_eq!(tracker.weights(), Weights::Unknown, "of another life");
    tracker.record_doubt(seen.born);
    assert_eq!(tracker.weights(), Weights::Unverified);
    let first = Operation::Keep(LayerRange::single(0));
    assert_eq!(tracker.reload_step(), Some(first));
}

/// Guards against a bad layer that stays loaded as the agent ends while the version is loaded anew.
#[test]
fn layers_kept_by_an_earlier_process_are_loaded_anew() {
    let mut tracker = LoadTracker::default();
    let part = Observation {
        orders: 2,
        version: None,
        layers: Some(LayerRange::single(0)),
        ..STARTED
    };
    tracker.observe(part, &PieceHistory::default(), at(1), at(2));
    let (after, by) = (at(3_000), at(3_010));
    let accepted = OrderOutcome::Accepted(Acceptance { after, by });
    tracker.record_order(Operation::Load, accepted);
    let whole = Observation {
        orders: 3,
        version: Some(NEW),
        layers: Some(WHOLE),
        ..part
    };
    let pieces = history(2_000, 2_500, NONE);
    tracker.observe(whole, &pieces, at(3_020), at(3_030));
    assert_eq!(tracker.weights(), Weights::Unverified);
    let keep = Operation::Keep(LayerRange::single(1));
    assert_eq!(tracker.reload_step(), Some(keep));
}

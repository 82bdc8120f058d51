//! Tests when loaded weights count as verified, with orders that are accepted late, pieces that turn
//! bad and engines that start again.

use std::time::Duration;

use apricothall_decide::layers::LayerRange;
use apricothall_decide::loaded::{
    Acceptance, HeardWeights, LoadTracker, Observation, Operation, OrderOutcome, PieceHistory,
    Proof, Weights,
};
use apricothall_decide::staging::{Check, MAX_PIECE_AGE, Staging, Step};
use apricothall_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PIECES: usize = 4;

/// One layer a piece.
const WHOLE: LayerRange = LayerRange { from: 0, to: 4 };

const OLD: u64 = 1;
const NEW: u64 = 2;

/// Number of rounds of the agent in a run.
const ROUNDS: usize = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[derive(Clone, Copy, Debug)]
struct Order {
    expected: u64,
    operation: Operation,
}

/// A piece that lies at the engine: missing, or bad since some time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Piece {
    Missing,
    Good,
    BadSince(Timestamp),
}

#[derive(Debug)]
struct Engine {
    born: u64,
    orders: u64,
    version: Option<u64>,
    /// Layers that it holds, and whether each may be used.
    layers: Vec<Option<bool>>,
    pieces: Vec<Piece>,
    /// Orders that it may yet accept.
    waiting: Vec<Order>,
}

impl Engine {
    fn new() -> Self {
        Self {
            born: 1,
            orders: 0,
            version: Some(OLD),
            layers: vec![Some(true); PIECES],
            pieces: vec![Piece::Missing; PIECES],
            waiting: Vec::new(),
        }
    }

    fn held(&self) -> LayerRange {
        let first = self.layers.iter().position(Option::is_some);
        let from = u32::try_from(first.unwrap_or(0)).expect("few");
        let count = u32::try_from(self.layers.iter().flatten().count()).expect("few");
        let to = from + count;
        LayerRange { from, to }
    }

    /// Accepts `order` if no other was accepted since it was sent.
    fn accept(&mut self, order: Order, now: Timestamp) -> bool {
        let range = match order.operation {
            Operation::Load => WHOLE,
            Operation::Keep(range) => range,
        };
        let is_in_effect = self.version == Some(NEW) && self.held() == range;
        if order.expected != self.orders || is_in_effect {
            return false;
        }
        self.orders += 1;
        let is_other = self.version.replace(NEW) != Some(NEW);
        for (layer, index) in self.layers.iter_mut().zip(0..) {
            if !range.contains(index) {
                *layer = None;
            } else if is_other || layer.is_none() {
                *layer = Some(match self.pieces[index as usize] {
                    Piece::Missing => false,
                    Piece::Good => true,
                    Piece::BadSince(since) => now.since(since) <= MAX_PIECE_AGE,
                });
            }
        }
        true
    }

    fn observe(&self) -> Observation {
        Observation {
            born: self.born,
            orders: self.orders,
            version: self.version,
            layers: self.version.map(|_| self.held()),
            busy: false,
        }
    }

    fn restart(&mut self, keeps_pieces: bool) {
        self.born += 1;
        self.orders = 0;
        self.version = None;
        self.layers = vec![None; PIECES];
        if !keeps_pieces {
            self.pieces = vec![Piece::Missing; PIECES];
        }
        self.waiting.clear();
    }

    /// Whether it may be used now, and will not load anything else.
    fn is_sound(&self) -> bool {
        let is_whole = self.layers.iter().all(|l| *l == Some(true));
        let is_final = self.waiting.iter().all(|o| o.expected != self.orders);
        is_whole && is_final
    }
}

struct World {
    rng: ChaCha8Rng,
    now: Timestamp,
    engine: Engine,
    tracker: LoadTracker,
    staging: Option<Staging>,
    /// Orders that the engine had accepted by its last report.
    reported: u64,
    verified: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at(10_000),
            engine: Engine::new(),
            tracker: LoadTracker::default(),
            staging: None,
            reported: 0,
            verified: 0,
        }
    }

    /// Lets time pass, in which pieces turn bad and waiting orders are accepted.
    fn pass(&mut self) {
        let longest = if self.rng.random_bool(0.03) {
            6_000
        } else {
            60
        };
        let end = self.now + Duration::from_millis(self.rng.random_range(0..=longest));
        if self.rng.random_bool(0.05) {
            let index = self.rng.random_range(0..PIECES);
            let since = self.between(end);
            if self.engine.pieces[index] == Piece::Good {
                self.engine.pieces[index] = Piece::BadSince(since);
            }
        }
        if self.rng.random_bool(0.3) && !self.engine.waiting.is_empty() {
            let order = self.engine.waiting.remove(0);
            let when = self.between(end);
            self.engine.accept(order, when);
        }
        if self.rng.random_bool(0.01) {
            let keeps_pieces = self.rng.random_bool(0.5);
            self.engine.restart(keeps_pieces);
        }
        self.now = end;
    }

    fn between(&mut self, end: Timestamp) -> Timestamp {
        let span = u64::try_from(end.since(self.now).as_millis()).expect("short");
        self.now + Duration::from_millis(self.rng.random_range(0..=span))
    }

    fn history(&self) -> PieceHistory {
        let staging = self.staging.as_ref();
        staging.map_or_else(PieceHistory::default, |s| s.history(NEW))
    }

    fn report(&mut self) {
        let asked = self.now;
        self.pass();
        let seen = self.engine.observe();
        self.reported = seen.orders;
        // The answer is on its way.
        self.now = self.now + Duration::from_millis(1);
        let is_new_life = self.tracker.born().is_some_and(|born| born != seen.born);
        self.tracker.observe(seen, &self.history(), asked, self.now);
        if is_new_life {
            self.staging = None;
        }
        self.check();
    }

    fn check(&mut self) {
        let Weights::Verified(version) = self.tracker.weights() else {
            return;
        };
        self.verified += usize::from(version == NEW);
        // A new life that was not observed yet has nothing loaded, and nobody uses it as this one.
        let is_observed = self.tracker.born() == Some(self.engine.born);
        let is_sound = !is_observed || self.engine.is_sound();
        assert!(
            is_sound,
            "bad weights verified at {:?}: {:?} {:?}",
            self.now, self.engine, self.tracker
        );
    }

    fn read_back(&mut self) {
        let mut are_correct = true;
        for index in 0..PIECES {
            self.pass();
            are_correct &= self.engine.pieces[index] == Piece::Good;
        }
        self.tracker.record_read_back(are_correct, &self.history());
        self.check();
    }

    /// Orders the engine to load the new version, or to give up layers.
    fn load(&mut self, expected: u64) {
        if let Some(operation @ Operation::Keep(_)) = self.tracker.reload_step() {
            let outcome = self.send(Order {
                expected,
                operation,
            });
            self.tracker.record_order(operation, outcome);
            return;
        }
        let mut staging = self.staging.take().map_or_else(
            || Staging::new(PIECES, false, self.now),
            |mut staging| {
                staging.retry(self.now);
                staging
            },
        );
        let outcome = loop {
            match staging.next(self.now) {
                Step::Check(pieces) => {
                    for (index, check) in pieces {
                        let piece = index.0 as usize;
                        let sent = self.now;
                        self.pass();
                        let is_good = self.engine.pieces[piece] == Piece::Good;
                        let done = if check == Check::Read && is_good {
                            Check::Read
                        } else {
                            self.engine.pieces[piece] = Piece::Good;
                            Check::Write
                        };
                        staging.record(index, done, sent, self.now);
                    }
                }
                Step::Order { .. } => break Some(Operation::Load),
                Step::GiveUp => break None,
            }
        };
        self.staging = Some(staging);
        if let Some(operation) = outcome {
            let outcome = self.send(Order {
                expected,
                operation,
            });
            self.tracker.record_order(operation, outcome);
        }
    }

    fn send(&mut self, order: Order) -> OrderOutcome {
        let after = self.now;
        if self.rng.random_bool(0.3) {
            self.engine.waiting.push(order);
            self.pass();
            return OrderOutcome::Unanswered { sent: after };
        }
        self.pass();
        if !self.engine.accept(order, self.now) {
            return OrderOutcome::Refused;
        }
        self.pass();
        OrderOutcome::Accepted(Acceptance {
            after,
            by: self.now,
        })
    }

    fn round(&mut self) {
        self.pass();
        self.report();
        if self.tracker.awaits_read_back() && self.staging.is_some() {
            self.read_back();
        } else if self.tracker.awaits_read_back() {
            self.tracker.record_read_back(false, &self.history());
        }
        let is_judged = !self.tracker.awaits_report() && !self.tracker.awaits_read_back();
        if is_judged && self.tracker.weights() != Weights::Verified(NEW) {
            self.load(self.reported);
        }
    }
}

/// Guards against streams of bad weights, whenever orders are accepted, pieces turn bad and engines
/// start again; and against engines that are never used again.
#[test]
fn only_whole_weights_are_verified() {
    let mut verified = 0;
    for seed in 0..3_000 {
        let mut world = World::new(seed);
        for _ in 0..ROUNDS {
            world.round();
        }
        verified += usize::from(world.verified > 0);
    }
    assert!(verified > 2_900, "verified in {verified} of 3,000 runs");
}

macro_rules! proofs {
    ($($(#[doc = $doc:literal])* $case:ident: $history:expr, $after:literal..$by:literal => $proof:expr;)*) => {
        $($(#[doc = $doc])* #[test] fn $case() {
            let accepted = Acceptance { after: at($after), by: at($by) };
            assert_eq!($history.proof(accepted), $proof);
        })*
    };
}

fn history(checked: u64, written: u64, write_pending: bool) -> PieceHistory {
    PieceHistory {
        version: NEW,
        checked: Some(at(checked)),
        written: at(written),
        write_pending,
    }
}

proofs! {
    a_prompt_acceptance: history(1_000, 1_050, false), 1_060..1_070 => Proof::Correct;
    /// Guards against pieces that turn bad while the order waits at the engine.
    a_late_acceptance: history(1_000, 1_050, false), 1_060..4_070 => Proof::ReadBack;
    /// Guards against a piece that was bad when it was taken, and is right only since it was written.
    a_write_after_the_acceptance: history(1_500, 1_450, false), 1_060..1_600 => Proof::Impossible;
    /// Guards against a late write of another version between the check and the acceptance.
    a_pending_write: history(1_000, 1_050, true), 1_060..1_070 => Proof::ReadBack;
    /// Guards against a late write that hides that a piece had been bad.
    a_pending_write_and_a_late_acceptance: history(1_000, 1_050, true), 1_060..4_070 => Proof::Impossible;
}

/// Guards against an engine that is used as before it started again, or before its agent did.
#[test]
fn what_was_heard_holds_for_one_life() {
    let mut heard = HeardWeights::default();
    heard.record(5, Weights::Unverified);
    heard.record(5, Weights::Unknown);
    heard.record(0, Weights::Verified(NEW));
    assert!(!heard.permits(5, NEW) && !heard.permits(0, NEW));
    assert!(!heard.permits(6, NEW), "it began without weights");
    assert_eq!(heard.doubted(), Some(5));
    heard.record(5, Weights::Verified(NEW));
    assert!(heard.permits(5, NEW) && !heard.permits(5, OLD));
    heard.record(6, Weights::Unknown);
    assert!(!heard.permits(6, NEW) && heard.doubted() == Some(6));
}

/// Guards against an engine without orders that is not used although it was started with a version.
#[test]
fn an_engine_that_was_started_with_a_version_is_verified() {
    let mut tracker = LoadTracker::default();
    let seen = Engine::new().observe();
    tracker.observe(seen, &PieceHistory::default(), at(1), at(2));
    assert_eq!(tracker.weights(), Weights::Verified(OLD));
}

/// Guards against the loss of all engines whose agents start again.
#[test]
fn a_load_of_an_earlier_process_is_unknown() {
    let mut tracker = LoadTracker::default();
    let seen = Observation {
        orders: 1,
        ..Engine::new().observe()
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
        ..Engine::new().observe()
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
        ..Engine::new().observe()
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
    let pieces = history(2_000, 2_500, false);
    tracker.observe(whole, &pieces, at(3_020), at(3_030));
    assert_eq!(tracker.weights(), Weights::Unverified);
    let keep = Operation::Keep(LayerRange::single(1));
    assert_eq!(tracker.reload_step(), Some(keep));
}

//! Tests when staged pieces may be loaded, with pauses of the agent and of the engine.

use std::time::Duration;

use apricothall_decide::staging::{ACCEPTANCE_TIME, Check, MAX_PIECE_AGE, Staging, Step};
use apricothall_types::{ChunkIndex, Timestamp};
use proptest::prelude::*;

/// Steps after which a run counts as endless.
const MAX_STEPS: usize = 20_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A simulated agent and engine. Each check takes `call`, and pauses lie between the calls.
struct Run {
    staging: Staging,
    now: Timestamp,
    call: Duration,
    reads: usize,
    writes: usize,
    /// Time of the last check that found or made each piece correct.
    correct: Vec<Timestamp>,
}

impl Run {
    fn new(count: usize, read_back: bool, call_ms: u64) -> Self {
        let now = at(1_000);
        Self {
            staging: Staging::new(count, read_back, now),
            now,
            call: Duration::from_millis(call_ms),
            reads: 0,
            writes: 0,
            correct: vec![Timestamp::default(); count],
        }
    }

    /// Runs until the order or the end. `pause` is asked before each step.
    fn finish(&mut self, mut pause: impl FnMut(usize) -> Duration) -> Option<Timestamp> {
        for step in 0..MAX_STEPS {
            self.now = self.now + pause(step);
            match self.staging.next(self.now) {
                Step::Order { by } => return Some(by),
                Step::GiveUp => return None,
                Step::Check(pieces) => self.check(&pieces),
            }
        }
        panic!("no end after {MAX_STEPS} steps");
    }

    fn check(&mut self, pieces: &[(ChunkIndex, Check)]) {
        assert!(!pieces.is_empty(), "a step without a check");
        let sent = self.now;
        self.now = self.now + self.call;
        for (index, check) in pieces {
            match check {
                Check::Read => self.reads += 1,
                Check::Write => self.writes += 1,
            }
            self.correct[index.0 as usize] = sent;
            self.staging.record(*index, *check, sent, self.now);
        }
    }

    /// Longest time for which a piece may have been bad if the engine takes the order in time.
    fn oldest(&self, by: Timestamp) -> Duration {
        let ages = self
            .correct
            .iter()
            .map(|at| (by + ACCEPTANCE_TIME).since(*at));
        ages.max().unwrap_or_default()
    }
}

fn no_pause(_: usize) -> Duration {
    Duration::ZERO
}

macro_rules! cases {
    ($($(#[doc = $guards:literal])* $case:ident: $check:expr;)*) => {
        $($(#[doc = $guards])* #[test] fn $case() { $check; })*
    };
}

cases! {
    /// Guards against reads of an engine that needs none.
    a_quick_staging_reads_nothing_back: {
        let mut run = Run::new(64, false, 1);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 0));
    };
    /// Guards against loading pieces that turned bad over a pause after the last of them.
    a_pause_before_the_order_reads_all_back: {
        let mut run = Run::new(64, false, 1);
        let by = run.finish(|step| Duration::from_secs(if step == 64 { 4 } else { 0 }));
        assert!(by.is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
    };
    /// Guards against reading back more than a pause made old.
    a_pause_amid_staging_reads_back_what_was_staged: {
        let mut run = Run::new(64, false, 1);
        let by = run.finish(|step| Duration::from_secs(if step == 20 { 4 } else { 0 }));
        assert!(by.is_some());
        assert_eq!((run.writes, run.reads), (64, 20));
    };
    /// Guards against a write of an earlier version that takes effect after this one's.
    a_pending_write_makes_all_be_read_back: {
        let mut run = Run::new(64, true, 1);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
    };
    /// Guards against an engine that is ordered unchecked, or checked for ever.
    an_engine_too_slow_to_check_is_given_up: {
        let mut run = Run::new(64, false, 1_000);
        assert_eq!(run.finish(no_pause), None);
    };
    /// Guards against a slow engine that never gets weights.
    a_slow_engine_is_checked_concurrently: {
        let mut run = Run::new(64, false, 250);
        assert!(run.finish(no_pause).is_some());
    };
    /// Guards against writes that hide whether a piece was correct when an earlier order was accepted.
    a_second_attempt_reads_what_was_written: {
        let mut run = Run::new(64, false, 1);
        assert!(run.finish(no_pause).is_some());
        run.staging.retry(run.now);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
    };
    /// Guards against a late write of a version that was staged before.
    a_write_without_an_answer_counts_for_the_next_version: {
        let mut run = Run::new(64, false, 1);
        run.staging.record_lost_write();
        run.staging = run.staging.replace(64, run.now);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
        assert!(run.staging.history(2).write_pending);
    };
    a_version_without_pieces_is_ordered_at_once: {
        assert!(matches!(Staging::new(0, false, at(5)).next(at(5)), Step::Order { .. }));
    };
}

proptest! {
    /// Guards against an order while a piece may have been bad for longer than is excused, whatever
    /// pauses there are.
    #[test]
    fn no_order_is_sent_after_a_piece_may_have_been_bad_for_too_long(
        count in 1_usize..200,
        call_ms in 0_u64..400,
        read_back: bool,
        pauses in prop::collection::vec((0_usize..400, 0_u64..6_000), 0..8),
    ) {
        let mut run = Run::new(count, read_back, call_ms);
        let pause = |step| {
            let found = pauses.iter().find(|(at, _)| *at == step);
            Duration::from_millis(found.map_or(0, |(_, ms)| *ms))
        };
        if let Some(by) = run.finish(pause) {
            prop_assert!(run.now <= by);
            prop_assert!(run.oldest(by) <= MAX_PIECE_AGE, "{:?}", run.oldest(by));
        }
    }
}

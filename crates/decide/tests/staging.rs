//! Tests when staged pieces may be loaded, with pauses of the agent and of the engine.

use std::time::Duration;

use apricothall_decide::pending_writes::EarlierWrites;
use apricothall_decide::staging::{ACCEPTANCE_TIME, Check, MAX_PIECE_AGE, Staging, Step};
use apricothall_types::{ChunkIndex, Timestamp};
use proptest::prelude::*;

/// Version that is staged.
const VERSION: u64 = 2;

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
    first_reads: usize,
    reads: usize,
    writes: usize,
    /// Pieces that the engine has from an earlier process.
    found: usize,
    /// Time of the last check that found or made each piece correct.
    correct: Vec<Timestamp>,
}

impl Run {
    fn new(count: usize, earlier: EarlierWrites, call_ms: u64) -> Self {
        let now = at(1_000);
        Self {
            staging: Staging::new(VERSION, count, earlier, now),
            now,
            call: Duration::from_millis(call_ms),
            first_reads: 0,
            reads: 0,
            writes: 0,
            found: 0,
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
            let at = index.0 as usize;
            self.first_reads += usize::from(*check == Check::FirstRead);
            let done = match check {
                Check::FirstRead if at >= self.found => Check::Write,
                other => *other,
            };
            self.reads += usize::from(done == Check::Read);
            self.writes += usize::from(done == Check::Write);
            self.correct[at] = sent;
            self.staging.record(*index, done, sent, self.now);
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
        let mut run = Run::new(64, EarlierWrites::None, 1);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 0));
    };
    /// Guards against loading pieces that turned bad over a pause after the last of them.
    a_pause_before_the_order_reads_all_back: {
        let mut run = Run::new(64, EarlierWrites::None, 1);
        let by = run.finish(|step| Duration::from_secs(if step == 64 { 4 } else { 0 }));
        assert!(by.is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
    };
    /// Guards against reading back more than a pause made old.
    a_pause_amid_staging_reads_back_what_was_staged: {
        let mut run = Run::new(64, EarlierWrites::None, 1);
        let by = run.finish(|step| Duration::from_secs(if step == 20 { 4 } else { 0 }));
        assert!(by.is_some());
        assert_eq!((run.writes, run.reads), (64, 20));
    };
    /// Guards against a write of an earlier process that takes effect after this one's.
    an_engine_that_lived_before_may_have_pending_writes: {
        let mut run = Run::new(64, EarlierWrites::UNKNOWN.limit(VERSION), 1);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.first_reads, run.writes, run.reads), (4, 64, 0));
        let pending = run.staging.history().pending;
        assert!(pending.other && !pending.same, "{pending:?}");
    };
    /// Guards against the same if the earlier process had staged some of this version.
    pieces_that_are_there_already_are_of_a_process_that_may_have_sent_more: {
        let mut run = Run::new(64, EarlierWrites::UNKNOWN.limit(VERSION), 1);
        run.found = 10;
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.first_reads, run.writes, run.reads), (64, 54, 0));
        let pending = run.staging.history().pending;
        assert!(pending.other && pending.same, "{pending:?}");
    };
    /// Guards against a predecessor that is overlooked, as one of its pieces was overwritten.
    one_piece_that_is_not_there_proves_nothing: {
        let mut staging = Staging::new(VERSION, 3, EarlierWrites::UNKNOWN, at(1));
        staging.record(ChunkIndex(0), Check::Write, at(1), at(2));
        let Step::Check(next) = staging.next(at(3)) else {
            panic!("nothing is checked");
        };
        assert_eq!(next, [(ChunkIndex(1), Check::FirstRead)]);
        staging.record(ChunkIndex(1), Check::FirstRead, at(3), at(4));
        assert!(staging.history().pending.same);
    };
    /// Guards against a lost write of this version that is forgotten, as no piece shows it.
    a_lost_write_of_the_same_version_stays_known: {
        let staging = Staging::new(VERSION, 64, EarlierWrites::Lost(VERSION), at(1));
        assert!(staging.history().pending.same);
        let staging = staging.replace(VERSION + 1, 64, at(2));
        let pending = staging.history().pending;
        assert!(pending.other && !pending.same, "{pending:?}");
    };
    /// Guards against a successor that stages nothing, and takes that for a proof.
    pieces_that_are_all_there_already_are_no_proof: {
        let mut run = Run::new(64, EarlierWrites::UNKNOWN.limit(VERSION), 1);
        run.found = 64;
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.first_reads, run.writes), (64, 0));
        assert!(run.staging.history().pending.other);
    };
    /// Guards against a successor that forgets its predecessor with the first version that it stages.
    an_earlier_process_counts_for_all_versions: {
        let mut run = Run::new(64, EarlierWrites::UNKNOWN.limit(VERSION), 1);
        assert!(run.finish(no_pause).is_some());
        for version in VERSION + 1..VERSION + 4 {
            run.staging = run.staging.replace(version, 64, run.now);
            assert!(run.finish(no_pause).is_some());
            let pending = run.staging.history().pending;
            assert!(pending.other && !pending.same, "{pending:?}");
        }
    };
    /// Guards against the same for a version that was published before the first staging.
    an_earlier_process_may_have_staged_a_later_version: {
        let run = Run::new(64, EarlierWrites::UNKNOWN.limit(VERSION + 1), 1);
        let staging = run.staging.replace(VERSION + 1, 64, run.now);
        assert!(staging.history().pending.same);
        let staging = run.staging.replace(VERSION + 2, 64, run.now);
        assert!(!staging.history().pending.same);
    };
    /// Guards against a write that was lost at an engine which had started again unseen.
    a_write_that_was_lost_after_the_last_report_may_have_reached_the_next_life: {
        let mut run = Run::new(64, EarlierWrites::None, 1);
        run.staging.record_lost_write(at(1_500));
        let after = |ms| run.staging.writes_after_start(at(ms));
        assert_eq!(after(1_400), EarlierWrites::Lost(VERSION));
        assert_eq!(after(1_600), EarlierWrites::None, "it ended with the engine");
    };
    /// Guards against an engine that is ordered unchecked, or checked for ever.
    an_engine_too_slow_to_check_is_given_up: {
        let mut run = Run::new(64, EarlierWrites::None, 1_000);
        assert_eq!(run.finish(no_pause), None);
    };
    /// Guards against a slow engine that never gets weights.
    a_slow_engine_is_checked_concurrently: {
        let mut run = Run::new(64, EarlierWrites::None, 250);
        assert!(run.finish(no_pause).is_some());
    };
    /// Guards against writes that hide whether a piece was correct when an earlier order was accepted.
    a_second_attempt_reads_what_was_written: {
        let mut run = Run::new(64, EarlierWrites::None, 1);
        assert!(run.finish(no_pause).is_some());
        run.staging.retry(run.now);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
    };
    /// Guards against a late write of a version that was staged before.
    a_write_without_an_answer_counts_for_the_next_version: {
        let mut run = Run::new(64, EarlierWrites::None, 1);
        run.staging.record_lost_write(run.now);
        run.staging = run.staging.replace(VERSION + 1, 64, run.now);
        assert!(run.finish(no_pause).is_some());
        assert_eq!((run.writes, run.reads), (64, 64));
        let pending = run.staging.history().pending;
        assert!(pending.other && !pending.same, "{pending:?}");
    };
    a_version_without_pieces_is_ordered_at_once: {
        assert!(matches!(Staging::new(VERSION, 0, EarlierWrites::None, at(5)).next(at(5)), Step::Order { .. }));
    };
}

proptest! {
    /// Guards against an order while a piece may have been bad for longer than is excused, whatever
    /// pauses there are.
    #[test]
    fn no_order_is_sent_after_a_piece_may_have_been_bad_for_too_long(
        count in 1_usize..200,
        call_ms in 0_u64..400,
        has_predecessor: bool,
        has_lost_write: bool,
        pauses in prop::collection::vec((0_usize..400, 0_u64..6_000), 0..8),
    ) {
        let earlier = if has_predecessor {
            EarlierWrites::UNKNOWN
        } else {
            EarlierWrites::None
        };
        let mut run = Run::new(count, earlier, call_ms);
        if has_lost_write {
            run.staging.record_lost_write(run.now);
        }
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

//! Decides when the pieces staged at an engine may be loaded.
//!
//! A staged piece may turn bad at any time, and the engine loads what is staged when it accepts the
//! order. A piece is known to be correct at the time at which the call that wrote it, or read it
//! back, was sent. The order must be sent while this is recent for every piece; pieces for which it
//! is not are read back first.
//!
//! A write without an answer may take effect at any time, also after the process that sent it has
//! ended, and replace a piece that was written since. Only a start of the engine ends it. Hence a
//! process that did not see the engine start takes into account that such writes may exist.

use std::time::Duration;

use apricothall_types::{ChunkIndex, Timestamp};

use crate::loaded::PieceHistory;
use crate::pending_writes::{EarlierWrites, PendingWrites};

/// Time for which a bad piece may have been staged when the engine accepts the order.
pub const MAX_PIECE_AGE: Duration = Duration::from_secs(3);

/// Maximum time from sending the order until the engine accepts it.
pub const ACCEPTANCE_TIME: Duration = Duration::from_secs(1);

/// Time after which staging is given up, so that other agents take their turn.
const MAX_STAGING_TIME: Duration = Duration::from_secs(30);

/// Maximum number of concurrent calls to the engine, which also serves requests.
const MAX_CALLS: usize = 16;

/// Pieces that were not there, after which an earlier process counts as not having staged the version.
/// Some of them may have turned bad or been overwritten.
const MAX_FIRST_MISSES: usize = 4;

/// Time in which all pieces should be checked, to leave some for a repetition.
const PASS_TIME: Duration = Duration::from_secs(1);

/// How a piece becomes known to be correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It is written.
    Write,
    /// It is read for the first time, and written if it is not correct, as is to be expected.
    FirstRead,
    /// It is read back, and written if it is not correct.
    Read,
}

/// Next step of staging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Check these pieces concurrently.
    Check(Vec<(ChunkIndex, Check)>),
    /// Send the order, at this time at the latest.
    Order {
        /// When the first of the checks is no longer recent enough.
        by: Timestamp,
    },
    /// The engine is too slow to be loaded.
    GiveUp,
}

/// State of the staging of one version.
#[derive(Clone, Debug)]
pub struct Staging {
    version: u64,
    pieces: Vec<Piece>,
    started: Timestamp,
    /// Duration of the last call.
    call_time: Duration,
    /// When the last write was answered.
    written: Timestamp,
    /// When this process last learned that a write has no answer.
    lost: Option<Timestamp>,
    /// What may have been written before, by this process or an earlier one, and is still pending.
    earlier: EarlierWrites,
    /// What of that, and of the writes of this version, may yet take effect.
    pending: PendingWrites,
    /// Number of pieces that were read for the first time and were not there.
    first_misses: usize,
}

/// What is known of the piece that is staged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Content {
    /// It is not the piece: none was staged, or one of another version.
    #[default]
    Other,
    /// Nothing; an earlier process may have staged the piece.
    Unknown,
    /// It is the piece, unless it turned bad or was overwritten since.
    Staged,
}

#[derive(Clone, Copy, Debug, Default)]
struct Piece {
    content: Content,
    /// When the last check was sent.
    checked: Option<Timestamp>,
}

impl Staging {
    /// Starts to stage `count` pieces of `version`, the first at this engine by this process.
    #[must_use]
    pub fn new(version: u64, count: usize, earlier: EarlierWrites, now: Timestamp) -> Self {
        // What an earlier process wrote shows by the pieces; what this one lost is known.
        let (content, same) = match earlier {
            EarlierWrites::None | EarlierWrites::Lost(_) => {
                (Content::Other, earlier.may_include(version))
            }
            EarlierWrites::UpTo(_) => (Content::Unknown, false),
        };
        let piece = Piece {
            content,
            checked: None,
        };
        Self {
            version,
            pieces: vec![piece; count],
            started: now,
            call_time: Duration::ZERO,
            written: Timestamp::default(),
            lost: None,
            earlier,
            pending: PendingWrites {
                same,
                other: earlier != EarlierWrites::None,
            },
            first_misses: 0,
        }
    }

    /// Starts to stage `count` pieces of another `version` at the same engine.
    #[must_use]
    pub fn replace(&self, version: u64, count: usize, now: Timestamp) -> Self {
        Self {
            written: self.written,
            lost: self.lost,
            earlier: self.earlier,
            pending: PendingWrites {
                same: self.earlier.may_include(version),
                other: self.earlier != EarlierWrites::None,
            },
            ..Self::new(version, count, EarlierWrites::None, now)
        }
    }

    /// Starts another attempt. Pieces that were written are read back first: writing them would hide
    /// whether they were correct when the engine accepted an earlier order.
    pub fn retry(&mut self, now: Timestamp) {
        self.started = now;
        for piece in &mut self.pieces {
            piece.checked = None;
        }
    }

    /// Writes that may yet take effect after the engine has started again. `seen` is when the last
    /// report of its life before was requested; a write that was lost later may have reached the
    /// new life.
    #[must_use]
    pub fn writes_after_start(&self, seen: Timestamp) -> EarlierWrites {
        match self.lost {
            Some(lost) if lost >= seen => EarlierWrites::Lost(self.version),
            _ => EarlierWrites::None,
        }
    }

    /// Returns the next step.
    #[must_use]
    pub fn next(&self, now: Timestamp) -> Step {
        let oldest = self.pieces.iter().map(|p| p.checked).min();
        let by = match oldest {
            None => Some(now),
            Some(checked) => checked.map(|at| at + MAX_PIECE_AGE - ACCEPTANCE_TIME),
        };
        if let Some(by) = by.filter(|by| now <= *by) {
            return Step::Order { by };
        }
        if now.since(self.started) > MAX_STAGING_TIME {
            return Step::GiveUp;
        }
        let mut due: Vec<_> = (0..).map(ChunkIndex).zip(&self.pieces).collect();
        due.sort_by_key(|(_, piece)| piece.checked);
        let calls = due.into_iter().take(self.call_count());
        Step::Check(calls.map(|(index, piece)| (index, piece.check())).collect())
    }

    /// Returns when the oldest of the last checks was sent; `None` while a piece has none.
    #[must_use]
    pub fn oldest_check(&self) -> Option<Timestamp> {
        let checks = self.pieces.iter().map(|p| p.checked);
        checks.min().flatten()
    }

    /// Records that a piece was written or found correct by a call that was sent at `sent` and
    /// ended at `now`.
    pub fn record(&mut self, index: ChunkIndex, done: Check, sent: Timestamp, now: Timestamp) {
        self.call_time = now.since(sent);
        if done == Check::Write {
            self.written = now;
        }
        if done == Check::FirstRead {
            // Somebody staged this version, and may have sent other pieces of it.
            self.pending.same = true;
        }
        self.count_first_miss(index, done);
        let must_read_back = self.lost.is_some();
        let Some(piece) = self.pieces.get_mut(index.0 as usize) else {
            return;
        };
        piece.content = Content::Staged;
        let is_check = done != Check::Write || !must_read_back;
        piece.checked = is_check.then_some(sent);
    }

    /// Counts pieces of which nothing was known and that were not there. Pieces are staged in order, so
    /// a few of them mean that nobody staged this version; the others need not be read first.
    fn count_first_miss(&mut self, index: ChunkIndex, done: Check) {
        let piece = self.pieces.get(index.0 as usize);
        let was_unknown = piece.is_some_and(|p| p.content == Content::Unknown);
        self.first_misses += usize::from(was_unknown && done == Check::Write);
        if self.pending.same || self.first_misses < MAX_FIRST_MISSES {
            return;
        }
        for piece in &mut self.pieces {
            if piece.content == Content::Unknown {
                piece.content = Content::Other;
            }
        }
    }

    /// Records at `now` that a write has no answer.
    pub fn record_lost_write(&mut self, now: Timestamp) {
        self.lost = Some(now);
        self.pending.same = true;
        self.earlier = self.earlier.with_lost(self.version);
    }

    /// What is known of the pieces.
    #[must_use]
    pub fn history(&self) -> PieceHistory {
        PieceHistory {
            version: self.version,
            checked: self.oldest_check(),
            last_check: self.pieces.iter().filter_map(|p| p.checked).max(),
            written: self.written,
            pending: self.pending,
        }
    }

    /// Number of concurrent calls with which all pieces are checked within a second.
    #[must_use]
    pub fn call_count(&self) -> usize {
        let millis = self.call_time.as_millis() * self.pieces.len() as u128;
        let needed = millis.div_ceil(PASS_TIME.as_millis());
        usize::try_from(needed).map_or(MAX_CALLS, |calls| calls.clamp(1, MAX_CALLS))
    }
}

impl Piece {
    const fn check(self) -> Check {
        match self.content {
            Content::Other => Check::Write,
            Content::Unknown => Check::FirstRead,
            Content::Staged => Check::Read,
        }
    }
}

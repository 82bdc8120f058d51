//! Decides when the pieces staged at an engine may be loaded.
//!
//! A staged piece may turn bad at any time, and the engine loads what is staged when it accepts the
//! order. A piece is known to be correct at the time at which the call that wrote it, or read it
//! back, was sent. The order must be sent while this is recent for every piece; pieces for which it
//! is not are read back first.

use std::time::Duration;

use apricothall_types::{ChunkIndex, Timestamp};

use crate::loaded::PieceHistory;

/// Time for which a bad piece may have been staged when the engine accepts the order.
pub const MAX_PIECE_AGE: Duration = Duration::from_secs(3);

/// Maximum time from sending the order until the engine accepts it.
pub const ACCEPTANCE_TIME: Duration = Duration::from_secs(1);

/// Time after which staging is given up, so that other agents take their turn.
const MAX_STAGING_TIME: Duration = Duration::from_secs(30);

/// Maximum number of concurrent calls to the engine, which also serves requests.
const MAX_CALLS: usize = 16;

/// Time in which all pieces should be checked, to leave some for a repetition.
const PASS_TIME: Duration = Duration::from_secs(1);

/// How a piece becomes known to be correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It is written.
    Write,
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
    pieces: Vec<Piece>,
    started: Timestamp,
    /// Whether writing a piece is not a check, as an earlier write may still take effect after it.
    read_back: bool,
    /// Duration of the last call.
    call_time: Duration,
    /// When the last write was answered.
    written: Timestamp,
    /// Whether a write has no answer, so that it may yet take effect.
    write_pending: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Piece {
    is_written: bool,
    /// When the last check was sent.
    checked: Option<Timestamp>,
}

impl Staging {
    /// Starts to stage `count` pieces. With `read_back` each is read back after it was written.
    #[must_use]
    pub fn new(count: usize, read_back: bool, now: Timestamp) -> Self {
        Self {
            pieces: vec![Piece::default(); count],
            started: now,
            read_back,
            call_time: Duration::ZERO,
            written: Timestamp::default(),
            write_pending: read_back,
        }
    }

    /// Starts to stage `count` pieces of another version at the same engine.
    #[must_use]
    pub fn replace(&self, count: usize, now: Timestamp) -> Self {
        Self {
            written: self.written,
            ..Self::new(count, self.write_pending, now)
        }
    }

    /// Starts another attempt. Pieces that were written are read back first: writing them would hide
    /// whether they were correct when the engine accepted an earlier order.
    pub fn retry(&mut self, now: Timestamp) {
        self.started = now;
        self.read_back = self.write_pending;
        for piece in &mut self.pieces {
            piece.checked = None;
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
        let Some(piece) = self.pieces.get_mut(index.0 as usize) else {
            return;
        };
        piece.is_written = true;
        let is_check = done == Check::Read || !self.read_back;
        piece.checked = is_check.then_some(sent);
    }

    /// Records that a write has no answer.
    pub const fn record_lost_write(&mut self) {
        self.write_pending = true;
    }

    /// What is known of the pieces, which are of `version`.
    #[must_use]
    pub fn history(&self, version: u64) -> PieceHistory {
        PieceHistory {
            version,
            checked: self.oldest_check(),
            written: self.written,
            write_pending: self.write_pending,
        }
    }

    /// Number of concurrent calls with which all pieces are checked within [`PASS_TIME`].
    fn call_count(&self) -> usize {
        let millis = self.call_time.as_millis() * self.pieces.len() as u128;
        let needed = millis.div_ceil(PASS_TIME.as_millis());
        usize::try_from(needed).map_or(MAX_CALLS, |calls| calls.clamp(1, MAX_CALLS))
    }
}

impl Piece {
    const fn check(self) -> Check {
        if self.is_written {
            Check::Read
        } else {
            Check::Write
        }
    }
}

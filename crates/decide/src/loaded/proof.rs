//! Whether the staged pieces are known to have been correct when an engine accepted an order.

use apricothall_types::Timestamp;

use crate::pending_writes::PendingWrites;
use crate::staging::MAX_PIECE_AGE;

/// Period in which an engine accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acceptance {
    /// It had not accepted the order yet.
    pub after: Timestamp,
    /// It had accepted the order.
    pub by: Timestamp,
}

/// What the agent knows of the pieces that it staged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PieceHistory {
    /// Their version.
    pub version: u64,
    /// When the oldest of the last checks was sent; `None` while a piece has none.
    pub checked: Option<Timestamp>,
    /// When the newest of them was sent.
    pub last_check: Option<Timestamp>,
    /// When the last write was answered.
    pub written: Timestamp,
    /// Writes without an answer that may yet take effect.
    pub pending: PendingWrites,
}

/// How the pieces are known to have been correct when an order was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// They were checked shortly before.
    Correct,
    /// They are, if they are still correct when they are read back now.
    ReadBack,
    /// They very likely are, if they are still correct when they are read back now. But two late writes
    /// of one piece, of another version before the acceptance and of this one after it, look the same.
    Likely,
    /// It cannot be known any more.
    Impossible,
}

impl PieceHistory {
    /// Returns how the pieces are known to have been correct when an order was accepted.
    ///
    /// A piece that turns bad, or is overwritten with another version, stays so until it is written.
    /// Hence a piece that was not written since the acceptance and is correct later was correct then.
    #[must_use]
    pub fn proof(&self, accepted: Acceptance) -> Proof {
        if self.written > accepted.after {
            return Proof::Impossible;
        }
        let PendingWrites { same, other } = self.pending;
        let is_recent = |checked| accepted.by.since(checked) <= MAX_PIECE_AGE;
        // After the acceptance, a late write of this version may have made a bad piece right.
        let is_earlier = self.last_check.is_some_and(|last| last <= accepted.after);
        let is_checked = self.checked.is_some_and(is_recent) && (is_earlier || !same);
        match (is_checked, same, other) {
            (true, false, false) => Proof::Correct,
            // A late write of another version shows when the pieces are read back.
            (_, false, _) | (true, true, false) => Proof::ReadBack,
            (true, true, true) => Proof::Likely,
            // A late write of this version may hide that a piece had been bad.
            (false, true, _) => Proof::Impossible,
        }
    }
}

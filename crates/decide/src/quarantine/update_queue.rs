//! Queue of record changes to be gossiped to other daemons.
//!
//! Most lost answers are not caused by a crash, which becomes clear soon, so a record is held back
//! for a while. It is then sent immediately and repeated in later messages, as any message may be
//! lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{Digest, Timestamp};

/// Time for which a sent record is repeated in later messages.
const REPEAT_FOR: Duration = Duration::from_millis(1_500);

/// Number of daemons that receive records in a gossip round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fanout {
    /// Daemons in the same region.
    pub near: usize,
    /// Daemons in other regions.
    pub far: usize,
}

/// Fanout of the round in which a record is due. It covers all daemons of a small deployment.
const INITIAL_FANOUT: Fanout = Fanout { near: 8, far: 12 };

/// Fanout of each later round while a record is repeated; receivers are drawn anew each time.
const REPEAT_FANOUT: Fanout = Fanout { near: 0, far: 3 };

/// Fanout of a round; `due` is true if a new record is due. Other daemons of the same region
/// receive records with the regular messages, and those of other regions from their neighbours.
#[must_use]
pub const fn fanout(due: bool) -> Fanout {
    if due { INITIAL_FANOUT } else { REPEAT_FANOUT }
}

/// Fingerprints whose records are to be sent or repeated.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    waiting: BTreeMap<Digest, Timestamp>,
    recent: VecDeque<(Digest, Timestamp)>,
}

impl UpdateQueue {
    /// Schedules the changed record of `fingerprint` to be sent at `due`, or at the earlier time at
    /// which it is already scheduled.
    pub fn schedule(&mut self, fingerprint: Digest, due: Timestamp) {
        let at = self.waiting.entry(fingerprint).or_insert(due);
        *at = due.min(*at);
    }

    /// Moves a scheduled record forward to `now`.
    pub fn expedite(&mut self, fingerprint: &Digest, now: Timestamp) {
        if let Some(at) = self.waiting.get_mut(fingerprint) {
            *at = now.min(*at);
        }
    }

    /// Handles a cleared record. If it was not sent yet, it is only removed from the queue.
    pub fn schedule_clearance(&mut self, fingerprint: Digest, now: Timestamp) {
        if self.waiting.remove(&fingerprint).is_none() {
            self.schedule(fingerprint, now);
        }
    }

    /// Moves at most `most` due records to the recent ones. Returns whether there were any.
    pub fn take_due(&mut self, most: usize, now: Timestamp) -> bool {
        self.recent.retain(|(_, at)| now.since(*at) < REPEAT_FOR);
        let due = self.waiting.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.take(most).map(|(f, _)| *f).collect();
        for fingerprint in &due {
            self.waiting.remove(fingerprint);
            self.recent.push_front((*fingerprint, now));
        }
        !due.is_empty()
    }

    /// Fingerprints whose records go into a message, latest first.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Digest> {
        let lately = move |(_, at): &&(Digest, Timestamp)| now.since(*at) < REPEAT_FOR;
        self.recent.iter().filter(lately).map(|(f, _)| f)
    }
}

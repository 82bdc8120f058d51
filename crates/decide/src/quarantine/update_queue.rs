//! Which records other daemons are told, and when.
//!
//! Most lost answers are no crash, which shows soon, so a record waits for a while before it is
//! told. It is then sent at once and again in later messages, as any of them may be lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{Digest, Timestamp};

/// Time for which a record that was told goes into later messages too.
const REPEAT_FOR: Duration = Duration::from_millis(1_500);

/// How many other daemons are told in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fanout {
    /// Of the own region.
    pub near: usize,
    /// Of other regions.
    pub far: usize,
}

/// Those told in the round in which a record is due. A small deployment hears of it whole.
const INITIAL_FANOUT: Fanout = Fanout { near: 8, far: 12 };

/// Those told in each later round while it is news, drawn anew each time.
const REPEAT_FANOUT: Fanout = Fanout { near: 0, far: 3 };

/// Those who are told in a round; `due` says whether it has a new record. The rest of the own
/// region hear of it with their usual messages, and those of other regions from their neighbours.
#[must_use]
pub const fn fanout(due: bool) -> Fanout {
    if due { INITIAL_FANOUT } else { REPEAT_FANOUT }
}

/// Fingerprints whose records are told.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    waiting: BTreeMap<Digest, Timestamp>,
    recent: VecDeque<(Digest, Timestamp)>,
}

impl UpdateQueue {
    /// Notes that the record of `fingerprint` has changed and is to be told at `due`, or sooner if
    /// it waits already.
    pub fn schedule(&mut self, fingerprint: Digest, due: Timestamp) {
        let at = self.waiting.entry(fingerprint).or_insert(due);
        *at = due.min(*at);
    }

    /// Lets a record that waits be told at `now`.
    pub fn expedite(&mut self, fingerprint: &Digest, now: Timestamp) {
        if let Some(at) = self.waiting.get_mut(fingerprint) {
            *at = now.min(*at);
        }
    }

    /// Notes that a record is cleared again. Others need not hear of one that was not told.
    pub fn schedule_clearance(&mut self, fingerprint: Digest, now: Timestamp) {
        if self.waiting.remove(&fingerprint).is_none() {
            self.schedule(fingerprint, now);
        }
    }

    /// Takes at most `most` records that are due. True when there are any.
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

    /// What goes into a message, latest first.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Digest> {
        let lately = move |(_, at): &&(Digest, Timestamp)| now.since(*at) < REPEAT_FOR;
        self.recent.iter().filter(lately).map(|(f, _)| f)
    }
}

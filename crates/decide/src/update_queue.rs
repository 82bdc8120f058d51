//! Queue of record changes to be gossiped to other daemons.
//!
//! A change may be held back for a while, for instance as most lost answers are not caused by a
//! crash, which becomes clear soon. It is then sent immediately and repeated in later messages, as
//! any message may be lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::Timestamp;

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

/// Keys of records that are to be sent or repeated.
#[derive(Clone, Debug)]
pub struct UpdateQueue<K> {
    waiting: BTreeMap<K, Timestamp>,
    recent: VecDeque<(K, Timestamp)>,
}

impl<K> Default for UpdateQueue<K> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }
}

impl<K: Clone + Ord> UpdateQueue<K> {
    /// Schedules the changed record of `key` to be sent at `due`, or at the earlier time at
    /// which it is already scheduled.
    pub fn schedule(&mut self, key: K, due: Timestamp) {
        let at = self.waiting.entry(key).or_insert(due);
        *at = due.min(*at);
    }

    /// Moves a scheduled record forward to `now`.
    pub fn expedite(&mut self, key: &K, now: Timestamp) {
        if let Some(at) = self.waiting.get_mut(key) {
            *at = now.min(*at);
        }
    }

    /// Handles a cleared record. If it was not sent yet, it is only removed from the queue.
    pub fn schedule_clearance(&mut self, key: K, now: Timestamp) {
        if self.waiting.remove(&key).is_none() {
            self.schedule(key, now);
        }
    }

    /// Moves at most `most` due records to the recent ones. Returns whether there were any.
    pub fn take_due(&mut self, most: usize, now: Timestamp) -> bool {
        self.recent.retain(|(_, at)| now.since(*at) < REPEAT_FOR);
        let due = self.waiting.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.take(most).map(|(k, _)| k.clone()).collect();
        let any = !due.is_empty();
        for key in due {
            self.waiting.remove(&key);
            self.recent.push_front((key, now));
        }
        any
    }

    /// Keys whose records go into a message, latest first.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &K> {
        let lately = move |(_, at): &&(K, Timestamp)| now.since(*at) < REPEAT_FOR;
        self.recent.iter().filter(lately).map(|(k, _)| k)
    }
}

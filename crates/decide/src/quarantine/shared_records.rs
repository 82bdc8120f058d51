//! Crash records that all daemons share, by key.

use std::fmt::Display;
use std::time::Duration;

use apricothall_types::{Timestamp, WallTime};

use super::{Crash, InferredCrashes, Record, Records};
use crate::update_queue::UpdateQueue;

/// Maximum number of records per message.
const MAX_RECORDS_PER_MESSAGE: usize = 8;

/// Crash records by key, the crashes that may still be disproved, and the changes to be sent.
#[derive(Clone, Debug)]
pub struct SharedRecords<K> {
    records: Records<K>,
    inferred: InferredCrashes<K>,
    updates: UpdateQueue<K>,
    /// Cached digest of the records, cleared when they change.
    summary: Option<u64>,
}

impl<K: Clone + Ord + Display> SharedRecords<K> {
    /// Creates a set that holds the changes of `records`, which are empty.
    #[must_use]
    pub fn new(records: Records<K>) -> Self {
        Self {
            records,
            inferred: InferredCrashes::default(),
            updates: UpdateQueue::default(),
            summary: None,
        }
    }

    /// The records.
    #[must_use]
    pub const fn records(&self) -> &Records<K> {
        &self.records
    }

    /// Records that the response to a request with `key` was lost. This counts as a crash until the
    /// server is observed again with the same start time. `alone` is whether the server tried the
    /// key.
    pub fn lost(&mut self, key: K, crash: &Crash, alone: bool, now: Timestamp, wall: WallTime) {
        self.summary = None;
        let running = [key.clone()].into();
        let _ = self.records.crashed(crash, &running, alone, wall);
        self.inferred.expire(now);
        self.inferred.record(crash, key, now);
    }

    /// Schedules the record of `key` to be sent after `wait`.
    pub fn schedule(&mut self, key: K, wait: Duration, now: Timestamp) {
        self.updates.schedule(key, now + wait);
    }

    /// Records that a request with `key` completed, which clears it.
    pub fn completed(&mut self, key: K, now: Timestamp, wall: WallTime) {
        self.summary = None;
        for (key, _) in self.records.completed(key, wall) {
            self.updates.schedule_clearance(key, now);
        }
    }

    /// Whether there are crashes that may still be disproved.
    #[must_use]
    pub fn has_inferred_crashes(&self) -> bool {
        !self.inferred.is_empty()
    }

    /// Records that the server run identified by `crash` has ended: the records of its requests are
    /// due.
    pub fn ended(&mut self, crash: &Crash, now: Timestamp) {
        let keys: Vec<_> = self.inferred.keys(crash).cloned().collect();
        for key in keys {
            self.updates.expedite(&key, now);
        }
    }

    /// Records that the server run identified by `crash` was still in progress at `seen`. Returns
    /// the number of keys that are thereby cleared.
    pub fn disprove(&mut self, crash: &Crash, seen: Timestamp, now: Timestamp) -> usize {
        let cleared = self.inferred.disprove(crash, seen);
        let count = cleared.len();
        for key in cleared {
            self.summary = None;
            self.records.clear_crash(crash, &key);
            self.updates.schedule_clearance(key, now);
        }
        count
    }

    /// Merges records of another daemon. Returns whether any of them changed the local records.
    pub fn merge(&mut self, received: &[(K, Record)], now: Timestamp, wall: WallTime) -> bool {
        self.summary = None;
        let changed = self.records.merge(received, wall);
        for (key, _) in received {
            let record = self.records.get(key);
            for crash in record.into_iter().flat_map(Record::open) {
                self.inferred.record(crash, key.clone(), now);
            }
        }
        changed
    }

    /// Whether there are records to send.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.updates.recent(now).next().is_some()
    }

    /// Moves the next due records to those that are sent. Returns whether there were any.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        self.updates.take_due(MAX_RECORDS_PER_MESSAGE, now)
    }

    /// Records to include in a message.
    #[must_use]
    pub fn updates(&self, now: Timestamp) -> Vec<(K, Record)> {
        let keys = self.updates.recent(now).take(MAX_RECORDS_PER_MESSAGE);
        keys.filter_map(|key| Some((key.clone(), self.records.get(key)?.clone())))
            .collect()
    }

    /// Digest of the records that all daemons should share; zero if there are none.
    pub fn summary(&mut self) -> u64 {
        let records = &self.records;
        *self.summary.get_or_insert_with(|| records.summary())
    }

    /// The records that all daemons should share.
    #[must_use]
    pub fn replicated(&self) -> Vec<(K, Record)> {
        let replicated = self.records.replicated();
        replicated
            .map(|(key, r)| (key.clone(), r.clone()))
            .collect()
    }
}

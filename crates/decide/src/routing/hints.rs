//! Hints about which replica has which prompt prefix in its cache.
//!
//! Engines publish cache events late and with gaps, so a hint only makes a replica preferred. A gap
//! in the sequence numbers of a replica drops all of its hints, as the lost event may have been an
//! eviction.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{MemberId, Sequence, Timestamp};

use super::Prefix;

/// A change in the prefix cache of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix was added to the cache.
    Stored(Prefix),
    /// The prefix was evicted.
    Evicted(Prefix),
    /// The cache was emptied, for example by an engine restart.
    Cleared,
}

#[derive(Clone, Debug)]
struct Hint {
    prefix: Prefix,
    member: MemberId,
    stored_at: Timestamp,
}

/// A bounded table of hints, ordered from oldest to newest.
#[derive(Clone, Debug)]
pub struct Hints {
    capacity: usize,
    expiry: Duration,
    by_age: VecDeque<Hint>,
    by_prefix: BTreeMap<Prefix, Vec<MemberId>>,
    last_sequence: BTreeMap<MemberId, Sequence>,
}

impl Hints {
    /// Creates an empty table of at most `capacity` hints, each of which expires after `expiry`.
    #[must_use]
    pub fn new(capacity: usize, expiry: Duration) -> Self {
        Self {
            capacity,
            expiry,
            by_age: VecDeque::new(),
            by_prefix: BTreeMap::new(),
            last_sequence: BTreeMap::new(),
        }
    }

    /// Number of hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether the table has no hints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Applies the event of `member` with number `sequence`. Returns false for a late or duplicate
    /// event, which is ignored.
    pub fn apply(
        &mut self,
        member: &MemberId,
        sequence: Sequence,
        event: CacheEvent,
        now: Timestamp,
    ) -> bool {
        let last = self.last_sequence.insert(member.clone(), sequence);
        if let Some(last) = last.filter(|last| sequence <= *last) {
            self.last_sequence.insert(member.clone(), last);
            return false;
        }
        if last.is_some_and(|last| last.next() != sequence) {
            self.remove_where(|hint| hint.member == *member);
        }
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix, member, now),
            CacheEvent::Evicted(prefix) => {
                self.remove_where(|hint| hint.member == *member && hint.prefix == prefix);
            }
            CacheEvent::Cleared => self.remove_where(|hint| hint.member == *member),
        }
        true
    }

    /// Removes the state of a member that is gone or has restarted.
    pub fn remove_member(&mut self, member: &MemberId) {
        self.last_sequence.remove(member);
        self.remove_where(|hint| hint.member == *member);
    }

    /// Removes expired hints.
    pub fn expire(&mut self, now: Timestamp) {
        let expiry = self.expiry;
        while let Some(hint) = self.by_age.front() {
            if now.since(hint.stored_at) < expiry {
                return;
            }
            self.pop_oldest();
        }
    }

    /// Members that reported `prefix` as cached.
    #[must_use]
    pub fn members(&self, prefix: Prefix) -> &[MemberId] {
        self.by_prefix.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn store(&mut self, prefix: Prefix, member: &MemberId, now: Timestamp) {
        if self.members(prefix).contains(member) || self.capacity == 0 {
            return;
        }
        if self.by_age.len() >= self.capacity {
            self.pop_oldest();
        }
        let members = self.by_prefix.entry(prefix).or_default();
        members.push(member.clone());
        self.by_age.push_back(Hint {
            prefix,
            member: member.clone(),
            stored_at: now,
        });
    }

    fn pop_oldest(&mut self) {
        if let Some(hint) = self.by_age.pop_front() {
            self.remove_from_prefix(&hint);
        }
    }

    fn remove_where(&mut self, matches: impl Fn(&Hint) -> bool) {
        let by_age = std::mem::take(&mut self.by_age);
        for hint in by_age {
            if matches(&hint) {
                self.remove_from_prefix(&hint);
            } else {
                self.by_age.push_back(hint);
            }
        }
    }

    fn remove_from_prefix(&mut self, hint: &Hint) {
        let Some(members) = self.by_prefix.get_mut(&hint.prefix) else {
            return;
        };
        members.retain(|id| *id != hint.member);
        if members.is_empty() {
            self.by_prefix.remove(&hint.prefix);
        }
    }
}

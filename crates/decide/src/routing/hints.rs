//! Hints about which replica caches which prompt prefix.
//!
//! Engines publish cache events late and with gaps, so a hint only prefers a replica. A gap in the
//! numbering of a replica's events drops all hints about it: the lost event may have been an
//! eviction.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{MemberId, Sequence, Timestamp};

use super::Prefix;

/// A change of a replica's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix is cached now.
    Stored(Prefix),
    /// The prefix is no longer cached.
    Evicted(Prefix),
    /// The cache is empty, as after a restart of the engine.
    Cleared,
}

#[derive(Clone, Debug)]
struct Hint {
    prefix: Prefix,
    member: MemberId,
    since: Timestamp,
}

/// A bounded table of hints, the oldest first.
#[derive(Clone, Debug)]
pub struct Hints {
    most: usize,
    expiry: Duration,
    table: VecDeque<Hint>,
    index: BTreeMap<Prefix, Vec<MemberId>>,
    seen: BTreeMap<MemberId, Sequence>,
}

impl Hints {
    /// An empty table of at most `most` hints, each kept for `expiry`.
    #[must_use]
    pub fn new(most: usize, expiry: Duration) -> Self {
        Self {
            most,
            expiry,
            table: VecDeque::new(),
            index: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Number of hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is no hint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Takes in event number `sequence` of `member`. False when it is late or repeated and was
    /// ignored.
    pub fn note(
        &mut self,
        member: &MemberId,
        sequence: Sequence,
        event: CacheEvent,
        now: Timestamp,
    ) -> bool {
        let last = self.seen.insert(member.clone(), sequence);
        if let Some(last) = last.filter(|last| sequence <= *last) {
            self.seen.insert(member.clone(), last);
            return false;
        }
        if last.is_some_and(|last| last.next() != sequence) {
            self.drop_where(|hint| hint.member == *member);
        }
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix, member, now),
            CacheEvent::Evicted(prefix) => {
                self.drop_where(|hint| hint.member == *member && hint.prefix == prefix);
            }
            CacheEvent::Cleared => self.drop_where(|hint| hint.member == *member),
        }
        true
    }

    /// Forgets a member that is gone or has restarted.
    pub fn forget(&mut self, member: &MemberId) {
        self.seen.remove(member);
        self.drop_where(|hint| hint.member == *member);
    }

    /// Drops hints that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let expiry = self.expiry;
        while let Some(hint) = self.table.front() {
            if now.since(hint.since) < expiry {
                return;
            }
            self.pop_oldest();
        }
    }

    /// Members that are said to cache `prefix`.
    #[must_use]
    pub fn members(&self, prefix: Prefix) -> &[MemberId] {
        self.index.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn store(&mut self, prefix: Prefix, member: &MemberId, now: Timestamp) {
        if self.members(prefix).contains(member) || self.most == 0 {
            return;
        }
        if self.table.len() >= self.most {
            self.pop_oldest();
        }
        let members = self.index.entry(prefix).or_default();
        members.push(member.clone());
        self.table.push_back(Hint {
            prefix,
            member: member.clone(),
            since: now,
        });
    }

    fn pop_oldest(&mut self) {
        if let Some(hint) = self.table.pop_front() {
            self.unindex(&hint);
        }
    }

    fn drop_where(&mut self, matches: impl Fn(&Hint) -> bool) {
        let table = std::mem::take(&mut self.table);
        for hint in table {
            if matches(&hint) {
                self.unindex(&hint);
            } else {
                self.table.push_back(hint);
            }
        }
    }

    fn unindex(&mut self, hint: &Hint) {
        let Some(members) = self.index.get_mut(&hint.prefix) else {
            return;
        };
        members.retain(|id| *id != hint.member);
        if members.is_empty() {
            self.index.remove(&hint.prefix);
        }
    }
}

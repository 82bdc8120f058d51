//! Entries among which the limit of a cold server is divided.
//!
//! Limits of cold servers must hold while entries are partitioned from each other, and an entry
//! that no longer hears from others can't tell a partition from their end. It therefore goes on
//! counting those that fell silent.

use std::collections::HashSet;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp};

use super::JOIN_TIME;
use super::share::{Sender, TOLERATED_EXTRA};

/// Time after which a silent entry no longer counts, if the shares leave room for it to send still.
const SILENT_TIME: Duration = Duration::from_secs(30);

/// Time after which any silent entry no longer counts.
const PARTITION_TIME: Duration = Duration::from_mins(10);

#[derive(Clone, Debug)]
struct Silent {
    entry: Sender,
    since: Timestamp,
    counts: bool,
}

/// Entries that serve, and those that did when they were last heard from.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownEntries {
    heard: Vec<Sender>,
    silent: Vec<Silent>,
    all: Vec<Sender>,
    /// Whether the settings name other daemons.
    expects_others: bool,
    /// When another entry was first heard from.
    others_heard: Option<Timestamp>,
}

impl KnownEntries {
    /// All entries that count.
    pub(super) fn all(&self) -> &[Sender] {
        &self.all
    }

    /// Sets whether the settings name other daemons.
    pub(super) fn set_expects_others(&mut self, expects_others: bool) {
        self.expects_others = expects_others;
    }

    /// Whether this entry, which was started at `started`, knows the others well enough to take a
    /// share. An entry that was started while it is partitioned from all others hears from none of
    /// them, and would otherwise use the whole limit in addition to their shares.
    pub(super) fn has_joined(&self, started: Timestamp, now: Timestamp) -> bool {
        if !self.expects_others {
            return now.since(started) >= JOIN_TIME;
        }
        match self.others_heard {
            Some(heard) => now.since(heard) >= JOIN_TIME,
            // The others no longer count this entry either.
            None => now.since(started) >= PARTITION_TIME,
        }
    }

    /// Sets the entries that serve. Returns whether others count than before.
    pub(super) fn update(&mut self, own: &MemberId, entries: &[Sender], now: Timestamp) -> bool {
        if self.others_heard.is_none() && entries.iter().any(|e| e.id != *own) {
            self.others_heard = Some(now);
        }
        if entries != self.heard {
            let ids: HashSet<_> = entries.iter().map(|e| &e.id).collect();
            self.silent.retain(|s| !ids.contains(&s.entry.id));
            let lost = self.heard.iter();
            let lost = lost.filter(|e| e.id != *own && !ids.contains(&e.id));
            let lost = lost.map(|entry| Silent {
                entry: entry.clone(),
                since: now,
                counts: true,
            });
            self.silent.extend(lost);
            self.heard = entries.to_vec();
        }
        self.silent.retain(|s| now.since(s.since) < PARTITION_TIME);
        let count = u64::try_from(self.silent.len()).unwrap_or(u64::MAX);
        // More of them may mean that this entry is partitioned, and that they count each other.
        if count <= TOLERATED_EXTRA {
            for silent in &mut self.silent {
                silent.counts &= now.since(silent.since) < SILENT_TIME;
            }
        }
        if self.counted().eq(&self.all) {
            return false;
        }
        self.all = self.counted().cloned().collect();
        true
    }

    fn counted(&self) -> impl Iterator<Item = &Sender> {
        let silent = self.silent.iter().filter(|s| s.counts).map(|s| &s.entry);
        self.heard.iter().chain(silent)
    }

    /// Records that entries have told that they do not serve.
    pub(super) fn record_departures(&mut self, ids: &[MemberId]) {
        let ids: HashSet<_> = ids.iter().collect();
        self.heard.retain(|e| !ids.contains(&e.id));
        self.silent.retain(|s| !ids.contains(&s.entry.id));
    }
}

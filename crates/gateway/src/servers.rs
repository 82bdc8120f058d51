//! List of backend servers, with its revision and source.

use std::fmt;
use std::time::Duration;

use apricothall_decide::outage::{AnsweredAge, OutageConfig, Outages};
use apricothall_decide::servers::{Listing, Removal, Server, Servers};
use apricothall_types::{MemberId, StoreRevision, Timestamp};
use smol_str::SmolStr;

use crate::dialect::{Change, Changes, Fact, Item, StoreCalls};
use crate::log_budgets::millis;
use crate::published::Reader;

/// Source, revision and age of the server list, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerListAge {
    /// Source of the latest update.
    pub from: Reader,
    /// Revision of the server list.
    pub revision: StoreRevision,
    /// Time since the latest update.
    pub age: Duration,
}

impl fmt::Display for ServerListAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            from,
            revision,
            age,
        } = self;
        write!(f, "{from:?} at {revision}, {} ms", millis(*age))
    }
}

/// The server list of this daemon.
#[derive(Default)]
pub struct KnownServers {
    /// The servers.
    pub servers: Servers,
    /// Revision of the server list.
    pub revision: StoreRevision,
    /// Source and time of the latest update.
    last_update: Option<(Reader, Timestamp)>,
}

impl KnownServers {
    /// Creates an empty list.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            servers: Servers::new(config),
            ..Self::default()
        }
    }

    /// Records that the store answered this daemon.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.update_outages(|outages| outages.record_answer(now));
    }

    /// Merges the times at which the store answered peers. The peer's report was created at `asked`
    /// or later.
    pub fn merge_peer_answers(
        &mut self,
        answers: &[AnsweredAge],
        asked: Timestamp,
        now: Timestamp,
    ) {
        self.update_outages(|outages| outages.merge_peer_answers(answers, asked, now));
    }

    fn update_outages(&mut self, update: impl FnOnce(&mut Outages)) {
        let outages = &mut self.servers.outages;
        let before = outages.latest().is_some();
        update(outages);
        match outages.latest() {
            Some((length, _)) if !before => {
                tracing::warn!(length_ms = millis(length), "the store was away for all");
            }
            None if before => tracing::info!("the store was not away, as peers tell"),
            _ => {}
        }
    }

    /// Source, revision and age of the list; `None` before the first update.
    #[must_use]
    pub fn list_age(&self, now: Timestamp) -> Option<ServerListAge> {
        let revision = self.revision;
        self.last_update.map(|(from, at)| ServerListAge {
            from,
            revision,
            age: now.since(at),
        })
    }

    /// Replaces the list with the complete list as of `revision`, unless peers provided a newer
    /// one.
    pub fn replace(&mut self, list: Vec<Server>, revision: StoreRevision, now: Timestamp) {
        if revision < self.revision {
            tracing::info!(%revision, known = %self.revision, "ignoring a list of servers that is older than the known one");
            return;
        }
        let count = list.len();
        let effects = if self.begins_era(revision) {
            self.servers.begin_era(Listing::from(list), now)
        } else {
            self.servers.replace(list, now)
        };
        for (id, removal) in effects {
            log_removal(&id, removal, "absent from a list", revision);
        }
        self.revision = revision;
        self.last_update = Some((Reader::Store, now));
        tracing::debug!(count, %revision, "servers listed");
    }

    /// Whether a list as of `revision` is the first one since the store came back from an older copy.
    fn begins_era(&self, revision: StoreRevision) -> bool {
        self.last_update.is_some() && revision.era > self.revision.era
    }

    /// Replaces the list with one requested from a peer at `asked`, unless the current list is
    /// newer. Returns whether the revision changed.
    pub fn adopt(
        &mut self,
        listing: Listing,
        revision: StoreRevision,
        asked: Timestamp,
        now: Timestamp,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let before = self.servers.ids();
        let missing = listing.missing();
        self.merge_peer_answers(&listing.answered, asked, now);
        if self.begins_era(revision) {
            for (id, removal) in self.servers.begin_era(listing, now) {
                log_removal(&id, removal, "absent from a peer's list", revision);
            }
        } else {
            self.servers.adopt(listing, asked, now);
        }
        let gone: Vec<_> = before
            .into_iter()
            .filter(|id| self.servers.get(id).is_none())
            .collect();
        if gone.is_empty() && missing.is_empty() && revision == self.revision {
            tracing::debug!(%revision, "servers taken from a peer");
        } else {
            tracing::info!(%revision, before = %self.revision, ?gone, ?missing, "servers taken from a peer");
        }
        let changed = revision > self.revision;
        self.revision = revision;
        self.last_update = Some((Reader::Peer, now));
        changed
    }

    /// Applies changes from the store, except those already received from peers. Returns whether
    /// there were new ones.
    pub fn apply_changes(&mut self, calls: &StoreCalls, changes: &Changes, now: Timestamp) -> bool {
        let before = self.revision;
        for change in &changes.changes {
            if change.revision() <= before {
                continue;
            }
            match change {
                Change::Written(item) => self.write(calls, item),
                Change::Removed { key, revision } => self.remove(calls, key, *revision, now),
            }
            self.revision = self.revision.max(change.revision());
        }
        self.last_update = Some((Reader::Store, now));
        self.revision > before
    }

    fn write(&mut self, calls: &StoreCalls, item: &Item) {
        match (calls.read_item)(item) {
            Ok(Fact::Server(server)) => {
                tracing::info!(server = %server.id, service = %server.service, address = %server.address, state = ?server.state, loaded = ?server.loaded, revision = %item.revision, "server changed");
                self.servers.put(server);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(key = %item.key, %error, "cannot parse server's entry");
                metrics::counter!("apricothall_items_unusable_total").increment(1);
                self.remove_unusable(calls, &item.key);
            }
        }
    }

    /// Removes the server of an entry that was replaced by an unusable one.
    fn remove_unusable(&mut self, calls: &StoreCalls, key: &SmolStr) {
        if let Some(id) = (calls.server_of)(key) {
            self.servers.forget(&id);
        }
    }

    fn remove(
        &mut self,
        calls: &StoreCalls,
        key: &SmolStr,
        revision: StoreRevision,
        now: Timestamp,
    ) {
        let Some(id) = (calls.server_of)(key) else {
            return;
        };
        let removal = self.servers.remove(&id, now);
        log_removal(&id, removal, "removed", revision);
    }

    /// Drops servers whose entries were not written again after an outage.
    pub fn expire(&mut self, now: Timestamp) {
        for id in self.servers.expire(now) {
            tracing::info!(server = %id, "server's entry did not come back");
        }
    }
}

fn log_removal(id: &MemberId, removal: Removal, how: &'static str, revision: StoreRevision) {
    match removal {
        Removal::Final => tracing::info!(server = %id, how, %revision, "server's entry removed"),
        Removal::Held { left } => {
            let left_ms = millis(left);
            metrics::counter!("apricothall_servers_held_total").increment(1);
            tracing::info!(server = %id, how, %revision, left_ms, "server held, as its entry may come back");
        }
        Removal::Withheld => {
            tracing::info!(server = %id, %revision, "server not added again, as its entry is from an older copy of the store");
        }
        Removal::Unchanged => {}
    }
}

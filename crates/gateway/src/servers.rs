//! The backend servers as known here, up to which revision, and how that is known.

use std::fmt;
use std::time::Duration;

use apricothall_decide::outage::{AnsweredAge, OutageConfig, Outages};
use apricothall_decide::servers::{Listing, Removal, Server, Servers};
use apricothall_types::{MemberId, Revision, Timestamp};
use smol_str::SmolStr;

use crate::dialect::{Change, Changes, Fact, Item, StoreCalls};
use crate::log_budgets::millis;
use crate::published::Reader;

/// How old what is known of the servers is, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerListAge {
    /// Who told of them last.
    pub from: Reader,
    /// Revision up to which they are known.
    pub revision: Revision,
    /// Time since they were told.
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

/// The servers known to this daemon.
#[derive(Default)]
pub struct KnownServers {
    /// The servers.
    pub servers: Servers,
    /// Revision up to which they are known.
    pub seen: Revision,
    /// Who told of them last, and when.
    told: Option<(Reader, Timestamp)>,
}

impl KnownServers {
    /// No server.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            servers: Servers::new(config),
            ..Self::default()
        }
    }

    /// Notes that the store answered this daemon.
    pub fn answered(&mut self, now: Timestamp) {
        self.note_answers(|outages| outages.record_answer(now));
    }

    /// Takes when the store answered peers, from one that said so at `asked` at the earliest.
    pub fn learn(&mut self, told: &[AnsweredAge], asked: Timestamp, now: Timestamp) {
        self.note_answers(|outages| outages.merge_peer_answers(told, asked, now));
    }

    fn note_answers(&mut self, note: impl FnOnce(&mut Outages)) {
        let outages = &mut self.servers.outages;
        let before = outages.latest().is_some();
        note(outages);
        match outages.latest() {
            Some((length, _)) if !before => {
                tracing::warn!(length_ms = millis(length), "the store was away for all");
            }
            None if before => tracing::info!("the store was not away, as peers tell"),
            _ => {}
        }
    }

    /// How old what is known is; none before the first news.
    #[must_use]
    pub fn list_age(&self, now: Timestamp) -> Option<ServerListAge> {
        let revision = self.seen;
        self.told.map(|(from, at)| ServerListAge {
            from,
            revision,
            age: now.since(at),
        })
    }

    /// Takes the whole list as of `revision`. A list that is older than what peers told is not taken.
    pub fn replace(&mut self, list: Vec<Server>, revision: Revision, now: Timestamp) {
        if revision < self.seen {
            tracing::info!(%revision, known = %self.seen, "older list of servers not taken");
            return;
        }
        let count = list.len();
        for (id, removal) in self.servers.replace(list, now) {
            log_removal(&id, removal, "absent from a list", revision);
        }
        self.seen = revision;
        self.told = Some((Reader::Store, now));
        tracing::debug!(count, %revision, "servers listed");
    }

    /// Takes the servers as a peer knew them that was asked at `asked`, in place of what is known
    /// here, unless that is newer. True when it is news.
    pub fn adopt(
        &mut self,
        listing: Listing,
        revision: Revision,
        asked: Timestamp,
        now: Timestamp,
    ) -> bool {
        if revision < self.seen {
            return false;
        }
        let before = self.servers.ids();
        let missing = listing.missing();
        self.learn(&listing.answered, asked, now);
        self.servers.adopt(listing, asked, now);
        let gone: Vec<_> = before
            .into_iter()
            .filter(|id| self.servers.get(id).is_none())
            .collect();
        if gone.is_empty() && missing.is_empty() && revision == self.seen {
            tracing::debug!(%revision, "servers taken from a peer");
        } else {
            tracing::info!(%revision, before = %self.seen, ?gone, ?missing, "servers taken from a peer");
        }
        let news = revision > self.seen;
        self.seen = revision;
        self.told = Some((Reader::Peer, now));
        news
    }

    /// Takes changes that the store told of, unless peers told of them before. True when there are
    /// any.
    pub fn take(&mut self, calls: &StoreCalls, changes: &Changes, now: Timestamp) -> bool {
        let before = self.seen;
        for change in &changes.changes {
            if change.revision() <= before {
                continue;
            }
            match change {
                Change::Written(item) => self.write(calls, item),
                Change::Removed { key, revision } => self.remove(calls, key, *revision, now),
            }
            self.seen = self.seen.max(change.revision());
        }
        self.told = Some((Reader::Store, now));
        self.seen > before
    }

    fn write(&mut self, calls: &StoreCalls, item: &Item) {
        match (calls.read_item)(item) {
            Ok(Fact::Server(server)) => {
                tracing::info!(server = %server.id, address = %server.address, state = ?server.state, loaded = ?server.loaded, revision = %item.revision, "server changed");
                self.servers.put(server);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(key = %item.key, %error, "server's entry not understood");
                metrics::counter!("apricothall_items_unusable_total").increment(1);
                self.forget(calls, &item.key);
            }
        }
    }

    /// An entry that names no server to use replaces what its key said before.
    fn forget(&mut self, calls: &StoreCalls, key: &SmolStr) {
        if let Some(id) = (calls.server_of)(key) {
            self.servers.forget(&id);
        }
    }

    fn remove(&mut self, calls: &StoreCalls, key: &SmolStr, revision: Revision, now: Timestamp) {
        let Some(id) = (calls.server_of)(key) else {
            return;
        };
        let removal = self.servers.remove(&id, now);
        log_removal(&id, removal, "removed", revision);
    }

    /// Drops servers whose entries did not come back after an outage.
    pub fn expire(&mut self, now: Timestamp) {
        for id in self.servers.expire(now) {
            tracing::info!(server = %id, "server's entry did not come back");
        }
    }
}

fn log_removal(id: &MemberId, removal: Removal, how: &'static str, revision: Revision) {
    match removal {
        Removal::Final => tracing::info!(server = %id, how, %revision, "server's entry removed"),
        Removal::Held { left } => {
            let left_ms = millis(left);
            metrics::counter!("apricothall_servers_held_total").increment(1);
            tracing::info!(server = %id, how, %revision, left_ms, "server held, as its entry may come back");
        }
        Removal::Unchanged => {}
    }
}

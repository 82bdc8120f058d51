//! Registry of the backend servers published by the platform, and which of them accept requests.
//!
//! During an outage of the platform's store, the entries of live servers expire. The servers write
//! them again once the store is back, so a server that is missing shortly after an outage is kept
//! until [`OutageConfig::restore`] has passed. [`Outages`] detects the outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime, Zone};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::outage::{AnsweredAge, OutageConfig, Outages};

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and then leaves.
    Draining,
}

/// A model version that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: SmolStr,
    /// Version of the weights.
    pub version: u64,
}

/// Published entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server process; a restart gets a new one.
    pub id: MemberId,
    /// Service that the server belongs to.
    pub service: SmolStr,
    /// Listen address.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Start time of the server process.
    pub born: WallTime,
    /// Loaded model versions; empty for a service without models.
    pub loaded: Vec<Loaded>,
}

/// A server in a [`Listing`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The server.
    pub server: Server,
    /// Whether the server's entry has expired and may still be written again.
    pub missing: bool,
}

/// The servers known to a daemon, as sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The servers.
    pub servers: Vec<Listed>,
    /// Periods in which the store answered any daemon.
    pub answered: Vec<AnsweredAge>,
}

impl Listing {
    /// Servers whose entries have expired and may still be written again.
    #[must_use]
    pub fn missing(&self) -> Vec<MemberId> {
        let missing = self.servers.iter().filter(|l| l.missing);
        missing.map(|l| l.server.id.clone()).collect()
    }
}

/// Effect of the removal of a server's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// None; the server was already removed or held.
    Unchanged,
    /// The server is removed.
    Final,
    /// The server is kept, as its entry may be written again within `left`.
    Held {
        /// Time left of the restore period, which begins when the store is back.
        left: Duration,
    },
}

#[derive(Clone, Debug)]
struct Known {
    server: Server,
    missing: bool,
}

/// The known servers and the outages of the store that lists them.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    known: BTreeMap<MemberId, Known>,
    /// Latest start time at each address. The entry of a crashed server remains until it expires,
    /// in addition to that of the server that now has its address.
    latest: BTreeMap<SocketAddr, WallTime>,
    /// Outages of the store.
    pub outages: Outages,
}

impl Servers {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            outages: Outages::new(config),
            ..Self::default()
        }
    }

    /// Adds or replaces the entry of a server.
    pub fn put(&mut self, server: Server) {
        self.insert(server, false);
        self.rebuild_address_index();
    }

    fn insert(&mut self, server: Server, missing: bool) {
        let id = server.id.clone();
        self.known.insert(id, Known { server, missing });
    }

    /// Recomputes the latest start time at each address.
    fn rebuild_address_index(&mut self) {
        self.latest.clear();
        for Known { server, .. } in self.known.values() {
            let latest = self.latest.entry(server.address).or_default();
            *latest = server.born.max(*latest);
        }
    }

    /// Handles the removal of an entry from the store.
    pub fn remove(&mut self, id: &MemberId, now: Timestamp) -> Removal {
        let restoring = self.outages.is_restoring(now);
        let left = self.outages.restore_time_left(now);
        let Some(known) = self.known.get_mut(id) else {
            return Removal::Unchanged;
        };
        if restoring && std::mem::replace(&mut known.missing, true) {
            return Removal::Unchanged;
        }
        if restoring {
            return Removal::Held { left };
        }
        self.forget(id);
        Removal::Final
    }

    /// Removes a server at once, for an entry whose current value no longer describes a server.
    pub fn forget(&mut self, id: &MemberId) {
        if self.known.remove(id).is_some() {
            self.rebuild_address_index();
        }
    }

    /// Replaces the list of servers and returns the effect on each server that is not in `list`.
    pub fn replace(&mut self, list: Vec<Server>, now: Timestamp) -> Vec<(MemberId, Removal)> {
        let absent: Vec<_> = self
            .known
            .keys()
            .filter(|id| !list.iter().any(|s| s.id == **id))
            .cloned()
            .collect();
        let mut removed = Vec::new();
        for id in absent {
            let removal = self.remove(&id, now);
            removed.push((id, removal));
        }
        for server in list {
            self.insert(server, false);
        }
        self.rebuild_address_index();
        removed
    }

    /// All known servers, for a daemon that does not read the store.
    #[must_use]
    pub fn listing(&self, now: Timestamp) -> Listing {
        let listed = self.known.values().map(|k| Listed {
            server: k.server.clone(),
            missing: k.missing,
        });
        Listing {
            servers: listed.collect(),
            answered: self.outages.answer_ages(now),
        }
    }

    /// Replaces the known servers by those in the `listing` of a peer, requested at `asked`. A
    /// missing server that this daemon has already removed is not added again because the peer
    /// still holds it; only a new entry adds it again.
    pub fn adopt(&mut self, listing: Listing, asked: Timestamp, now: Timestamp) {
        self.outages
            .merge_peer_answers(&listing.answered, asked, now);
        let before = std::mem::take(&mut self.known);
        for Listed { server, missing } in listing.servers {
            if !missing || before.is_empty() || before.contains_key(&server.id) {
                self.insert(server, missing);
            }
        }
        self.rebuild_address_index();
    }

    /// After the restore period, removes the servers that are still missing and returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<MemberId> {
        if self.outages.is_restoring(now) {
            return Vec::new();
        }
        let missing = self.known.iter().filter(|(_, k)| k.missing);
        let gone: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.forget(id);
        }
        gone
    }

    /// Ids of all known servers.
    #[must_use]
    pub fn ids(&self) -> Vec<MemberId> {
        self.known.keys().cloned().collect()
    }

    /// All known servers, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.known.values().map(|k| &k.server)
    }

    /// Looks up a server by id.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Server> {
        self.known.get(id).map(|k| &k.server)
    }

    /// Servers of `service` that accept new requests.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        self.iter().filter(move |s| {
            s.service == service && s.state == ServerState::Ready && self.is_latest_at_address(s)
        })
    }

    fn is_latest_at_address(&self, server: &Server) -> bool {
        self.latest.get(&server.address) == Some(&server.born)
    }

    /// Whether an outage ended so recently that entries of live servers may still be missing.
    #[must_use]
    pub fn is_restoring(&self, now: Timestamp) -> bool {
        self.outages.is_restoring(now)
    }
}

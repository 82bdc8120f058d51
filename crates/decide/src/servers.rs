//! Backend servers as the platform publishes them, and which of them take new requests.
//!
//! While the platform's store is away, entries of living servers lapse. They come back once it
//! answers again, so a server that is missing shortly after an outage keeps its place until
//! [`OutageConfig::restore`] has passed. Whether there was one, [`Outages`] says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime, Zone};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::outage::{AnsweredAge, OutageConfig, Outages};

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It finishes what it runs and leaves.
    Draining,
}

/// A model version that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: SmolStr,
    /// Version of its weights.
    pub version: u64,
}

/// A backend server as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of its present life.
    pub id: MemberId,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Start of its present life.
    pub born: WallTime,
    /// Model versions loaded; none for a plain service.
    pub loaded: Vec<Loaded>,
}

/// A server in a [`Listing`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The server.
    pub server: Server,
    /// Whether its entry has lapsed and may still come back.
    pub missing: bool,
}

/// The servers known to one daemon, for another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The servers.
    pub servers: Vec<Listed>,
    /// When the store answered any daemon.
    pub answered: Vec<AnsweredAge>,
}

impl Listing {
    /// Servers whose entries have lapsed and may still come back.
    #[must_use]
    pub fn missing(&self) -> Vec<MemberId> {
        let missing = self.servers.iter().filter(|l| l.missing);
        missing.map(|l| l.server.id.clone()).collect()
    }
}

/// What became of a server whose entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Nothing: it was gone or held before.
    Unchanged,
    /// It is gone.
    Final,
    /// It keeps its place, as its entry may come back within `left`.
    Held {
        /// Time left, counted from the store's return.
        left: Duration,
    },
}

#[derive(Clone, Debug)]
struct Known {
    server: Server,
    missing: bool,
}

/// The servers known, with the outages of the store that lists them.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    known: BTreeMap<MemberId, Known>,
    /// The latest start at each address. The entry of a server that has died stays for a while,
    /// beside that of the server which has its address now.
    latest: BTreeMap<SocketAddr, WallTime>,
    /// When the store was away.
    pub outages: Outages,
}

impl Servers {
    /// No server.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            outages: Outages::new(config),
            ..Self::default()
        }
    }

    /// Takes one entry as written.
    pub fn put(&mut self, server: Server) {
        self.insert(server, false);
        self.rebuild_address_index();
    }

    fn insert(&mut self, server: Server, missing: bool) {
        let id = server.id.clone();
        self.known.insert(id, Known { server, missing });
    }

    /// Notes who holds each address.
    fn rebuild_address_index(&mut self) {
        self.latest.clear();
        for Known { server, .. } in self.known.values() {
            let latest = self.latest.entry(server.address).or_default();
            *latest = server.born.max(*latest);
        }
    }

    /// Takes the removal of an entry.
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

    /// Drops an entry whose present value names no server.
    pub fn forget(&mut self, id: &MemberId) {
        if self.known.remove(id).is_some() {
            self.rebuild_address_index();
        }
    }

    /// Takes the whole list: servers that it lacks are removed. Returns what became of them.
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

    /// All that is known here, for a daemon that does not read the store.
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

    /// Takes what a peer knew that was asked at `asked`: just these servers are known from now on. One
    /// that is gone here comes back by an entry only, not because the peer waits for that.
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

    /// Drops servers that are still missing once entries would have come back, and returns them.
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

    /// Ids of all servers known.
    #[must_use]
    pub fn ids(&self) -> Vec<MemberId> {
        self.known.keys().cloned().collect()
    }

    /// All servers known, draining ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.known.values().map(|k| &k.server)
    }

    /// The server with `id`.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Server> {
        self.known.get(id).map(|k| &k.server)
    }

    /// Servers of `service` that take new requests.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        self.iter().filter(move |s| {
            s.service == service && s.state == ServerState::Ready && self.is_latest_at_address(s)
        })
    }

    fn is_latest_at_address(&self, server: &Server) -> bool {
        self.latest.get(&server.address) == Some(&server.born)
    }

    /// Whether the store came back a moment ago, so that entries may still be missing.
    #[must_use]
    pub fn is_restoring(&self, now: Timestamp) -> bool {
        self.outages.is_restoring(now)
    }
}

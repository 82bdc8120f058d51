//! Backend servers as the platform publishes them, and which of them take new requests.
//!
//! While the platform's store is away, entries of living servers lapse. They come back once it
//! answers again, so a server that is missing shortly after an outage keeps its place until
//! [`ServersConfig::restore`] has passed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime, Zone};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

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
    /// Time for which entries that have lapsed may still come back.
    pub restoring: Duration,
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
    /// Nothing that was not known: it was gone or held before.
    Known,
    /// It is gone.
    Final,
    /// It keeps its place, as its entry may come back within `left`.
    Held {
        /// Time left, counted from the store's return.
        left: Duration,
    },
}

/// Settings of [`Servers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServersConfig {
    /// Time after an outage of the store in which entries that lapsed come back.
    pub restore: Duration,
}

impl Default for ServersConfig {
    fn default() -> Self {
        Self {
            restore: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    server: Server,
    missing: bool,
}

/// The servers known, with the outages of the store that listed them.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    config: ServersConfig,
    known: BTreeMap<MemberId, Known>,
    /// The latest start at each address. The entry of a server that has died stays for a while,
    /// beside that of the server which has its address now.
    latest: BTreeMap<SocketAddr, WallTime>,
    away: bool,
    returned: Option<Timestamp>,
}

impl Servers {
    /// No server.
    #[must_use]
    pub fn new(config: ServersConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Notes that the store did not answer. True when it had answered before.
    pub fn store_failed(&mut self) -> bool {
        !std::mem::replace(&mut self.away, true)
    }

    /// Notes that the store answered. True when it had been away.
    pub fn store_answered(&mut self, now: Timestamp) -> bool {
        let was_away = std::mem::take(&mut self.away);
        if was_away {
            self.returned = Some(now);
        }
        was_away
    }

    /// Whether the store is away.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away
    }

    /// Takes one entry as written.
    pub fn put(&mut self, server: Server) {
        self.insert(server, false);
        self.index();
    }

    fn insert(&mut self, server: Server, missing: bool) {
        let id = server.id.clone();
        self.known.insert(id, Known { server, missing });
    }

    /// Notes who holds each address.
    fn index(&mut self) {
        self.latest.clear();
        for Known { server, .. } in self.known.values() {
            let latest = self.latest.entry(server.address).or_default();
            *latest = server.born.max(*latest);
        }
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, id: &MemberId, now: Timestamp) -> Removal {
        let restoring = self.is_restoring(now);
        let left = self.restoring_left(now);
        let Some(known) = self.known.get_mut(id) else {
            return Removal::Known;
        };
        if restoring && std::mem::replace(&mut known.missing, true) {
            return Removal::Known;
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
            self.index();
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
        self.index();
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
            restoring: self.restoring_left(now),
        }
    }

    /// Takes what a peer knows that reads the store: just these servers are known from now on.
    pub fn adopt(&mut self, listing: Listing, now: Timestamp) {
        self.known.clear();
        for Listed { server, missing } in listing.servers {
            self.insert(server, missing);
        }
        self.index();
        let since = self.config.restore.saturating_sub(listing.restoring);
        self.returned = Some(now - since);
    }

    /// Notes that others read the store from now on.
    pub const fn leave_reading(&mut self) {
        self.away = false;
    }

    /// Drops servers that are still missing once entries would have come back, and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<MemberId> {
        if self.is_restoring(now) {
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
            s.service == service && s.state == ServerState::Ready && self.holds_address(s)
        })
    }

    fn holds_address(&self, server: &Server) -> bool {
        self.latest.get(&server.address) == Some(&server.born)
    }

    /// Time left in which entries that lapsed come back, from the store's return on.
    fn restoring_left(&self, now: Timestamp) -> Duration {
        let left = |at: Timestamp| self.config.restore.saturating_sub(now.since(at));
        self.returned.map(left).unwrap_or_default()
    }

    /// Whether the store is away, or came back a moment ago.
    #[must_use]
    pub fn is_restoring(&self, now: Timestamp) -> bool {
        let recent = |at: Timestamp| now.since(at) < self.config.restore;
        self.away || self.returned.is_some_and(recent)
    }
}

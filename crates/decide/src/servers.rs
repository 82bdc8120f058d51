//! Registry of the backend servers published by the platform, and which of them accept requests.
//!
//! During an outage of the platform's store, the entries of live servers expire. The servers write
//! them again once the store is back, so a server that is missing shortly after an outage is kept
//! until [`OutageConfig::restore`] has passed. [`Outages`] detects the outages.
//!
//! A store that comes back from an older copy is trusted again once live servers have had the time
//! to write their entries again ([`Servers::begin_era`]).

mod addresses;
mod hold;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime, Zone};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::outage::{AnsweredAge, OutageConfig, Outages};
use addresses::Addresses;
use hold::Hold;

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
    /// Time for which the server stays cold, if its entry states one.
    pub cold_remaining: Option<Duration>,
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
    /// Servers whose entries the store removed after it had come back from an older copy.
    pub departed: Vec<MemberId>,
    /// Periods in which the store answered any daemon.
    pub answered: Vec<AnsweredAge>,
}

impl From<Vec<Server>> for Listing {
    /// Servers whose entries are all present.
    fn from(servers: Vec<Server>) -> Self {
        let listed = servers.into_iter().map(|server| Listed {
            server,
            missing: false,
        });
        Self {
            servers: listed.collect(),
            ..Self::default()
        }
    }
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
    /// None; the server had been removed before, and is in a list of an older copy.
    Withheld,
}

/// Whether a known server is at least as recent as its entry in an older copy.
fn is_as_recent(known: &Server, listed: &Server) -> bool {
    known.state == listed.state || known.state == ServerState::Draining
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
    /// Which server started last at each address.
    addresses: Addresses,
    hold: Hold,
    /// Outages of the store.
    pub outages: Outages,
}

impl Servers {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            hold: Hold::new(&config),
            outages: Outages::new(config),
            ..Self::default()
        }
    }

    /// Sets the services that the configuration in force names. Entries of other services come from
    /// other writers: they name no server to use, and do not take the address of one.
    pub fn name_services(&mut self, services: BTreeSet<SmolStr>) {
        if self.addresses.name_services(services) {
            for Known { server, .. } in self.known.values() {
                self.addresses.add(server);
            }
        }
    }

    /// Adds or replaces the entry of a server.
    pub fn put(&mut self, server: Server) {
        self.insert(server, false);
    }

    fn insert(&mut self, server: Server, missing: bool) {
        let id = server.id.clone();
        self.hold.record_entry(&id);
        self.addresses.add(&server);
        let replaced = self.known.insert(id, Known { server, missing });
        if let Some(Known { server, .. }) = replaced {
            self.addresses.remove(&server);
        }
    }

    /// Handles the removal of an entry from the store.
    pub fn remove(&mut self, id: &MemberId, now: Timestamp) -> Removal {
        if self.outages.is_restoring(now) {
            return self.keep_missing(id, self.outages.restore_time_left(now));
        }
        if !self.known.contains_key(id) {
            return Removal::Unchanged;
        }
        self.depart(id, now);
        Removal::Final
    }

    /// Handles the absence of an entry from a list.
    fn remove_absent(&mut self, id: &MemberId, now: Timestamp) -> Removal {
        let left = self.hold.time_left(now);
        if left.is_zero() {
            return self.remove(id, now);
        }
        self.keep_missing(id, left.max(self.outages.restore_time_left(now)))
    }

    /// Keeps a server whose entry may be written again within `left`.
    fn keep_missing(&mut self, id: &MemberId, left: Duration) -> Removal {
        match self.known.get_mut(id) {
            Some(known) if !known.missing => {
                known.missing = true;
                Removal::Held { left }
            }
            _ => Removal::Unchanged,
        }
    }

    fn depart(&mut self, id: &MemberId, now: Timestamp) {
        self.forget(id);
        self.hold.record_departure(id.clone(), now);
    }

    /// Removes a server at once, for an entry whose current value no longer describes a server.
    pub fn forget(&mut self, id: &MemberId) {
        if let Some(Known { server, .. }) = self.known.remove(id) {
            self.addresses.remove(&server);
        }
    }

    /// Replaces the list of servers and returns the effect on each server that is not in `list`, or
    /// is in it but has been removed before.
    pub fn replace(&mut self, list: Vec<Server>, now: Timestamp) -> Vec<(MemberId, Removal)> {
        let mut removed = Vec::new();
        for id in self.absent(|id| list.iter().any(|s| s.id == *id)) {
            let removal = self.remove_absent(&id, now);
            removed.push((id, removal));
        }
        for server in list {
            if self.hold.withholds(&server.id, now) {
                removed.push((server.id, Removal::Withheld));
            } else {
                self.insert_listed(server, false, now);
            }
        }
        removed
    }

    /// Ids of known servers that are not `listed`.
    fn absent(&self, listed: impl Fn(&MemberId) -> bool) -> Vec<MemberId> {
        let absent = self.known.keys().filter(|id| !listed(id));
        absent.cloned().collect()
    }

    /// Inserts a server from a list, which may come from an older copy: a draining server does not
    /// become ready again.
    fn insert_listed(&mut self, mut server: Server, missing: bool, now: Timestamp) {
        let before = self.get(&server.id).map(|s| s.state);
        if self.hold.is_active(now) && before == Some(ServerState::Draining) {
            server.state = ServerState::Draining;
        }
        self.insert(server, missing);
    }

    /// Applies the first list after the store came back from an older copy. Known servers stay as
    /// they are, but for those that the list has draining; those absent from the list are kept
    /// until live servers have had the time to write their entries again, and those that were
    /// removed are not added again. Returns the effect on the latter two.
    pub fn begin_era(&mut self, listing: Listing, now: Timestamp) -> Vec<(MemberId, Removal)> {
        self.hold.begin(now);
        let listed = &listing.servers;
        let mut effects = Vec::new();
        for id in self.absent(|id| listed.iter().any(|l| l.server.id == *id)) {
            let removal = self.drop_unlisted(&id, &listing.departed, now);
            effects.push((id, removal));
        }
        for Listed { server, missing } in listing.servers {
            if self.hold.withholds(&server.id, now) {
                effects.push((server.id, Removal::Withheld));
            } else {
                let known = self.get(&server.id).filter(|s| is_as_recent(s, &server));
                let latest = known.cloned().unwrap_or(server);
                self.insert(latest, missing);
            }
        }
        effects
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
            departed: self.hold.departed(now),
            answered: self.outages.answer_ages(now),
        }
    }

    /// Replaces the known servers by those in the `listing` of a peer, requested at `asked`. A
    /// missing server that this daemon has already removed is not added again because the peer
    /// still holds it; only a new entry adds it again.
    pub fn adopt(&mut self, listing: Listing, asked: Timestamp, now: Timestamp) {
        self.outages
            .merge_peer_answers(&listing.answered, asked, now);
        let was_empty = self.known.is_empty();
        let listed = &listing.servers;
        for id in self.absent(|id| listed.iter().any(|l| l.server.id == *id)) {
            self.drop_unlisted(&id, &listing.departed, now);
        }
        for Listed { server, missing } in listing.servers {
            let is_known = was_empty || self.known.contains_key(&server.id);
            let is_gone = missing && !is_known;
            if !is_gone && !self.hold.withholds(&server.id, now) {
                self.insert_listed(server, missing, now);
            }
        }
    }

    /// Drops a server that a peer does not list. If the store has come back from an older copy, the
    /// peer may never have known the server, so that only a departure since then counts.
    fn drop_unlisted(&mut self, id: &MemberId, departed: &[MemberId], now: Timestamp) -> Removal {
        let left = self.hold.time_left(now);
        if !left.is_zero() && !departed.contains(id) {
            return self.keep_missing(id, left);
        }
        self.depart(id, now);
        Removal::Final
    }

    /// After the restore period, removes the servers that are still missing and returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<MemberId> {
        if self.is_restoring(now) {
            return Vec::new();
        }
        let missing = self.known.iter().filter(|(_, k)| k.missing);
        let gone: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.depart(id, now);
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
            s.service == service && s.state == ServerState::Ready && self.addresses.is_latest(s)
        })
    }

    /// Whether an outage ended, or the store came back from an older copy, so recently that entries
    /// of live servers may still be missing.
    #[must_use]
    pub fn is_restoring(&self, now: Timestamp) -> bool {
        self.outages.is_restoring(now) || !self.hold.time_left(now).is_zero()
    }

    /// Whether the store came back from an older copy so recently that it may still have entries of
    /// servers that had left.
    #[must_use]
    pub fn holds_against_copy(&self, now: Timestamp) -> bool {
        self.hold.is_active(now)
    }
}

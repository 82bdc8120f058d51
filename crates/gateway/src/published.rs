//! What operators and backend servers have published, as known here. It never goes back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::lease::Lease;
use apricothall_decide::outage::{AnsweredAge, OutageConfig};
use apricothall_decide::readers::StoreReachability;
use apricothall_decide::servers::{Listing, Server, Servers};
use apricothall_decide::versions::Versions;
use apricothall_types::{Revision, Timestamp};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::dialect::{Change, Changes, Fact, Item, StoreCalls, Subject};
use crate::fleet::ServerRef;
use crate::model::Configuration;
use crate::servers::{KnownServers, ServerListAge};

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Revision under which it was written.
    pub revision: Revision,
    /// The item as written, for peers.
    pub item: Item,
    /// Its content.
    pub configuration: Configuration,
}

#[derive(Default)]
struct State {
    in_force: Option<Arc<InForce>>,
    lease: Lease,
    versions: BTreeMap<SmolStr, Versions>,
    servers: KnownServers,
    reach: StoreReachability,
    /// Whether this process has listed what operators wrote.
    listed: bool,
}

/// Facts published, with their revisions.
pub struct Published {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Where a fact was read, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The store.
    Store,
    /// Another daemon.
    Peer,
}

impl Published {
    /// Nothing known. Servers write their entries every `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        let state = State {
            servers: KnownServers::new(OutageConfig::for_heartbeat(heartbeat)),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of each change of the configuration, of a version or of the servers, and of the loss of
    /// the store.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// The configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.state().in_force.clone()
    }

    /// Revision of the configuration in force; the default before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state()
            .in_force
            .as_ref()
            .map_or(Revision::default(), |f| f.revision)
    }

    /// Whether the configuration was known to be the newest less than `limit` ago.
    #[must_use]
    pub fn is_fresh(&self, limit: Duration, now: Timestamp) -> bool {
        self.state().lease.holds(limit, now)
    }

    /// Time since the configuration was last known to be the newest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.state().lease.age(now)
    }

    /// Notes that at `sent`, or later, the newest configuration had revision `seen`.
    pub fn confirm(&self, seen: Revision, sent: Timestamp) {
        let held = self.revision();
        self.state().lease.confirm(seen, held, sent);
    }

    /// The versions of `model`.
    #[must_use]
    pub fn versions(&self, model: &str) -> Versions {
        self.state()
            .versions
            .get(model)
            .cloned()
            .unwrap_or_default()
    }

    /// Runs `read` on the versions of each model.
    pub fn each_version(&self, mut read: impl FnMut(&SmolStr, &Versions)) {
        for (model, versions) in &self.state().versions {
            read(model, versions);
        }
    }

    /// Takes a version of a model, named at `since` at the latest.
    pub fn publish_version(
        &self,
        model: &SmolStr,
        version: u64,
        since: Option<Timestamp>,
        reader: Reader,
    ) {
        let mut state = self.state();
        let versions = state.versions.entry(model.clone()).or_default();
        let before = versions.newest();
        if !versions.publish(version, since) {
            return;
        }
        drop(state);
        tracing::info!(%model, version, before, known_since = since.is_some(), ?reader, "version named");
        self.notify();
    }

    /// Takes an item of the operators. A version in it was named at `named`, if that is known.
    pub fn take_item(
        &self,
        calls: &StoreCalls,
        item: &Item,
        reader: Reader,
        named: Option<Timestamp>,
    ) {
        match (calls.read_item)(item) {
            Ok(Fact::Configuration(c)) => self.adopt(item, c, reader),
            Ok(Fact::Version { model, version }) => {
                self.publish_version(&model, version, named, reader);
            }
            Ok(Fact::Server(_) | Fact::Other) => {}
            Err(error) => {
                tracing::warn!(key = %item.key, revision = %item.revision, %error, "item not understood");
                metrics::counter!("apricothall_items_unusable_total").increment(1);
            }
        }
    }

    fn adopt(&self, item: &Item, configuration: Configuration, reader: Reader) {
        let mut state = self.state();
        let before = state
            .in_force
            .as_ref()
            .map_or(Revision::default(), |f| f.revision);
        if item.revision <= before {
            return;
        }
        for name in &configuration.unusable {
            tracing::warn!(item = %name, "part of the configuration not understood");
        }
        tracing::info!(version = configuration.version, revision = %item.revision, %before, ?reader, "configuration in force");
        metrics::gauge!("apricothall_configuration_version").set(f64::from(
            u32::try_from(configuration.version).unwrap_or(u32::MAX),
        ));
        state.in_force = Some(Arc::new(InForce {
            revision: item.revision,
            item: item.clone(),
            configuration,
        }));
        drop(state);
        self.notify();
    }

    /// Notes that a read of the store failed. True when the one before had not.
    pub fn store_failed(&self) -> bool {
        let news = self.state().reach.failed();
        if news {
            self.notify();
        }
        news
    }

    /// Notes that the store answered. True when the read before had failed.
    pub fn store_answered(&self, now: Timestamp) -> bool {
        let mut state = self.state();
        state.servers.answered(now);
        state.reach.answered(now)
    }

    /// Notes that this daemon does not read the store, so that it does not wait for an answer.
    pub fn reset_store_reachability(&self) {
        self.state().reach = StoreReachability::default();
    }

    /// Whether the store does not answer this daemon.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.state().reach.is_lost()
    }

    /// Whether the store answers this daemon.
    #[must_use]
    pub fn store_reachability(&self) -> StoreReachability {
        self.state().reach
    }

    /// Takes when the store answered peers, from one that said so at `asked` at the earliest.
    pub fn merge_peer_answers(&self, told: &[AnsweredAge], asked: Timestamp, now: Timestamp) {
        self.state().servers.learn(told, asked, now);
    }

    /// Runs `act` on the servers.
    pub fn with_servers<T>(&self, act: impl FnOnce(&mut Servers) -> T) -> T {
        act(&mut self.state().servers.servers)
    }

    /// Reads the servers.
    pub fn servers<T>(&self, read: impl FnOnce(&Servers) -> T) -> T {
        read(&self.state().servers.servers)
    }

    /// Revision up to which the servers are known.
    #[must_use]
    pub fn servers_seen(&self) -> Revision {
        self.state().servers.seen
    }

    /// How old what is known of the servers is; none before the first news.
    #[must_use]
    pub fn server_list_age(&self, now: Timestamp) -> Option<ServerListAge> {
        self.state().servers.list_age(now)
    }

    /// Takes the whole list of servers as of `revision`.
    pub fn replace_servers(&self, list: Vec<Server>, revision: Revision, now: Timestamp) {
        self.state().servers.replace(list, revision, now);
        self.notify();
    }

    /// Takes the servers as a peer knew them that was asked at `asked`, in place of what is known
    /// here, unless that is newer.
    pub fn adopt_servers(
        &self,
        listing: Listing,
        revision: Revision,
        asked: Timestamp,
        now: Timestamp,
    ) {
        let news = self.state().servers.adopt(listing, revision, asked, now);
        if news {
            self.notify();
        }
    }

    /// Drops servers whose entries did not come back after an outage. A daemon that the store does
    /// not answer goes by what others list.
    pub fn expire_servers(&self, now: Timestamp) {
        let mut state = self.state();
        if !state.reach.is_lost() {
            state.servers.expire(now);
        }
    }

    /// Takes the whole list of what operators have written, asked for at `sent` and read at `now`.
    pub fn take_operators(
        &self,
        calls: &StoreCalls,
        items: &[Item],
        sent: Timestamp,
        now: Timestamp,
    ) {
        // What a process finds at its start may have been named long before. Later on the store
        // was away if a list is the first to tell of a version, and peers that know better say so.
        let listed = std::mem::replace(&mut self.state().listed, true);
        let named = listed.then_some(now);
        for item in items {
            self.take_item(calls, item, Reader::Store, named);
        }
        // Whatever was written last is in `items`, so what is held now was newest at `sent`.
        self.confirm(self.revision(), sent);
    }

    /// Takes changes of one subject.
    pub fn take_changes(
        &self,
        calls: &StoreCalls,
        subject: Subject,
        changes: &Changes,
        now: Timestamp,
    ) {
        match subject {
            Subject::Operators => self.take_operator_changes(calls, changes, now),
            Subject::Servers => {
                let any = self.state().servers.take(calls, changes, now);
                if any {
                    self.notify();
                }
            }
        }
    }

    fn take_operator_changes(&self, calls: &StoreCalls, changes: &Changes, now: Timestamp) {
        for change in &changes.changes {
            match change {
                Change::Written(item) => self.take_item(calls, item, Reader::Store, Some(now)),
                Change::Removed { key, .. } => {
                    tracing::warn!(%key, "an operator's item was removed; what it said stays");
                }
            }
        }
    }

    /// The servers known.
    #[must_use]
    pub fn server_refs(&self) -> Vec<ServerRef> {
        self.servers(|s| s.iter().map(ServerRef::from).collect())
    }
}

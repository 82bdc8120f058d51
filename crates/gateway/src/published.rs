//! This daemon's copy of the state published by operators and backend servers. It never reverts to
//! an older revision, not even if the store does.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::evacuation::Evacuations;
use apricothall_decide::lease::Lease;
use apricothall_decide::outage::{AnsweredAge, OutageConfig};
use apricothall_decide::servers::{Listing, Server, Servers};
use apricothall_decide::store_reachability::{LostSubjects, ReadFailure, StoreReachability};
use apricothall_decide::versions::{Versions, earliest_change};
use apricothall_types::{ConfigurationRevision, Digest, Era, StoreRevision, Timestamp};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::configuration_copies::ConfigurationCopies;
use crate::dialect::{Changes, Item, StoreCalls, Subject};
use crate::fleet::ServerRef;
use crate::model::Configuration;
use crate::servers::{KnownServers, ServerListAge};

mod evacuations;
mod operators;

/// The current configuration.
#[derive(Debug)]
pub struct InForce {
    /// Its version, and the revision at which it was written.
    pub revision: ConfigurationRevision,
    /// The raw item, to be sent to peers.
    pub item: Item,
    /// Digest of its text.
    pub digest: Digest,
    /// The parsed configuration.
    pub configuration: Configuration,
}

impl InForce {
    /// The raw text; empty if it is not valid UTF-8, which no configuration in force is.
    #[must_use]
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.item.value).unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    in_force: Option<Arc<InForce>>,
    lease: Lease,
    versions: BTreeMap<SmolStr, Versions>,
    servers: KnownServers,
    evacuations: Evacuations,
    reachability: StoreReachability,
    /// When the last answer of the store about the items of operators was received.
    operators_read: Option<Timestamp>,
    /// Revision of the store up to which the current configuration is known to be the latest.
    checked: Option<StoreRevision>,
    /// Revision of a later configuration that cannot be read.
    unreadable: Option<StoreRevision>,
    /// Latest known era of the store.
    era: Era,
    /// Last era stated by the store that is not a number.
    unusable_era: Option<String>,
}

impl State {
    /// Revision of the configuration in force; the default value if there is none.
    fn held(&self) -> ConfigurationRevision {
        let in_force = self.in_force.as_ref();
        in_force.map(|f| f.revision).unwrap_or_default()
    }
}

/// Published state with its revisions.
pub struct Published {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// Copies of the configuration for other daemons.
    pub copies: ConfigurationCopies,
}

/// The value of a gauge.
fn saturating_gauge(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Source of an update, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The store.
    Store,
    /// Another daemon.
    Peer,
}

impl Published {
    /// Creates an empty state. Servers write their entries every `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        let state = State {
            servers: KnownServers::new(OutageConfig::for_heartbeat(heartbeat)),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            copies: ConfigurationCopies::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to changes of the configuration, of versions and of servers, and to the loss of
    /// the store.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// The current configuration.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.state().in_force.clone()
    }

    /// Revision of the current configuration; the default value if there is none.
    #[must_use]
    pub fn revision(&self) -> ConfigurationRevision {
        self.state().held()
    }

    /// Size of the current configuration in bytes; zero if there is none.
    #[must_use]
    pub fn configuration_size(&self) -> usize {
        self.state()
            .in_force
            .as_ref()
            .map_or(0, |f| f.item.value.len())
    }

    /// Whether the configuration was confirmed to be the latest less than `limit` ago.
    #[must_use]
    pub fn is_fresh(&self, limit: Duration, now: Timestamp) -> bool {
        self.state().lease.holds(limit, now)
    }

    /// Time since the configuration was last confirmed to be the latest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.state().lease.age(now)
    }

    /// Records that the latest configuration had revision `seen` at `sent` or later.
    pub fn confirm(&self, seen: ConfigurationRevision, sent: Timestamp) {
        let mut state = self.state();
        let held = state.held();
        state.lease.confirm(seen, held, sent);
    }

    /// Latest known era of the store.
    #[must_use]
    pub fn era(&self) -> Era {
        self.state().era
    }

    /// Records that the store has reached `revision`, as stated by `from`.
    pub fn observe_era(&self, revision: StoreRevision, from: &impl fmt::Display) {
        let mut state = self.state();
        let before = state.era;
        if revision.era <= before {
            return;
        }
        state.era = revision.era;
        let (servers, held) = (state.servers.revision, state.held());
        drop(state);
        metrics::gauge!("apricothall_store_era").set(saturating_gauge(revision.era.0));
        tracing::info!(%before, era = %revision.era, %revision, %from, %servers, configuration = %held, "new era of the store");
    }

    /// Records an era stated by the store that is not a number. Returns whether it is another one
    /// than the last.
    pub fn record_unusable_era(&self, stated: &str) -> bool {
        let unusable = &mut self.state().unusable_era;
        if unusable.as_deref() == Some(stated) {
            return false;
        }
        *unusable = Some(stated.to_owned());
        true
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

    /// Calls `read` with the versions of each model.
    pub fn each_version(&self, mut read: impl FnMut(&SmolStr, &Versions)) {
        for (model, versions) in &self.state().versions {
            read(model, versions);
        }
    }

    /// Adds a version of a model that was published at `since` or earlier.
    pub fn publish_version(
        &self,
        model: &SmolStr,
        version: u64,
        since: Option<Timestamp>,
        reader: Reader,
    ) {
        let mut state = self.state();
        let versions = state.versions.entry(model.clone()).or_default();
        // A later read of the store does not tell when a version was published.
        if reader == Reader::Store && versions.contains(version) {
            return;
        }
        let before = versions.newest();
        if !versions.publish(version, since) {
            return;
        }
        drop(state);
        tracing::info!(%model, version, before, known_since = since.is_some(), ?reader, "version named");
        self.notify();
    }

    /// Records a failed read of the store. Returns whether the subject was not lost before.
    pub fn store_failed(&self, subject: Subject, failure: ReadFailure) -> bool {
        let changed = self.state().reachability.failed(subject, failure);
        if changed {
            self.notify();
        }
        changed
    }

    /// Records an answer of the store. Returns whether the subject was lost.
    pub fn store_answered(&self, subject: Subject, now: Timestamp) -> bool {
        let mut state = self.state();
        state.servers.record_answer(now);
        state.reachability.answered(subject)
    }

    /// Resets the reachability of the store for a daemon that does not read `subject` and thus
    /// expects no answer.
    pub fn reset_store_reachability(&self, subject: Subject) {
        self.state().reachability.reset(subject);
    }

    /// Whether this daemon cannot read `subject` from the store.
    #[must_use]
    pub fn is_store_lost(&self, subject: Subject) -> bool {
        self.state().reachability.is_lost(subject)
    }

    /// Subjects that this daemon cannot read from the store.
    #[must_use]
    pub fn lost_subjects(&self) -> LostSubjects {
        self.state().reachability.lost()
    }

    /// Revision of the store from which the items of operators may be followed without a list. The
    /// configuration and the evacuations may come from different peers, so the lower one counts.
    #[must_use]
    pub fn followed_revision(&self) -> Option<StoreRevision> {
        let state = self.state();
        let known = state.evacuations.stored().as_of;
        state.checked.map(|checked| checked.min(known))
    }

    /// Revision of the store up to which the current configuration is known to be the latest.
    #[must_use]
    pub fn checked_revision(&self) -> Option<StoreRevision> {
        self.state().checked
    }

    /// Records that a daemon with the configuration `held` knows it to be the latest up to
    /// `checked`.
    pub fn merge_checked(&self, held: ConfigurationRevision, checked: Option<StoreRevision>) {
        let mut state = self.state();
        let same = state.in_force.as_ref().is_some_and(|f| f.revision == held);
        if same {
            state.checked = state.checked.max(checked);
        }
    }

    /// Merges the times at which the store answered peers. The peer's report was created at `asked`
    /// or later.
    pub fn merge_peer_answers(&self, answers: &[AnsweredAge], asked: Timestamp, now: Timestamp) {
        self.state().servers.merge_peer_answers(answers, asked, now);
    }

    /// Calls `act` with the servers, for changes.
    pub fn with_servers<T>(&self, act: impl FnOnce(&mut Servers) -> T) -> T {
        act(&mut self.state().servers.servers)
    }

    /// Calls `read` with the servers.
    pub fn servers<T>(&self, read: impl FnOnce(&Servers) -> T) -> T {
        read(&self.state().servers.servers)
    }

    /// Revision of the server list.
    #[must_use]
    pub fn servers_revision(&self) -> StoreRevision {
        self.state().servers.revision
    }

    /// Source and age of the server list; `None` before the first update.
    #[must_use]
    pub fn server_list_age(&self, now: Timestamp) -> Option<ServerListAge> {
        self.state().servers.list_age(now)
    }

    /// Replaces the list of servers with the complete list as of `revision`.
    pub fn replace_servers(&self, list: Vec<Server>, revision: StoreRevision, now: Timestamp) {
        self.state().servers.replace(list, revision, now);
        self.notify();
    }

    /// Replaces the list of servers with one requested from a peer at `asked`, unless the current
    /// list is newer.
    pub fn adopt_servers(
        &self,
        listing: Listing,
        revision: StoreRevision,
        asked: Timestamp,
        now: Timestamp,
    ) {
        let changed = self.state().servers.adopt(listing, revision, asked, now);
        if changed {
            self.notify();
        }
    }

    /// Drops servers whose entries were not written again after an outage. A daemon that cannot
    /// reach the store relies on the lists of others instead.
    pub fn expire_servers(&self, now: Timestamp) {
        let mut state = self.state();
        if !state.reachability.is_lost(Subject::Servers) {
            state.servers.expire(now);
        }
    }

    /// Applies changes of one subject, in an answer that was requested at `asked`.
    pub fn take_changes(
        &self,
        calls: &StoreCalls,
        subject: Subject,
        changes: &Changes,
        asked: Timestamp,
        now: Timestamp,
    ) {
        match subject {
            Subject::Operators => {
                let previous = self.state().operators_read.replace(now);
                let made = earliest_change(previous, asked, now);
                self.take_operator_changes(calls, changes, made, now);
                self.record_checked(changes.revision, asked);
            }
            Subject::Servers => {
                let applied = self.state().servers.apply_changes(calls, changes, now);
                if applied {
                    self.notify();
                }
            }
        }
    }

    /// The current server list.
    #[must_use]
    pub fn server_refs(&self) -> Vec<ServerRef> {
        self.servers(|s| s.iter().map(ServerRef::from).collect())
    }
}

//! This daemon's copy of the state published by operators and backend servers. It never reverts to
//! an older revision, not even if the store does.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::evacuation::{EvacuationChange, EvacuationSet, Evacuations};
use apricothall_decide::lease::Lease;
use apricothall_decide::outage::{AnsweredAge, OutageConfig};
use apricothall_decide::servers::{Listing, Server, Servers};
use apricothall_decide::store_reachability::{LostSubjects, ReadFailure, StoreReachability};
use apricothall_decide::versions::{Versions, earliest_change};
use apricothall_types::{ConfigurationRevision, Digest, Era, StoreRevision, Timestamp, Zone};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::configuration_copies::ConfigurationCopies;
use crate::dialect::{Change, Changes, Fact, Item, StoreCalls, Subject};
use crate::fleet::ServerRef;
use crate::model::Configuration;
use crate::servers::{KnownServers, ServerListAge};

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

    /// Applies an operator's item. `published_at` is the time of publication of a version in it, if
    /// known.
    pub fn take_item(
        &self,
        calls: &StoreCalls,
        item: &Item,
        reader: Reader,
        published_at: Option<Timestamp>,
    ) {
        match (calls.read_item)(item) {
            Ok(Fact::Configuration(c)) => {
                self.record_readable(item);
                self.adopt(item, *c, reader);
            }
            Ok(Fact::Version { model, version }) => {
                self.publish_version(&model, version, published_at, reader);
            }
            Ok(Fact::Server(_) | Fact::Other) => {}
            Err(error) => {
                if (calls.is_configuration)(&item.key) && !self.record_unreadable(item) {
                    return;
                }
                tracing::warn!(key = %item.key, revision = %item.revision, %error, "cannot parse item of the store");
                metrics::counter!("apricothall_items_unusable_total").increment(1);
            }
        }
    }

    /// Records a configuration that cannot be read. What is in force may no longer hold, so it is not
    /// confirmed from then on. Returns whether this is a new one.
    fn record_unreadable(&self, item: &Item) -> bool {
        let mut state = self.state();
        let known = state
            .held()
            .written
            .max(state.unreadable.unwrap_or_default());
        if item.revision <= known {
            return false;
        }
        state.unreadable = Some(item.revision);
        metrics::gauge!("apricothall_configuration_unreadable").set(1.0);
        true
    }

    /// Records a configuration that can be read; an earlier one that cannot be no longer matters.
    fn record_readable(&self, item: &Item) {
        let mut state = self.state();
        if state.unreadable.is_some_and(|at| at < item.revision) {
            state.unreadable = None;
            metrics::gauge!("apricothall_configuration_unreadable").set(0.0);
        }
    }

    /// Whether the latest configuration in the store cannot be read.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.state().unreadable.is_some()
    }

    fn adopt(&self, item: &Item, configuration: Configuration, reader: Reader) {
        let revision = ConfigurationRevision {
            version: configuration.version,
            written: item.revision,
        };
        let mut state = self.state();
        let before = state.held();
        if revision <= before {
            if revision.written > before.written {
                tracing::warn!(%revision, held = %before, ?reader, "configuration kept, as the published one has a lower version");
            }
            return;
        }
        for reason in &configuration.unusable {
            tracing::warn!(version = configuration.version, %revision, %reason, "an item of the configuration is not used as it stands");
        }
        metrics::gauge!("apricothall_configuration_unusable_items")
            .set(saturating_gauge(configuration.unusable.len() as u64));
        let is_checked = |checked| item.revision <= checked && item.revision.era == checked.era;
        if state.checked.is_some_and(is_checked) {
            tracing::error!(%revision, checked = ?state.checked, ?reader, "an answer of the store left out a configuration");
            metrics::counter!("apricothall_store_omissions_total").increment(1);
        }
        tracing::info!(version = configuration.version, %revision, %before, ?reader, "configuration in force");
        metrics::gauge!("apricothall_configuration_version")
            .set(saturating_gauge(configuration.version));
        state.checked = state.checked.max(Some(item.revision));
        let in_force = Arc::new(InForce {
            revision,
            item: item.clone(),
            digest: Digest::of(&item.value),
            configuration,
        });
        state.in_force = Some(in_force.clone());
        drop(state);
        self.copies.push(in_force.digest, in_force.text().into());
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

    /// Zones whose servers get no requests.
    #[must_use]
    pub fn evacuated_zones(&self) -> BTreeSet<Zone> {
        self.state().evacuations.zones().clone()
    }

    /// Whether the servers of `zone` get no requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.state().evacuations.zones().contains(zone)
    }

    /// Evacuated zones in the store, for other daemons.
    #[must_use]
    pub fn evacuations(&self) -> EvacuationSet {
        self.state().evacuations.stored().clone()
    }

    /// Takes the complete set of evacuated zones, unless the current one is as recent.
    pub fn replace_evacuations(&self, set: EvacuationSet, reader: Reader, now: Timestamp) {
        self.update_evacuations(reader, |evacuations| evacuations.replace(set, now));
    }

    /// Ends the hold against an older copy of the store once its time is over.
    pub fn refresh_evacuations(&self, now: Timestamp) {
        self.update_evacuations(Reader::Store, |evacuations| evacuations.refresh(now));
    }

    fn update_evacuations(
        &self,
        reader: Reader,
        update: impl FnOnce(&mut Evacuations) -> Vec<EvacuationChange>,
    ) {
        let mut state = self.state();
        let changes = update(&mut state.evacuations);
        let as_of = state.evacuations.stored().as_of;
        let count = state.evacuations.zones().len();
        drop(state);
        if changes.is_empty() {
            return;
        }
        for EvacuationChange { zone, evacuated } in &changes {
            tracing::info!(%zone, evacuated, %as_of, ?reader, "evacuation of a zone changed");
        }
        metrics::gauge!("apricothall_evacuated_zones").set(saturating_gauge(count as u64));
        self.notify();
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

    /// Applies the complete list of operator items as of `revision`, requested at `sent` and received
    /// at `now`.
    pub fn take_operators(
        &self,
        calls: &StoreCalls,
        items: &[Item],
        revision: StoreRevision,
        sent: Timestamp,
        now: Timestamp,
    ) {
        // A version found at the start of the process may have been published long before. If a
        // later list is the first to contain a version, the store was unreachable meanwhile; a peer
        // that has an earlier time of publication reports it.
        let previous = self.state().operators_read.replace(now);
        let published_at = previous.map(|_| earliest_change(previous, now, now));
        for item in items {
            self.take_item(calls, item, Reader::Store, published_at);
        }
        let zones = items.iter().filter_map(|i| (calls.evacuated_zone)(&i.key));
        let evacuations = EvacuationSet {
            as_of: revision,
            zones: zones.collect(),
        };
        self.replace_evacuations(evacuations, Reader::Store, now);
        self.record_checked(revision, sent);
    }

    /// Records that all items of operators up to `revision` have been applied, from an answer that
    /// was requested at `sent`.
    fn record_checked(&self, revision: StoreRevision, sent: Timestamp) {
        let mut state = self.state();
        state.evacuations.confirm(revision);
        if state.unreadable.is_some() {
            return;
        }
        state.checked = state.checked.max(Some(revision));
        // The answer includes the last write, so the configuration held now was the latest at `sent`
        // if the store has it.
        let held = state.in_force.as_ref().map(|f| f.revision);
        let held = held.unwrap_or(ConfigurationRevision {
            version: 0,
            written: revision,
        });
        state.lease.confirm_era(revision.era, held, sent);
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

    fn take_operator_changes(
        &self,
        calls: &StoreCalls,
        changes: &Changes,
        made: Timestamp,
        now: Timestamp,
    ) {
        for change in &changes.changes {
            if self.take_evacuation(calls, change, now) {
                continue;
            }
            match change {
                Change::Written(item) => self.take_item(calls, item, Reader::Store, Some(made)),
                Change::Removed { key, .. } => {
                    tracing::warn!(%key, "operator's item removed from the store; its last value stays in effect");
                }
            }
        }
    }

    /// Applies a change of an evacuation. Returns whether it is one.
    fn take_evacuation(&self, calls: &StoreCalls, change: &Change, now: Timestamp) -> bool {
        let revision = change.revision();
        let key = match change {
            Change::Written(item) => &item.key,
            Change::Removed { key, .. } => key,
        };
        let Some(zone) = (calls.evacuated_zone)(key) else {
            return false;
        };
        self.update_evacuations(Reader::Store, |evacuations| match change {
            Change::Written(_) => evacuations.begin(zone, revision, now),
            Change::Removed { .. } => evacuations.end(&zone, revision, now),
        });
        true
    }

    /// The current server list.
    #[must_use]
    pub fn server_refs(&self) -> Vec<ServerRef> {
        self.servers(|s| s.iter().map(ServerRef::from).collect())
    }
}

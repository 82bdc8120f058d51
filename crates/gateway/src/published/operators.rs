//! Items of operators: the configuration in force, and the versions of models.

use std::sync::Arc;

use apricothall_decide::evacuation::EvacuationSet;
use apricothall_decide::versions::earliest_change;
use apricothall_types::{ConfigurationRevision, Digest, StoreRevision, Timestamp};

use super::{InForce, Published, Reader, saturating_gauge};
use crate::dialect::{Change, Changes, Fact, Item, StoreCalls};
use crate::model::Configuration;

impl Published {
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
        state
            .servers
            .servers
            .name_services(configuration.service_names());
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
    pub(super) fn record_checked(&self, revision: StoreRevision, sent: Timestamp) {
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

    pub(super) fn take_operator_changes(
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
}

//! Zones whose servers get no requests, as published by operators.

use std::collections::BTreeSet;

use apricothall_decide::evacuation::{EvacuationChange, EvacuationSet, Evacuations};
use apricothall_types::{Timestamp, Zone};

use super::{Published, Reader, saturating_gauge};
use crate::dialect::{Change, StoreCalls};

impl Published {
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

    /// Applies a change of an evacuation. Returns whether it is one.
    pub(super) fn take_evacuation(
        &self,
        calls: &StoreCalls,
        change: &Change,
        now: Timestamp,
    ) -> bool {
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
}

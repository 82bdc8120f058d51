//! Availability zones that operators evacuate: their servers get no requests until the evacuation is
//! removed.
//!
//! The store holds one item for each evacuated zone. Each daemon keeps the set as of a revision of
//! the store, and a set as of a later revision replaces it, whether it comes from the store or from a
//! peer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use apricothall_types::{StoreRevision, Timestamp, Zone};
use serde::{Deserialize, Serialize};

/// Time after which operators have written their latest items again to a store that came back from
/// an older copy.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Time for which the removal of an evacuation is remembered. An older copy of the store is some
/// seconds old.
const REMOVAL_RETENTION: Duration = Duration::from_mins(2);

/// Evacuated zones in the store, as of a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Revision of the store up to which all changes are included.
    pub as_of: StoreRevision,
    /// The evacuated zones.
    pub zones: BTreeSet<Zone>,
}

/// An evacuation that took effect or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: Zone,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
}

/// What stays in effect after the store was restored from an older copy of itself, until operators
/// have written their items again.
#[derive(Clone, Debug)]
struct CopyHold {
    until: Timestamp,
    /// Zones evacuated before that the copy may lack.
    kept: BTreeSet<Zone>,
    /// Zones whose evacuation had been removed, which the copy may still have.
    withheld: BTreeSet<Zone>,
}

/// Evacuated zones, as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    stored: EvacuationSet,
    hold: Option<CopyHold>,
    /// When evacuations were removed.
    removed: BTreeMap<Zone, Timestamp>,
    /// The zones in the store, with the differences of the hold.
    evacuated: BTreeSet<Zone>,
}

impl Evacuations {
    /// The zones whose servers get no requests.
    #[must_use]
    pub const fn zones(&self) -> &BTreeSet<Zone> {
        &self.evacuated
    }

    /// The set in the store, for other daemons.
    #[must_use]
    pub const fn stored(&self) -> &EvacuationSet {
        &self.stored
    }

    /// Takes a complete set, unless the current one is as recent. If it is the first one since the
    /// store came back from an older copy, earlier changes stay in effect for 5 s.
    pub fn replace(&mut self, set: EvacuationSet, now: Timestamp) -> Vec<EvacuationChange> {
        if set.as_of <= self.stored.as_of {
            return Vec::new();
        }
        let is_first = self.stored.as_of == StoreRevision::default();
        if set.as_of.era > self.stored.as_of.era && !is_first {
            self.removed
                .retain(|_, at| now.since(*at) < REMOVAL_RETENTION);
            self.hold = Some(CopyHold {
                until: now + REWRITE_TIME,
                kept: self.evacuated.clone(),
                withheld: self.removed.keys().cloned().collect(),
            });
        } else if let Some(hold) = &mut self.hold {
            // What has changed since then was written in the new era.
            let before = &self.stored.zones;
            hold.withheld
                .retain(|zone| before.contains(zone) || !set.zones.contains(zone));
            hold.kept
                .retain(|zone| set.zones.contains(zone) || !before.contains(zone));
        }
        self.stored = set;
        self.refresh(now)
    }

    /// Applies the evacuation of a zone written at `revision`. Once all changes up to a revision
    /// are applied, [`Self::confirm`] records it.
    pub fn begin(
        &mut self,
        zone: Zone,
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        if revision <= self.stored.as_of {
            return Vec::new();
        }
        if let Some(hold) = &mut self.hold {
            hold.withheld.remove(&zone);
        }
        self.stored.zones.insert(zone);
        self.refresh(now)
    }

    /// Applies the removal of an evacuation at `revision`.
    pub fn end(
        &mut self,
        zone: &Zone,
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        if revision <= self.stored.as_of {
            return Vec::new();
        }
        if let Some(hold) = &mut self.hold {
            hold.kept.remove(zone);
        }
        self.stored.zones.remove(zone);
        self.refresh(now)
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn confirm(&mut self, revision: StoreRevision) {
        self.stored.as_of = self.stored.as_of.max(revision);
    }

    /// Ends the hold against an older copy once its time is over, and determines the evacuated
    /// zones anew.
    pub fn refresh(&mut self, now: Timestamp) -> Vec<EvacuationChange> {
        self.hold.take_if(|hold| hold.until <= now);
        let mut zones = self.stored.zones.clone();
        if let Some(hold) = &self.hold {
            zones.extend(hold.kept.iter().cloned());
            zones.retain(|zone| !hold.withheld.contains(zone));
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        let mut changes = Vec::new();
        for zone in self.evacuated.difference(&before) {
            self.removed.remove(zone);
            changes.push(EvacuationChange {
                zone: zone.clone(),
                evacuated: true,
            });
        }
        for zone in before.difference(&self.evacuated) {
            self.removed.insert(zone.clone(), now);
            changes.push(EvacuationChange {
                zone: zone.clone(),
                evacuated: false,
            });
        }
        changes
    }
}

//! What an agent knows of its pool from the VM list, and its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use apricothall_types::{MemberId, Revision, Role, Timestamp, VmList, WallTime};
use serde::{Deserialize, Serialize};

use crate::configs::ClaimsConfig;
use crate::dedupe::Clock;

/// Place of an agent in the order of its pool: older ones are less.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Revision that first listed the VM.
    pub since: Revision,
    /// Id of the agent.
    pub id: MemberId,
}

/// An agent's own place and the time from which it holds.
#[derive(Clone, Debug)]
struct OwnPosition {
    position: Position,
    /// Wall time at which this place was first read.
    first: WallTime,
    /// Time at which the latest read of this place was asked for.
    renewed: Timestamp,
}

/// The pool as one agent sees it.
#[derive(Clone, Debug)]
pub struct PoolView {
    me: MemberId,
    config: ClaimsConfig,
    revision: Revision,
    place: Option<OwnPosition>,
    listed: BTreeSet<Position>,
    /// Positions no longer listed, with the wall time at which this was read.
    departed: BTreeMap<Position, WallTime>,
}

impl PoolView {
    /// The view of an agent that has read no list yet.
    #[must_use]
    pub fn new(me: MemberId, config: ClaimsConfig) -> Self {
        Self {
            me,
            config,
            revision: Revision(0),
            place: None,
            listed: BTreeSet::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Takes in a list that was asked for at `asked` and arrived at `clock`. A list of an earlier
    /// revision than one seen before is ignored.
    pub fn observe(&mut self, list: &VmList, pool: &[MemberId], asked: Timestamp, clock: Clock) {
        if list.revision < self.revision {
            return;
        }
        self.revision = list.revision;
        let agents = list.vms.iter().filter(|vm| vm.role == Role::Agent);
        let listed: BTreeSet<_> = agents
            .filter(|vm| pool.contains(&vm.id))
            .map(|vm| Position {
                since: vm.since,
                id: vm.id.clone(),
            })
            .collect();
        for gone in self.listed.difference(&listed) {
            self.departed.insert(gone.clone(), clock.wall);
        }
        let mine = listed.iter().rfind(|p| p.id == self.me).cloned();
        self.listed = listed;
        self.renew(mine, asked, clock);
    }

    fn renew(&mut self, mine: Option<Position>, asked: Timestamp, clock: Clock) {
        let Some(position) = mine else {
            self.place = None;
            return;
        };
        match &mut self.place {
            Some(place) if place.position == position => place.renewed = place.renewed.max(asked),
            _ => {
                self.place = Some(OwnPosition {
                    position,
                    first: clock.wall,
                    renewed: asked,
                });
            }
        }
    }

    /// The agent's position while its lease lasts.
    #[must_use]
    pub fn position(&self, now: Timestamp) -> Option<&Position> {
        let place = self.place.as_ref()?;
        let held = now.since(place.renewed) < self.config.lease.0;
        held.then_some(&place.position)
    }

    /// Whether every agent that can have run a key of this birth is known to this one.
    #[must_use]
    pub fn is_settled(&self, birth: WallTime) -> bool {
        let place = self.place.as_ref();
        place.is_some_and(|p| birth > after(p.first, self.settling_period()))
    }

    /// Ids of the older agents, departed ones included, that can have run a key of this birth.
    #[must_use]
    pub fn older(&self, birth: WallTime) -> BTreeSet<MemberId> {
        let Some(place) = &self.place else {
            return BTreeSet::new();
        };
        let departed = self
            .departed
            .iter()
            .filter(|(_, at)| birth <= after(**at, self.settling_period()))
            .map(|(position, _)| position);
        self.listed
            .iter()
            .chain(departed)
            .filter(|p| **p < place.position && p.id != self.me)
            .map(|p| p.id.clone())
            .collect()
    }

    /// Forgets departed agents that can have run no key that is still accepted.
    pub fn expire(&mut self, floor: WallTime) {
        let horizon = self.config.horizon.max(self.config.opaque_horizon);
        let retained = self.settling_period() + horizon.0;
        self.departed.retain(|_, at| floor <= after(*at, retained));
    }

    /// Departed agents remembered.
    #[must_use]
    pub fn departed(&self) -> usize {
        self.departed.len()
    }

    /// Time after an agent's drop until keys that it cannot have run are created: its lease, the
    /// lag of the list, and the skew once for the key's time and once for the reading agent's.
    fn settling_period(&self) -> Duration {
        self.config.lease.0 + self.config.lag.0 + 2 * self.config.skew.0
    }
}

/// The wall time `span` after `at`.
pub(super) fn after(at: WallTime, span: Duration) -> WallTime {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    WallTime(at.0.saturating_add(millis))
}

//! An agent's view of its pool, derived from the VM list, and its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use apricothall_types::{MemberId, Revision, Role, Timestamp, VmList, WallTime};
use serde::{Deserialize, Serialize};

use crate::configs::ClaimsConfig;
use crate::dedupe::ClockReading;

/// Position of an agent in the order of its pool; older agents compare less.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Revision that first listed the VM.
    pub since: Revision,
    /// Agent id.
    pub id: MemberId,
}

/// An agent's own position and the times that its lease depends on.
#[derive(Clone, Debug)]
struct OwnPosition {
    position: Position,
    /// Wall time at which this position was first read.
    first: WallTime,
    /// Time at which the latest read that showed this position was requested.
    renewed: Timestamp,
}

/// The agents of a pool, as known to one of them.
#[derive(Clone, Debug)]
pub struct PoolView {
    me: MemberId,
    config: ClaimsConfig,
    revision: Revision,
    own: Option<OwnPosition>,
    listed: BTreeSet<Position>,
    /// Positions no longer listed, with the wall time at which their removal was read.
    departed: BTreeMap<Position, WallTime>,
}

impl PoolView {
    /// Creates the view of an agent that has not read a list yet.
    #[must_use]
    pub fn new(me: MemberId, config: ClaimsConfig) -> Self {
        Self {
            me,
            config,
            revision: Revision(0),
            own: None,
            listed: BTreeSet::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Applies a list requested at `asked` and received at `clock`. Lists older than the latest
    /// known revision are ignored.
    pub fn observe(
        &mut self,
        list: &VmList,
        pool: &[MemberId],
        asked: Timestamp,
        clock: ClockReading,
    ) {
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

    fn renew(&mut self, mine: Option<Position>, asked: Timestamp, clock: ClockReading) {
        let Some(position) = mine else {
            self.own = None;
            return;
        };
        match &mut self.own {
            Some(own) if own.position == position => own.renewed = own.renewed.max(asked),
            _ => {
                self.own = Some(OwnPosition {
                    position,
                    first: clock.wall,
                    renewed: asked,
                });
            }
        }
    }

    /// The agent's position, if its lease is valid.
    #[must_use]
    pub fn position(&self, now: Timestamp) -> Option<&Position> {
        let own = self.own.as_ref()?;
        let held = now.since(own.renewed) < self.config.lease.0;
        held.then_some(&own.position)
    }

    /// Whether all agents that can have run a key with this creation time are known.
    #[must_use]
    pub fn is_settled(&self, birth: WallTime) -> bool {
        let own = self.own.as_ref();
        own.is_some_and(|p| birth > after(p.first, self.settling_period()))
    }

    /// Ids of older agents that can have run a key with this creation time, including departed
    /// ones.
    #[must_use]
    pub fn older(&self, birth: WallTime) -> BTreeSet<MemberId> {
        let Some(own) = &self.own else {
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
            .filter(|p| **p < own.position && p.id != self.me)
            .map(|p| p.id.clone())
            .collect()
    }

    /// Removes departed agents that cannot have run any key that is still accepted.
    pub fn expire(&mut self, latest_wall: WallTime) {
        let horizon = self.config.horizon.max(self.config.opaque_horizon);
        let retained = self.settling_period() + horizon.0;
        self.departed
            .retain(|_, at| latest_wall <= after(*at, retained));
    }

    /// Number of departed agents in the view.
    #[must_use]
    pub fn departed(&self) -> usize {
        self.departed.len()
    }

    /// Time after an agent's removal from the list from which newly created keys cannot have run
    /// there: its lease, the lag of the list, and the clock skew twice, once for the key's creation
    /// time and once for the reading agent.
    fn settling_period(&self) -> Duration {
        self.config.lease.0 + self.config.lag.0 + 2 * self.config.skew.0
    }
}

/// Returns `at + span`, saturating.
pub(super) fn after(at: WallTime, span: Duration) -> WallTime {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    WallTime(at.0.saturating_add(millis))
}

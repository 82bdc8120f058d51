//! Agents that count when pairs of servers are formed: those that serve a model, and those that
//! stopped without notice shortly before.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use apricothall_types::{
    EntryName, Holding, HoldingState, Member, MemberId, MemberState, Role, Timestamp,
};

/// How long an agent whose engine has stopped serving is still counted.
const RETENTION: Duration = Duration::from_secs(15);

/// The time at which each agent was last seen serving each model.
#[derive(Clone, Debug, Default)]
pub struct ServingHistory {
    last_seen: HashMap<EntryName, BTreeMap<MemberId, Timestamp>>,
}

impl ServingHistory {
    /// Records what the agents among `members` serve at `now`.
    ///
    /// An agent that is gone no longer serves, whatever its last record says. One that announced
    /// its departure is removed, and so is one that now serves only other models: both are planned,
    /// and no crash.
    pub fn record(&mut self, members: &[Member], now: Timestamp) {
        for member in members.iter().filter(|m| m.role == Role::Agent) {
            match member.state {
                MemberState::Alive => self.record_serving(member, now),
                MemberState::Leaving => self.remove(&member.id),
                MemberState::Gone => {}
            }
        }
        for agents in self.last_seen.values_mut() {
            agents.retain(|_, at| now.since(*at) < RETENTION);
        }
        self.last_seen.retain(|_, agents| !agents.is_empty());
    }

    /// Returns the agents that serve the model or did so recently.
    #[must_use]
    pub fn agents(&self, name: &EntryName) -> Vec<MemberId> {
        let agents = self.last_seen.get(name);
        agents.map_or_else(Vec::new, |a| a.keys().cloned().collect())
    }

    /// Returns the number of such agents of each model.
    pub fn counts(&self) -> impl Iterator<Item = (&EntryName, usize)> {
        let models = self.last_seen.iter();
        models.map(|(name, agents)| (name, agents.len()))
    }

    fn record_serving(&mut self, member: &Member, now: Timestamp) {
        let serving = |h: &&Holding| h.state == HoldingState::Serving;
        let mut serving = member.holdings.iter().filter(serving).peekable();
        if serving.peek().is_some() {
            self.remove(&member.id);
        }
        for holding in serving {
            let agents = self.last_seen.entry(holding.name.clone()).or_default();
            agents.insert(member.id.clone(), now);
        }
    }

    fn remove(&mut self, id: &MemberId) {
        for agents in self.last_seen.values_mut() {
            agents.remove(id);
        }
    }
}

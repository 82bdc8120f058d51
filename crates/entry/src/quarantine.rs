//! Where a completion may go, given what is known of requests that crash servers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::quarantine::{Crash, Placement, Record, pair, place, place_fallback};
use apricothall_fleet::MembershipView;
use apricothall_fleet::quarantine::{Quarantine, fingerprint};
use apricothall_kernel::Clock;
use apricothall_types::{
    Class, Digest, EntryName, Holding, HoldingState, Member, MemberId, MemberState, Outcome, Role,
    Timestamp,
};
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;

use crate::problem::Problem;

/// Time for which an agent whose engine stopped to serve keeps its place in pairs.
const HOLD: Duration = Duration::from_secs(15);

/// Longest and shortest time between two looks at what the agents serve.
const LOOK: Duration = Duration::from_secs(1);
const BETWEEN: Duration = Duration::from_millis(100);

/// When to come back while no server of the pair takes the request.
const RETRY: Duration = Duration::from_secs(1);

/// Longest wait for the news that a lost agent is gone.
const GONE_LIMIT: Duration = Duration::from_secs(30);

/// Servers that serve or lately served a model.
pub struct Pairs {
    quarantine: Arc<Quarantine>,
    view: Arc<MembershipView>,
    seen: Mutex<HashMap<EntryName, BTreeMap<MemberId, Timestamp>>>,
}

impl Pairs {
    /// Nothing was seen to serve yet.
    #[must_use]
    pub fn new(quarantine: Arc<Quarantine>, view: Arc<MembershipView>) -> Self {
        Self {
            quarantine,
            view,
            seen: Mutex::default(),
        }
    }

    /// Follows one completion.
    #[must_use]
    pub fn suspect(self: &Arc<Self>, name: &EntryName, class: Class, body: &[u8]) -> Suspect {
        Suspect {
            pairs: self.clone(),
            name: name.clone(),
            fingerprint: fingerprint(name, body),
            class,
        }
    }

    /// Notes what each agent serves, also while no request asks for it.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.view.changes();
        loop {
            self.note(&self.view.members());
            tokio::time::sleep(BETWEEN).await;
            // Without a change the notes are renewed, and those past their time dropped.
            let _ = tokio::time::timeout(LOOK, changes.changed()).await;
        }
    }

    /// Number of servers by entry and version, for the status.
    #[must_use]
    pub fn status(&self) -> Value {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = seen
            .iter()
            .map(|(name, agents)| (name.to_string(), Value::from(agents.len())));
        Value::Object(counts.collect())
    }

    fn note(&self, members: &[Member]) {
        let now = Clock.now();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        for member in members.iter().filter(|m| m.role == Role::Agent) {
            let serving = |h: &&Holding| h.state == HoldingState::Serving;
            for holding in member.holdings.iter().filter(serving) {
                let agents = seen.entry(holding.name.clone()).or_default();
                agents.insert(member.id.clone(), now);
            }
        }
        for agents in seen.values_mut() {
            agents.retain(|_, at| now.since(*at) < HOLD);
        }
        seen.retain(|_, agents| !agents.is_empty());
    }

    /// All that serve the model, and those that stopped lately without another one, which a crash
    /// does.
    fn servers(&self, name: &EntryName, members: &[Member]) -> Vec<MemberId> {
        self.note(members);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(agents) = seen.get_mut(name) else {
            return Vec::new();
        };
        for member in members {
            if member.state == MemberState::Leaving || has_moved(member, name) {
                agents.remove(&member.id);
            }
        }
        agents.keys().cloned().collect()
    }
}

/// Whether the agent's engines serve other models only.
fn has_moved(member: &Member, name: &EntryName) -> bool {
    let serving = member
        .holdings
        .iter()
        .filter(|h| h.state == HoldingState::Serving);
    let names: Vec<_> = serving.map(|h| &h.name).collect();
    !names.is_empty() && !names.contains(&name)
}

/// Whether an engine of the agent serves some version of the model. All versions share one pair, so
/// that a rollout does not move it.
fn serves(member: &Member, name: &EntryName) -> bool {
    let mut holdings = member.holdings.iter();
    holdings.any(|h| h.name == *name && h.state == HoldingState::Serving)
}

/// Whether an engine of the agent is reloaded as planned with a version of the model.
fn reloads(members: &[Member], id: &MemberId, name: &EntryName) -> bool {
    let mut holdings = members
        .iter()
        .filter(|m| m.id == *id)
        .flat_map(|m| &m.holdings);
    holdings.any(|h| h.name == *name && h.state == HoldingState::Loading)
}

/// A completion and what is known of its like.
#[derive(Clone)]
pub struct Suspect {
    pairs: Arc<Pairs>,
    name: EntryName,
    fingerprint: Digest,
    class: Class,
}

impl Suspect {
    /// Agents that the request must not be sent to.
    ///
    /// # Errors
    /// When it may be sent nowhere. `outcome` is what its earlier attempts came to.
    pub fn barred(&self, outcome: Option<Outcome>) -> Result<Vec<MemberId>, Problem> {
        let members = self.pairs.view.members();
        let serving = members
            .iter()
            .filter(|m| m.role == Role::Agent && serves(m, &self.name));
        let usable: Vec<_> = serving
            .filter(|m| m.is_alive())
            .map(|m| m.id.clone())
            .collect();
        let servers = self.pairs.servers(&self.name, &members);
        let quarantine = &self.pairs.quarantine;
        let decided = quarantine.read(|records| {
            let usable = |id: &MemberId| usable.contains(id);
            let decided = place(records, &self.fingerprint, &servers, usable);
            if decided == Placement::Later && self.is_reloading(&members, &servers) {
                let steady: Vec<_> = servers
                    .iter()
                    .filter(|id| !reloads(&members, id, &self.name))
                    .cloned()
                    .collect();
                return place(records, &self.fingerprint, &steady, usable);
            }
            // A critical request must not vanish with its pair.
            if decided == Placement::Later && self.class == Class::Critical {
                return place_fallback(records, &self.fingerprint, &servers, usable);
            }
            decided
        });
        let outcome = outcome.unwrap_or(Outcome::NotRun);
        let open = match decided {
            Placement::Shared(open) => open,
            Placement::Alone(one) => vec![one],
            Placement::Refuse => return Err(condemned(outcome)),
            // Without any server the caller hears so from routing.
            Placement::Later if usable.is_empty() => return Ok(Vec::new()),
            Placement::Later => {
                let late = Problem::unavailable("its servers are down; come back later", RETRY);
                return Err(Problem { outcome, ..late });
            }
        };
        Ok(usable.into_iter().filter(|id| !open.contains(id)).collect())
    }

    /// Whether both servers of the pair are reloaded as planned, which is no crash.
    fn is_reloading(&self, members: &[Member], servers: &[MemberId]) -> bool {
        let pair = pair(&self.fingerprint, servers);
        pair.iter().all(|id| reloads(members, id, &self.name))
    }

    /// What the order tells the agent.
    #[must_use]
    pub fn record(&self) -> Option<Record> {
        let quarantine = &self.pairs.quarantine;
        quarantine.read(|records| records.get(&self.fingerprint).cloned())
    }

    /// Takes in what an agent found out.
    pub fn crashed(&self, record: Record) {
        self.pairs.quarantine.merge(&[(self.fingerprint, record)]);
    }

    /// The connection to an agent was lost while the request ran there. When the agent is gone
    /// too, its server is taken for crashed.
    pub fn lost(&self, agent: &Member, boot: SmolStr, alone: bool) {
        let crash = Crash {
            id: agent.id.clone(),
            incarnation: agent.incarnation,
            boot,
        };
        let suspect = self.clone();
        tokio::spawn(async move {
            let gone = tokio::time::timeout(GONE_LIMIT, suspect.gone(&crash)).await;
            if gone.is_ok() {
                let running = BTreeSet::from([suspect.fingerprint]);
                suspect
                    .pairs
                    .quarantine
                    .record_crash(&crash, &running, alone);
            }
        });
    }

    async fn gone(&self, crash: &Crash) {
        let mut changes = self.pairs.view.changes();
        loop {
            let member = self.pairs.view.member(&crash.id);
            let same = member.is_some_and(|m| {
                m.incarnation == crash.incarnation && m.state != MemberState::Gone
            });
            if !same || changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn condemned(outcome: Outcome) -> Problem {
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    Problem {
        status: StatusCode::UNPROCESSABLE_ENTITY,
        outcome,
        detail: "servers crashed while they ran this request; it is not run again".into(),
        retry: None,
    }
}

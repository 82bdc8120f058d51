//! Decides which agents a completion may be sent to, given the records of requests that crash
//! servers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::prompt_parts::{PartStanding, Trial, trial_server};
use apricothall_decide::quarantine::{
    Crash, Placement, Record, ServingHistory, pair, place, place_fallback,
};
use apricothall_fleet::MembershipView;
use apricothall_fleet::prompt_texts::{PromptTexts, SHARED_TEXT, shared_parts};
use apricothall_fleet::quarantine::{Quarantine, SAME_REQUEST, fingerprint};
use apricothall_kernel::Clock;
use apricothall_types::{
    Class, Digest, EntryName, HoldingState, Member, MemberId, MemberState, Outcome, PromptPart,
    Role,
};
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;

use crate::problem::Problem;

/// Maximum time between two updates of what the agents serve.
const MAX_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two such updates.
const MIN_POLL_PERIOD: Duration = Duration::from_millis(100);

/// `Retry-After` while no server of the pair accepts the request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait for the membership view to show that a lost agent is gone.
const GONE_TIMEOUT: Duration = Duration::from_secs(30);

/// Agents that serve or recently served each model.
pub struct RecentServers {
    quarantine: Arc<Quarantine>,
    prompt_texts: Arc<PromptTexts>,
    view: Arc<MembershipView>,
    history: Mutex<ServingHistory>,
}

impl RecentServers {
    /// Creates an empty record.
    #[must_use]
    pub fn new(
        quarantine: Arc<Quarantine>,
        prompt_texts: Arc<PromptTexts>,
        view: Arc<MembershipView>,
    ) -> Self {
        Self {
            quarantine,
            prompt_texts,
            view,
            history: Mutex::default(),
        }
    }

    /// Returns the tracker of one completion.
    #[must_use]
    pub fn track(
        self: &Arc<Self>,
        name: &EntryName,
        class: Class,
        body: &[u8],
    ) -> CompletionTracker {
        CompletionTracker {
            recent: self.clone(),
            name: name.clone(),
            fingerprint: fingerprint(name, body),
            parts: shared_parts(name, body).into(),
            class,
        }
    }

    /// Keeps the record up to date, independently of requests.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.view.changes();
        loop {
            self.history().record(&self.view.members(), Clock.now());
            tokio::time::sleep(MIN_POLL_PERIOD).await;
            // Without a change the times are refreshed and expired agents removed.
            let _ = tokio::time::timeout(MAX_POLL_PERIOD, changes.changed()).await;
        }
    }

    /// Returns the number of agents by catalogue entry, for the status page.
    #[must_use]
    pub fn status(&self) -> Value {
        let history = self.history();
        let counts = history
            .counts()
            .map(|(name, agents)| (name.to_string(), Value::from(agents)));
        Value::Object(counts.collect())
    }

    /// Returns the agents that serve the model, and those that stopped recently without serving
    /// another model, as after a crash.
    fn current_and_recent(&self, name: &EntryName, members: &[Member]) -> Vec<MemberId> {
        let mut history = self.history();
        history.record(members, Clock.now());
        history.agents(name)
    }

    fn history(&self) -> MutexGuard<'_, ServingHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an engine of the agent serves any version of the model. All versions share one
/// pair, so that a rollout does not change the pair.
fn serves(member: &Member, name: &EntryName) -> bool {
    let mut holdings = member.holdings.iter();
    holdings.any(|h| h.name == *name && h.state == HoldingState::Serving)
}

/// Returns whether a planned reload of a version of the model is under way on the agent.
fn is_loading(members: &[Member], id: &MemberId, name: &EntryName) -> bool {
    let mut holdings = members
        .iter()
        .filter(|m| m.id == *id)
        .flat_map(|m| &m.holdings);
    holdings.any(|h| h.name == *name && h.state == HoldingState::Loading)
}

/// Tracks crashes caused by one completion, identified by its fingerprint.
#[derive(Clone)]
pub struct CompletionTracker {
    recent: Arc<RecentServers>,
    name: EntryName,
    fingerprint: Digest,
    parts: Arc<[PromptPart]>,
    class: Class,
}

impl CompletionTracker {
    /// Returns the agents that the request must not be sent to.
    ///
    /// # Errors
    /// When the request may not be sent to any agent. `outcome` is the outcome of its earlier
    /// attempts.
    pub fn excluded_agents(&self, outcome: Option<Outcome>) -> Result<Vec<MemberId>, Problem> {
        let members = self.recent.view.members();
        let serving = members
            .iter()
            .filter(|m| m.role == Role::Agent && serves(m, &self.name));
        let usable: Vec<_> = serving
            .filter(|m| m.is_alive())
            .map(|m| m.id.clone())
            .collect();
        let servers = self.recent.current_and_recent(&self.name, &members);
        let quarantine = &self.recent.quarantine;
        let decided = quarantine.read(|records| {
            let usable = |id: &MemberId| usable.contains(id);
            let decided = place(records, &self.fingerprint, &servers, usable);
            if decided == Placement::Later && self.is_pair_reloading(&members, &servers) {
                let not_loading: Vec<_> = servers
                    .iter()
                    .filter(|id| !is_loading(&members, id, &self.name))
                    .cloned()
                    .collect();
                return place(records, &self.fingerprint, &not_loading, usable);
            }
            // A critical request must not fail only because its pair is down.
            if decided == Placement::Later && self.class == Class::Critical {
                return place_fallback(records, &self.fingerprint, &servers, usable);
            }
            decided
        });
        let outcome = outcome.unwrap_or(Outcome::NotRun);
        let allowed = match decided {
            Placement::Shared(allowed) => match self.recent.prompt_texts.standing(&self.parts) {
                PartStanding::Clear => allowed,
                PartStanding::Trial(trial) => trial_agent(&trial, &usable, allowed),
                PartStanding::Condemned(_) => return Err(condemned(outcome, SHARED_TEXT)),
            },
            Placement::Alone(one) => vec![one],
            Placement::Refuse => return Err(condemned(outcome, SAME_REQUEST)),
            // Without any usable server, routing reports that to the caller.
            Placement::Later if usable.is_empty() => return Ok(Vec::new()),
            Placement::Later => {
                let late =
                    Problem::unavailable("its servers are down; come back later", RETRY_AFTER);
                return Err(Problem { outcome, ..late });
            }
        };
        Ok(usable
            .into_iter()
            .filter(|id| !allowed.contains(id))
            .collect())
    }

    /// Returns whether both servers of the pair are in a planned reload, which is not a crash.
    fn is_pair_reloading(&self, members: &[Member], servers: &[MemberId]) -> bool {
        let pair = pair(&self.fingerprint, servers);
        pair.iter().all(|id| is_loading(members, id, &self.name))
    }

    /// Returns the quarantine record to send with the order.
    #[must_use]
    pub fn record(&self) -> Option<Record> {
        let quarantine = &self.recent.quarantine;
        quarantine.read(|records| records.get(&self.fingerprint).cloned())
    }

    /// Merges a quarantine record reported by an agent.
    pub fn record_crash(&self, record: Record) {
        self.recent.quarantine.merge(&[(self.fingerprint, record)]);
    }

    /// Handles the loss of the connection to an agent while the request ran there. If the agent
    /// turns out to be gone, its server counts as crashed.
    pub fn connection_lost(&self, agent: &Member, boot: SmolStr, alone: bool) {
        let crash = Crash {
            id: agent.id.clone(),
            incarnation: agent.incarnation,
            boot,
        };
        let tracker = self.clone();
        tokio::spawn(async move {
            let gone = tokio::time::timeout(GONE_TIMEOUT, tracker.wait_until_gone(&crash)).await;
            if gone.is_ok() {
                let running = BTreeSet::from([tracker.fingerprint]);
                tracker
                    .recent
                    .quarantine
                    .record_crash(&crash, &running, alone);
            }
        });
    }

    async fn wait_until_gone(&self, crash: &Crash) {
        let mut changes = self.recent.view.changes();
        loop {
            let member = self.recent.view.member(&crash.id);
            let same = member.is_some_and(|m| {
                m.incarnation == crash.incarnation && m.state != MemberState::Gone
            });
            if !same || changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// The agent whose server tries a suspect text, of those in `usable`; `allowed` if none is.
fn trial_agent(trial: &Trial, usable: &[MemberId], allowed: Vec<MemberId>) -> Vec<MemberId> {
    let sound = usable.iter().filter(|id| !trial.barred.contains(id));
    let chosen = trial_server(&trial.part, sound).or_else(|| trial_server(&trial.part, usable));
    chosen.map_or(allowed, |id| vec![id.clone()])
}

fn condemned(outcome: Outcome, detail: &'static str) -> Problem {
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    Problem {
        status: StatusCode::UNPROCESSABLE_ENTITY,
        outcome,
        detail: detail.into(),
        retry: None,
    }
}

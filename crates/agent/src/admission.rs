//! Admission control for one backend server: a request gets a slot, waits in the queue or is
//! refused at once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_clients::NamedLimit;
use apricothall_decide::admission::{Admission, QueueUpdate, SlotRequest, Verdict as SlotVerdict};
use apricothall_decide::configs::AdmissionConfig;
use apricothall_decide::limits::{Reason, Refusal};
use apricothall_decide::server_limits::{Place, Sender, ServerLife, ServerLimits, Verdict};
use apricothall_kernel::Clock;
use apricothall_types::{Class, Outcome, Quota, RequestId, Timestamp, WallTime};
use apricothall_wire as wire;
use serde_json::{Value, json};
use smol_str::format_smolstr;
use tokio::sync::oneshot;

/// Added to the wait for a deadline, so that the deadline has passed when the wait ends.
const CLOCK_MARGIN: Duration = Duration::from_millis(1);

type Decision = Result<(), Refusal>;

struct State {
    admission: Admission,
    limits: ServerLimits,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    last_id: u128,
}

impl State {
    /// Sends the decisions to the waiting requests.
    fn apply(&mut self, update: QueueUpdate) {
        let started = update.started.into_iter().map(|id| (id, Ok(())));
        let refused = update.refused.into_iter().map(|(id, r)| (id, Err(r)));
        for (id, decision) in started.chain(refused) {
            if let Some(sender) = self.waiting.remove(&id) {
                // An error means that the order was cancelled; dropping its permit frees the slot.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Admission gate of one backend server.
pub struct Gate {
    clock: Clock,
    server: ServerLife,
    state: Mutex<State>,
}

/// Holds a slot or a place in the queue until dropped.
pub struct Permit {
    gate: Arc<Gate>,
    id: RequestId,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        state.waiting.remove(&self.id);
        if state.admission.cancel(self.id) {
            return;
        }
        let update = state.admission.finish(self.id, now);
        state.apply(update);
    }
}

impl Gate {
    /// Creates a gate with `slots` free slots, for the requests of the agent `own`.
    #[must_use]
    pub fn new(config: AdmissionConfig, slots: u32, own: &Sender, clock: Clock) -> Self {
        let state = State {
            admission: Admission::new(config, slots),
            limits: ServerLimits::for_single_sender(own.clone()),
            waiting: HashMap::new(),
            last_id: 0,
        };
        let server = ServerLife {
            id: own.id.clone(),
            born: WallTime::default(),
            place: Place {
                zone: own.zone.clone(),
                region: Some(own.region.clone()),
            },
        };
        Self {
            clock,
            server,
            state: Mutex::new(state),
        }
    }

    /// The current time by the clock of the gate.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Takes an answer of the server into account. The request was sent at `sent`.
    pub fn record_limit(&self, named: NamedLimit, sent: Timestamp) {
        let Some(limit) = named.told() else {
            return;
        };
        let now = self.clock.now();
        let limits = &mut self.lock().limits;
        if let Some(change) = limits.observe(&self.server, limit, sent, now) {
            let text = |limit: Option<Quota>| limit.map(tracing::field::display);
            tracing::info!(
                before = text(change.before),
                limit = text(change.limit),
                "server's limit changed"
            );
        }
    }

    /// Refuses a request that would exceed the limit of the server. Takes its room in the limit if
    /// `takes` is set.
    fn check_limit(&self, takes: bool) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (id, born) = (&self.server.id, self.server.born);
        let limits = &mut self.lock().limits;
        if let Verdict::PassedOver(passed) = limits.verdict(id, born, now) {
            return Err(Refusal::new(Reason::ServerLimit, passed.wait));
        }
        if takes {
            limits.take(id, born, now);
        }
        Ok(())
    }

    /// Waits for a slot. Dropping the future frees the place in the queue.
    ///
    /// # Errors
    /// Returns the refusal as soon as it is decided. The request has not run.
    pub async fn enter(
        self: &Arc<Self>,
        class: Class,
        deadline: Timestamp,
    ) -> Result<Permit, Refusal> {
        self.check_limit(false)?;
        let (permit, verdict, decision_receiver) = self.request_slot(class, deadline);
        match verdict {
            SlotVerdict::Run => {}
            SlotVerdict::Refuse(refusal) => return Err(refusal),
            SlotVerdict::Wait => self.wait_for_decision(decision_receiver, deadline).await?,
        }
        // The slot may have been granted before the process was paused.
        if self.clock.now() >= deadline {
            return Err(Refusal::new(Reason::Deadline, Duration::ZERO));
        }
        self.check_limit(true)?;
        Ok(permit)
    }

    /// Refuses all waiting requests because the agent is leaving.
    pub fn drain(&self) {
        let mut state = self.lock();
        let update = state.admission.drain();
        state.apply(update);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.lock().admission.queued()).unwrap_or(u32::MAX)
    }

    /// Returns the section of the status page.
    #[must_use]
    pub fn status(&self) -> Value {
        let state = self.lock();
        let admission = &state.admission;
        let wait = admission.estimated_wait(Class::Interactive);
        json!({
            "running": admission.running(),
            "queued": admission.queued(),
            "critical": admission.waiting(Class::Critical),
            "interactive": admission.waiting(Class::Interactive),
            "batch": admission.waiting(Class::Batch),
            "wait_ms": u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        })
    }

    fn request_slot(
        self: &Arc<Self>,
        class: Class,
        deadline: Timestamp,
    ) -> (Permit, SlotVerdict, oneshot::Receiver<Decision>) {
        let (sender, decision_receiver) = oneshot::channel();
        let mut state = self.lock();
        // Callers choose request ids, so two orders may share one. The gate therefore uses ids of
        // its own.
        state.last_id += 1;
        let id = RequestId(state.last_id);
        let request = SlotRequest {
            id,
            class,
            deadline,
        };
        let (verdict, update) = state.admission.request_slot(request, self.clock.now());
        if verdict == SlotVerdict::Wait {
            state.waiting.insert(id, sender);
        }
        state.apply(update);
        drop(state);
        let gate = self.clone();
        (Permit { gate, id }, verdict, decision_receiver)
    }

    async fn wait_for_decision(
        &self,
        mut decision_receiver: oneshot::Receiver<Decision>,
        deadline: Timestamp,
    ) -> Decision {
        loop {
            let left = deadline.since(self.clock.now()) + CLOCK_MARGIN;
            tokio::select! {
                decision = &mut decision_receiver => {
                    let leaving = Refusal::new(Reason::Leaving, Duration::ZERO);
                    return decision.unwrap_or(Err(leaving));
                }
                () = tokio::time::sleep(left) => self.refuse_expired(),
            }
        }
    }

    fn refuse_expired(&self) {
        let mut state = self.lock();
        let update = state.admission.poll(self.clock.now());
        state.apply(update);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts the refusal to the form that is sent to the entry.
#[must_use]
pub fn refusal_of(refusal: Refusal) -> wire::Refusal {
    let reason = refusal.reason.label();
    metrics::counter!("apricothall_admission_refused_total", "reason" => reason.to_string())
        .increment(1);
    let (status, retry) = match refusal.reason {
        Reason::Leaving => (503, wire::answer::RETRY_IMMEDIATELY),
        Reason::Deadline => (504, refusal.after),
        _ => (429, refusal.after),
    };
    wire::Refusal {
        outcome: Outcome::NotRun,
        status,
        detail: format_smolstr!("not admitted: {reason}"),
        retry: Some(retry),
    }
}

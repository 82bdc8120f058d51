//! Admission control for one backend server: a request gets a slot, waits in the queue or is
//! refused at once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::admission::{Admission, QueueUpdate, SlotRequest, Verdict};
use apricothall_decide::configs::AdmissionConfig;
use apricothall_decide::limits::{Reason, Refusal};
use apricothall_kernel::Clock;
use apricothall_types::{Class, Outcome, RequestId, Timestamp};
use apricothall_wire as wire;
use serde_json::{Value, json};
use smol_str::format_smolstr;
use tokio::sync::oneshot;

/// Added to the wait for a deadline, so that the deadline has passed when the wait ends.
const CLOCK_MARGIN: Duration = Duration::from_millis(1);

type Decision = Result<(), Refusal>;

struct State {
    admission: Admission,
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
    /// Creates a gate with `slots` free slots.
    #[must_use]
    pub fn new(config: AdmissionConfig, slots: u32, clock: Clock) -> Self {
        let state = State {
            admission: Admission::new(config, slots),
            waiting: HashMap::new(),
            last_id: 0,
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
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
        let (permit, verdict, decision_receiver) = self.request_slot(class, deadline);
        match verdict {
            Verdict::Run => return Ok(permit),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Wait => self.wait_for_decision(decision_receiver, deadline).await?,
        }
        // The slot may have been granted before the process was paused.
        if self.clock.now() >= deadline {
            return Err(Refusal::new(Reason::Deadline, Duration::ZERO));
        }
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
    ) -> (Permit, Verdict, oneshot::Receiver<Decision>) {
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
        if verdict == Verdict::Wait {
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

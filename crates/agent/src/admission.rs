//! Slots of one backend server: a request runs, waits for its turn or is refused at once.

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

/// Added to a wait for a deadline, so that the clock has passed it afterwards.
const TICK: Duration = Duration::from_millis(1);

type Decision = Result<(), Refusal>;

struct State {
    admission: Admission,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    last: u128,
}

impl State {
    /// Tells those who wait what was decided.
    fn apply(&mut self, change: QueueUpdate) {
        let started = change.started.into_iter().map(|id| (id, Ok(())));
        let refused = change.refused.into_iter().map(|(id, r)| (id, Err(r)));
        for (id, decision) in started.chain(refused) {
            if let Some(sender) = self.waiting.remove(&id) {
                // An error means that the order was given up; its permit frees the slot.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Admission to one backend server.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

/// A slot, or a place in the queue, until dropped.
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
        let change = state.admission.finish(self.id, now);
        state.apply(change);
    }
}

impl Gate {
    /// A gate to `slots` free slots.
    #[must_use]
    pub fn new(config: AdmissionConfig, slots: u32, clock: Clock) -> Self {
        let state = State {
            admission: Admission::new(config, slots),
            waiting: HashMap::new(),
            last: 0,
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Waits for a slot. Dropping the future gives the place in the queue back.
    ///
    /// # Errors
    /// The refusal, as soon as it is decided. The request has not run then.
    pub async fn enter(
        self: &Arc<Self>,
        class: Class,
        deadline: Timestamp,
    ) -> Result<Permit, Refusal> {
        let (permit, verdict, decided) = self.ask(class, deadline);
        match verdict {
            Verdict::Run => return Ok(permit),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Wait => self.decision(decided, deadline).await?,
        }
        // The start may have been decided before the process was frozen.
        if self.clock.now() >= deadline {
            return Err(Refusal::new(Reason::Deadline, Duration::ZERO));
        }
        Ok(permit)
    }

    /// Refuses all that wait, as the agent leaves.
    pub fn drain(&self) {
        let mut state = self.lock();
        let change = state.admission.drain();
        state.apply(change);
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.lock().admission.queued()).unwrap_or(u32::MAX)
    }

    /// Section of the status.
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

    fn ask(
        self: &Arc<Self>,
        class: Class,
        deadline: Timestamp,
    ) -> (Permit, Verdict, oneshot::Receiver<Decision>) {
        let (sender, decided) = oneshot::channel();
        let mut state = self.lock();
        // Callers choose request ids, so two orders may share one; this id is the gate's own.
        state.last += 1;
        let id = RequestId(state.last);
        let ask = SlotRequest {
            id,
            class,
            deadline,
        };
        let (verdict, change) = state.admission.request_slot(ask, self.clock.now());
        if verdict == Verdict::Wait {
            state.waiting.insert(id, sender);
        }
        state.apply(change);
        drop(state);
        let gate = self.clone();
        (Permit { gate, id }, verdict, decided)
    }

    async fn decision(
        &self,
        mut decided: oneshot::Receiver<Decision>,
        deadline: Timestamp,
    ) -> Decision {
        loop {
            let left = deadline.since(self.clock.now()) + TICK;
            tokio::select! {
                decision = &mut decided => {
                    let leaving = Refusal::new(Reason::Leaving, Duration::ZERO);
                    return decision.unwrap_or(Err(leaving));
                }
                () = tokio::time::sleep(left) => self.expire(),
            }
        }
    }

    fn expire(&self) {
        let mut state = self.lock();
        let change = state.admission.poll(self.clock.now());
        state.apply(change);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The refusal as an entry is told it.
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

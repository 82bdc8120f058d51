//! Places completions on engines. Suspected requests run alone, and a crash is recorded for all
//! requests that were running.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::prompt_parts::PartStanding;
use apricothall_decide::quarantine::{ArrivalDecision, Crash, Record, check_arrival};
use apricothall_fleet::prompt_texts::{PromptTexts, RunningPrompt, SHARED_TEXT, shared_parts};
use apricothall_fleet::quarantine::{Quarantine, SAME_REQUEST, fingerprint};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{
    Digest, EntryName, Incarnation, MemberId, Outcome, PromptPart, RequestId, Role,
};
use apricothall_wire::{Order, Refusal};
use linkme::distributed_slice;
use smol_str::SmolStr;
use tokio::sync::{OwnedRwLockReadGuard, OwnedRwLockWriteGuard, RwLock};

use crate::servers::Engine;

#[distributed_slice(PLUGINS)]
static SUSPECTS: Plugin = Plugin {
    name: "suspects",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Timeout for an engine to show that it has not crashed.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after which the caller should retry at the other server of the pair.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests running on one engine.
#[derive(Default)]
struct EngineLoad {
    /// Write-locked by a request that runs alone, read-locked by requests that share the batch.
    gate: Arc<RwLock<()>>,
    running: BTreeMap<RequestId, Running>,
}

/// A running request.
struct Running {
    fingerprint: Digest,
    prompt: RunningPrompt,
}

/// Completions on the engines of this VM.
pub struct Placer {
    own_id: MemberId,
    incarnation: Incarnation,
    quarantine: Arc<Quarantine>,
    prompt_texts: Arc<PromptTexts>,
    engine_loads: Mutex<HashMap<SocketAddr, EngineLoad>>,
}

/// Shared or exclusive use of an engine; the guard is held until the request ends.
#[expect(dead_code, reason = "guards act when they are dropped")]
enum EngineAccess {
    Shared(OwnedRwLockReadGuard<()>),
    Alone(OwnedRwLockWriteGuard<()>),
}

/// A request on an engine, until it ends.
pub struct Placement {
    request: RequestId,
    fingerprint: Digest,
    parts: Arc<[PromptPart]>,
    engine: Arc<Engine>,
    access: EngineAccess,
    placer: Arc<Placer>,
    /// Boot id of the engine.
    pub boot: SmolStr,
}

fn start(context: &Context) -> Result<(), StartError> {
    context.provide(Arc::new(Placer {
        own_id: context.settings.daemon.id.clone(),
        incarnation: context.incarnation,
        quarantine: context.component()?,
        prompt_texts: context.component()?,
        engine_loads: Mutex::default(),
    }));
    Ok(())
}

impl Placer {
    /// Waits until the request may run on `engine`.
    ///
    /// # Errors
    /// When the request may not run here.
    pub async fn enter(
        self: &Arc<Self>,
        engine: &Arc<Engine>,
        order: &Order,
        body: &[u8],
    ) -> Result<Placement, Refusal> {
        let fingerprint = fingerprint(&order.name, body);
        let parts: Arc<[_]> = shared_parts(&order.name, body).into();
        if let Some(record) = &order.record {
            self.quarantine.merge(&[(fingerprint, record.clone())]);
        }
        let access = self.acquire_engine(engine, &fingerprint).await?;
        let tried = match self.prompt_texts.standing(&parts) {
            PartStanding::Clear => None,
            PartStanding::Trial(trial) => Some(trial.part),
            PartStanding::Condemned(_) => return Err(condemned(SHARED_TEXT)),
        };
        let boot = engine.state().map(|state| state.boot);
        let boot = boot.ok_or_else(|| retryable_refusal("the engine does not answer"))?;
        let request = order.request;
        let running = Running {
            fingerprint,
            prompt: RunningPrompt {
                parts: parts.clone(),
                tried,
            },
        };
        self.with_load(engine, |load| load.running.insert(request, running));
        Ok(Placement {
            request,
            fingerprint,
            parts,
            engine: engine.clone(),
            access,
            placer: self.clone(),
            boot,
        })
    }

    /// Returns the quarantine record of a request, to report it to the entry.
    #[must_use]
    pub fn record(&self, name: &EntryName, body: &[u8]) -> Option<Record> {
        let fingerprint = fingerprint(name, body);
        self.quarantine
            .read(|records| records.get(&fingerprint).cloned())
    }

    async fn acquire_engine(
        &self,
        engine: &Engine,
        fingerprint: &Digest,
    ) -> Result<EngineAccess, Refusal> {
        let gate = self.with_load(engine, |load| load.gate.clone());
        loop {
            // Checked again after each wait, as the record may have changed meanwhile.
            if self.check_quarantine(fingerprint)? == ArrivalDecision::Alone {
                let guard = gate.clone().write_owned().await;
                if self.check_quarantine(fingerprint)? == ArrivalDecision::Alone {
                    return Ok(EngineAccess::Alone(guard));
                }
                continue;
            }
            let guard = gate.clone().read_owned().await;
            if self.check_quarantine(fingerprint)? == ArrivalDecision::Share {
                return Ok(EngineAccess::Shared(guard));
            }
        }
    }

    fn check_quarantine(&self, fingerprint: &Digest) -> Result<ArrivalDecision, Refusal> {
        let arrival = self
            .quarantine
            .read(|r| check_arrival(r, fingerprint, &self.own_id));
        match arrival {
            ArrivalDecision::Refuse => Err(condemned(SAME_REQUEST)),
            ArrivalDecision::Elsewhere => Err(retryable_refusal("it crashed this server before")),
            arrival => Ok(arrival),
        }
    }

    fn with_load<T>(&self, engine: &Engine, change: impl FnOnce(&mut EngineLoad) -> T) -> T {
        let mut engine_loads = self
            .engine_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        change(engine_loads.entry(engine.config.address).or_default())
    }
}

impl Placement {
    /// Returns whether the request runs alone.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        matches!(self.access, EngineAccess::Alone(_))
    }

    /// Ends a request whose answer is complete.
    pub fn completed(self) {
        self.placer.prompt_texts.record_completion(&self.parts);
        if self.is_alone() {
            self.placer
                .quarantine
                .record_solo_completion(self.fingerprint);
        }
    }

    /// Ends a request whose answer the engine broke off. If the engine has crashed, records all
    /// requests that were running on it and returns the quarantine record of this request.
    pub async fn interrupted(self) -> Option<Record> {
        let state = self.engine.client.state(LIVENESS_TIMEOUT).await;
        if state.is_ok_and(|state| state.boot == self.boot) {
            return None;
        }
        // No request is placed until the engine has reported its new boot.
        self.engine.observe(None);
        let crash = Crash {
            id: self.placer.own_id.clone(),
            incarnation: self.placer.incarnation,
            boot: self.boot.clone(),
        };
        let (fingerprints, prompts): (_, Vec<_>) = self.placer.with_load(&self.engine, |load| {
            let running = load.running.values();
            running.map(|r| (r.fingerprint, r.prompt.clone())).unzip()
        });
        self.placer.prompt_texts.record_crash(&crash, &prompts);
        let quarantine = &self.placer.quarantine;
        quarantine.record_crash(&crash, &fingerprints, self.is_alone());
        quarantine.read(|records| records.get(&self.fingerprint).cloned())
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let request = self.request;
        self.placer
            .with_load(&self.engine, |load| load.running.remove(&request));
    }
}

fn condemned(detail: &'static str) -> Refusal {
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    Refusal {
        outcome: Outcome::NotRun,
        status: 422,
        detail: detail.into(),
        retry: None,
    }
}

fn retryable_refusal(detail: &'static str) -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        status: 503,
        detail: detail.into(),
        retry: Some(RETRY_AFTER),
    }
}

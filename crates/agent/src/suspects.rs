//! Places completions on engines: suspects run alone, and a crash is recorded with all that ran.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::quarantine::{ArrivalDecision, Crash, Record, check_arrival};
use apricothall_fleet::quarantine::{Quarantine, fingerprint};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Digest, EntryName, Incarnation, MemberId, Outcome, RequestId, Role};
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

/// Longest wait for an engine to show that it has not crashed.
const ALIVE_LIMIT: Duration = Duration::from_millis(500);

/// When to come back to the other server of the pair.
const RETRY: Duration = Duration::from_secs(1);

/// What runs on one engine.
#[derive(Default)]
struct Floor {
    /// Held by one for a request that runs alone, or by all that share the batch.
    gate: Arc<RwLock<()>>,
    running: BTreeMap<RequestId, Digest>,
}

/// Requests on the engines of this VM.
pub struct Suspects {
    me: MemberId,
    incarnation: Incarnation,
    quarantine: Arc<Quarantine>,
    floors: Mutex<HashMap<SocketAddr, Floor>>,
}

/// Guards are held until the request ends.
#[expect(dead_code, reason = "guards act when they are dropped")]
enum Turn {
    Shared(OwnedRwLockReadGuard<()>),
    Alone(OwnedRwLockWriteGuard<()>),
}

/// A request's place on an engine until it ends.
pub struct Place {
    request: RequestId,
    fingerprint: Digest,
    engine: Arc<Engine>,
    turn: Turn,
    suspects: Arc<Suspects>,
    /// Start of the engine.
    pub boot: SmolStr,
}

fn start(context: &Context) -> Result<(), StartError> {
    context.provide(Arc::new(Suspects {
        me: context.settings.daemon.id.clone(),
        incarnation: context.incarnation,
        quarantine: context.component()?,
        floors: Mutex::default(),
    }));
    Ok(())
}

impl Suspects {
    /// Waits until the request may run on `engine`.
    ///
    /// # Errors
    /// When it may not run here.
    pub async fn enter(
        self: &Arc<Self>,
        engine: &Arc<Engine>,
        order: &Order,
        body: &[u8],
    ) -> Result<Place, Refusal> {
        let fingerprint = fingerprint(&order.name, body);
        if let Some(record) = &order.record {
            self.quarantine.merge(&[(fingerprint, record.clone())]);
        }
        let turn = self.turn(engine, &fingerprint).await?;
        let boot = engine.state().map(|state| state.boot);
        let boot = boot.ok_or_else(|| elsewhere("the engine does not answer"))?;
        let request = order.request;
        self.floor(engine, |floor| floor.running.insert(request, fingerprint));
        Ok(Place {
            request,
            fingerprint,
            engine: engine.clone(),
            turn,
            suspects: self.clone(),
            boot,
        })
    }

    /// What is known of a request that may not run here, for its entry.
    #[must_use]
    pub fn record(&self, name: &EntryName, body: &[u8]) -> Option<Record> {
        let fingerprint = fingerprint(name, body);
        self.quarantine
            .read(|records| records.get(&fingerprint).cloned())
    }

    async fn turn(&self, engine: &Engine, fingerprint: &Digest) -> Result<Turn, Refusal> {
        let gate = self.floor(engine, |floor| floor.gate.clone());
        loop {
            // Decided again after each wait, which may have brought news.
            if self.arrive(fingerprint)? == ArrivalDecision::Alone {
                let guard = gate.clone().write_owned().await;
                if self.arrive(fingerprint)? == ArrivalDecision::Alone {
                    return Ok(Turn::Alone(guard));
                }
                continue;
            }
            let guard = gate.clone().read_owned().await;
            if self.arrive(fingerprint)? == ArrivalDecision::Share {
                return Ok(Turn::Shared(guard));
            }
        }
    }

    fn arrive(&self, fingerprint: &Digest) -> Result<ArrivalDecision, Refusal> {
        let arrival = self
            .quarantine
            .read(|r| check_arrival(r, fingerprint, &self.me));
        match arrival {
            ArrivalDecision::Refuse => Err(condemned()),
            ArrivalDecision::Elsewhere => Err(elsewhere("it crashed this server before")),
            arrival => Ok(arrival),
        }
    }

    fn floor<T>(&self, engine: &Engine, change: impl FnOnce(&mut Floor) -> T) -> T {
        let mut floors = self.floors.lock().unwrap_or_else(PoisonError::into_inner);
        change(floors.entry(engine.config.address).or_default())
    }
}

impl Place {
    /// Whether the request runs alone.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        matches!(self.turn, Turn::Alone(_))
    }

    /// Ends a request whose answer is whole.
    pub fn completed(self) {
        if self.is_alone() {
            self.suspects.quarantine.completed_alone(self.fingerprint);
        }
    }

    /// Ends a request that the engine broke off. When the engine has crashed, all that ran on it
    /// are recorded, and what is now known of this request is returned.
    pub async fn broken(self) -> Option<Record> {
        let state = self.engine.client.state(ALIVE_LIMIT).await;
        if state.is_ok_and(|state| state.boot == self.boot) {
            return None;
        }
        // Nothing is placed before the engine has shown its new start.
        self.engine.observe(None);
        let crash = Crash {
            id: self.suspects.me.clone(),
            incarnation: self.suspects.incarnation,
            boot: self.boot.clone(),
        };
        let running = self.suspects.floor(&self.engine, |floor| {
            floor.running.values().copied().collect()
        });
        let quarantine = &self.suspects.quarantine;
        quarantine.crashed(&crash, &running, self.is_alone());
        quarantine.read(|records| records.get(&self.fingerprint).cloned())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let request = self.request;
        self.suspects
            .floor(&self.engine, |floor| floor.running.remove(&request));
    }
}

fn condemned() -> Refusal {
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    Refusal {
        outcome: Outcome::NotRun,
        status: 422,
        detail: "servers crashed while they ran this request; it is not run again".into(),
        retry: None,
    }
}

fn elsewhere(detail: &'static str) -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        status: 503,
        detail: detail.into(),
        retry: Some(RETRY),
    }
}

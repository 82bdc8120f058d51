//! Calls that may not be repeated, at their home: the register and the claims of this agent.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::claims::{
    ClaimReply, ClaimRequest, Claims, CreationTime, Denial, OrderDecision, Progress,
};
use apricothall_decide::configs::{ClaimsConfig, DedupeConfig};
use apricothall_decide::dedupe::{
    CallKey, ClockReading, Home, Order, Refusal, Register, RegisterDecision,
};
use apricothall_kernel::Clock;
use apricothall_types::{EntryName, MemberId, RequestId, Timestamp, VmList, WallTime};
use apricothall_wire::{Binding, OnceCall};
use serde_json::{Value, json};
use tokio::sync::watch;

/// One order for a call that may not be repeated, as its home sees it.
#[derive(Clone, Debug)]
pub struct Keyed {
    /// Catalogue entry of the service.
    pub name: EntryName,
    /// The attempt.
    pub request: RequestId,
    /// What the entry sent.
    pub once: OnceCall,
    /// Last point at which the call may be started.
    pub deadline: Timestamp,
}

/// What the home does with an order.
pub enum Step {
    /// The start is recorded: make the call now.
    Run,
    /// The call runs: wait for its end and ask again.
    Wait(watch::Receiver<()>),
    /// The stored answer.
    Replay(Arc<[u8]>),
    /// The call ran, and its answer is no longer kept.
    Ran,
    /// Obtain claims from these agents.
    Claim(ClaimRequest, Vec<MemberId>),
    /// Refused by the register.
    Refuse(Refusal),
    /// Refused for want of claims.
    Deny(Denial),
    /// Unseen here, which says nothing about the other agents of the pool.
    Unseen,
}

struct State {
    register: Register,
    pools: BTreeMap<EntryName, Claims>,
    running: HashMap<CallKey, watch::Sender<()>>,
}

/// The register and the claims of this start of the agent.
pub struct Calls {
    home: Home,
    clock: Clock,
    claims: ClaimsConfig,
    started: ClockReading,
    state: Mutex<State>,
}

impl Calls {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(home: Home, clock: Clock, claims: ClaimsConfig, dedupe: DedupeConfig) -> Self {
        let state = State {
            register: Register::new(home.clone(), dedupe),
            pools: BTreeMap::new(),
            running: HashMap::new(),
        };
        Self {
            home,
            clock,
            claims,
            started: clocks(clock),
            state: Mutex::new(state),
        }
    }

    /// Last point for the start of a call that was sent at `sent` with `budget` left.
    #[must_use]
    pub fn deadline(&self, sent: WallTime, budget: Duration) -> Timestamp {
        let millis = u64::try_from(budget.as_millis()).unwrap_or(u64::MAX);
        let end = WallTime(sent.0.saturating_add(millis));
        clocks(self.clock).deadline(budget, end, self.claims.skew.0)
    }

    /// Whether `deadline` has passed.
    #[must_use]
    pub fn is_late(&self, deadline: Timestamp) -> bool {
        self.clock.now() >= deadline
    }

    /// Time left until `deadline`.
    #[must_use]
    pub fn left(&self, deadline: Timestamp) -> Duration {
        deadline.since(self.clock.now())
    }

    /// Decides on an order.
    pub fn order(&self, call: &Keyed) -> Step {
        let clock = clocks(self.clock);
        let mut state = self.lock();
        match &call.once.binding {
            Binding::Ticket { home, expires } => {
                let order = order_of(call, home.clone(), *expires);
                state.ticket(&order, call.once.lookup_only, clock)
            }
            Binding::Claims { created } => {
                let order = self.claimed(&state, call, *created, clock);
                state.claimed(&order, call, *created, clock)
            }
        }
    }

    /// Takes in the answer to a claim. Nothing while more answers are needed.
    pub fn reply(&self, call: &Keyed, reply: &ClaimReply) -> Option<Step> {
        let clock = clocks(self.clock);
        let mut state = self.lock();
        let progress = state.pools.get_mut(&call.name)?.handle_reply(reply, clock);
        match progress {
            Progress::Wait => None,
            Progress::Refuse(denied) => Some(Step::Deny(denied)),
            Progress::Run => {
                let order = self.claimed(&state, call, created_of(&call.once), clock);
                Some(state.admit(&order, clock))
            }
        }
    }

    /// Answers the claim of a younger agent of the pool.
    pub fn answer(&self, name: &EntryName, ask: &ClaimRequest) -> Option<ClaimReply> {
        let clock = clocks(self.clock);
        let reply = self.lock().pools.get_mut(name)?.handle_request(ask, clock);
        Some(reply)
    }

    /// Takes in a VM list that was asked for at `asked`, for the pool of one catalogue entry.
    pub fn observe(&self, name: &EntryName, pool: &[MemberId], list: &VmList, asked: Timestamp) {
        let clock = clocks(self.clock);
        let mut state = self.lock();
        let fresh = || Claims::new(self.home.clone(), self.claims.clone(), self.started);
        let claims = state.pools.entry(name.clone()).or_insert_with(fresh);
        claims.view().observe(list, pool, asked, clock);
    }

    /// Whether this agent holds claims for a catalogue entry.
    #[must_use]
    pub fn knows(&self, name: &EntryName) -> bool {
        self.lock().pools.contains_key(name)
    }

    /// Records the end of a started call, and tells those who wait for it.
    pub fn end(&self, key: CallKey, end: End) {
        let mut state = self.lock();
        match end {
            End::Answered(answer) => state.register.finished(key, answer),
            End::Unsent => state.register.unsent(key),
            End::Lost => state.register.lost(key),
        }
        state.running.remove(&key);
    }

    /// The status section of the register.
    #[must_use]
    pub fn register_status(&self) -> Value {
        let state = self.lock();
        json!({
            "calls": state.register.len(),
            "running": state.running.len(),
            "answer_bytes": state.register.answer_bytes(),
        })
    }

    /// The status section of the claims.
    #[must_use]
    pub fn claims_status(&self) -> Value {
        let now = self.clock.now();
        let wall = self.clock.wall();
        let mut state = self.lock();
        let pools = state.pools.iter_mut().map(|(name, claims)| {
            let keys = claims.len();
            let view = claims.view();
            let retries = self.claims.opaque_horizon.0.as_millis();
            let oldest = wall
                .0
                .saturating_sub(u64::try_from(retries).unwrap_or(u64::MAX));
            let section = json!({
                "keys": keys,
                "lease": view.position(now).is_some(),
                "settled": view.is_settled(wall),
                "settled_opaque": view.is_settled(WallTime(oldest)),
                "older": view.older(WallTime(oldest)),
            });
            (name.to_string(), section)
        });
        Value::Object(pools.collect())
    }

    /// The register's order for a call by its key alone. An opaque key keeps its first expiry.
    fn claimed(
        &self,
        state: &State,
        call: &Keyed,
        created: Option<WallTime>,
        clock: ClockReading,
    ) -> Order {
        let known = state.register.expires(call.once.key);
        let birth = created.map_or(CreationTime::Bounded(clock.wall), CreationTime::Created);
        let expires = known.unwrap_or_else(|| birth.retained_until(&self.claims));
        order_of(call, self.home.clone(), expires)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a started call ended.
pub enum End {
    /// With an answer, in the form that is kept.
    Answered(Arc<[u8]>),
    /// No byte reached the server.
    Unsent,
    /// The server was lost.
    Lost,
}

impl State {
    fn ticket(&mut self, order: &Order, ask: bool, clock: ClockReading) -> Step {
        if ask {
            let admit = self.register.query(order, clock);
            return self.step(order.key, admit);
        }
        self.admit(order, clock)
    }

    fn claimed(
        &mut self,
        order: &Order,
        call: &Keyed,
        created: Option<WallTime>,
        clock: ClockReading,
    ) -> Step {
        if call.once.lookup_only {
            return self.known(order, clock);
        }
        let Some(claims) = self.pools.get_mut(&call.name) else {
            return Step::Deny(Denial::NoLease);
        };
        match claims.handle_order(order.key, created, order.deadline, clock) {
            OrderDecision::RequestClaims(ask, ids) => Step::Claim(ask, ids.into_iter().collect()),
            OrderDecision::Run => self.admit(order, clock),
            OrderDecision::Known => self.known(order, clock),
            OrderDecision::Refuse(denied) => Step::Deny(denied),
        }
    }

    /// What became of a call that may have been started here; nothing is started now.
    fn known(&mut self, order: &Order, clock: ClockReading) -> Step {
        if self.register.expires(order.key).is_none() {
            return Step::Unseen;
        }
        let admit = self.register.query(order, clock);
        self.step(order.key, admit)
    }

    fn admit(&mut self, order: &Order, clock: ClockReading) -> Step {
        let admit = self.register.admit(order, clock);
        if admit == RegisterDecision::Run {
            self.running.insert(order.key, watch::Sender::new(()));
        }
        self.step(order.key, admit)
    }

    fn step(&self, key: CallKey, admit: RegisterDecision) -> Step {
        match admit {
            RegisterDecision::Run => Step::Run,
            RegisterDecision::Replay(answer) => Step::Replay(answer),
            RegisterDecision::Ran => Step::Ran,
            RegisterDecision::Refuse(refusal) => Step::Refuse(refusal),
            RegisterDecision::Attach(_) => match self.running.get(&key) {
                Some(running) => Step::Wait(running.subscribe()),
                None => Step::Refuse(Refusal::Lost),
            },
        }
    }
}

fn order_of(call: &Keyed, home: Home, expires: WallTime) -> Order {
    Order {
        home,
        key: call.once.key,
        fingerprint: call.once.fingerprint,
        request: call.request,
        deadline: call.deadline,
        expires,
    }
}

fn created_of(once: &OnceCall) -> Option<WallTime> {
    match once.binding {
        Binding::Claims { created } => created,
        Binding::Ticket { .. } => None,
    }
}

fn clocks(clock: Clock) -> ClockReading {
    ClockReading {
        now: clock.now(),
        wall: clock.wall(),
    }
}

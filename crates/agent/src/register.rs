//! State of keyed calls at their home: the register and the claims of this agent.

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

/// An order for a keyed call, as received by its home.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Catalogue entry of the service.
    pub name: EntryName,
    /// Request id of the attempt.
    pub request: RequestId,
    /// Key, fingerprint and binding sent by the entry.
    pub once: OnceCall,
    /// Time after which the call must not be started.
    pub deadline: Timestamp,
}

/// Next step of the home for an order.
pub enum CallStep {
    /// The start is recorded; make the call now.
    Run,
    /// The call is running; wait for its end and decide again.
    Wait(watch::Receiver<()>),
    /// Return the stored answer.
    Replay(Arc<[u8]>),
    /// The call ran, and its answer is no longer stored.
    Ran,
    /// Obtain claims from these agents first.
    Claim(ClaimRequest, Vec<MemberId>),
    /// Refused by the register.
    Refuse(Refusal),
    /// Refused because the claims were not obtained.
    Deny(Denial),
    /// This agent has no record of the call; another agent of the pool may have one.
    NotSeen,
}

struct State {
    register: Register,
    pools: BTreeMap<EntryName, Claims>,
    running: HashMap<CallKey, watch::Sender<()>>,
}

/// Register and claims of this incarnation of the agent.
pub struct CallStates {
    home: Home,
    clock: Clock,
    claims: ClaimsConfig,
    started: ClockReading,
    state: Mutex<State>,
}

impl CallStates {
    /// Creates an empty register without claims.
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
            started: read_clock(clock),
            state: Mutex::new(state),
        }
    }

    /// Returns the time after which a call that was sent at `sent` with `budget` left must not be
    /// started.
    #[must_use]
    pub fn deadline(&self, sent: WallTime, budget: Duration) -> Timestamp {
        let millis = u64::try_from(budget.as_millis()).unwrap_or(u64::MAX);
        let end = WallTime(sent.0.saturating_add(millis));
        read_clock(self.clock).deadline(budget, end, self.claims.skew.0)
    }

    /// Returns whether `deadline` has passed.
    #[must_use]
    pub fn is_late(&self, deadline: Timestamp) -> bool {
        self.clock.now() >= deadline
    }

    /// Returns the time left until `deadline`.
    #[must_use]
    pub fn left(&self, deadline: Timestamp) -> Duration {
        deadline.since(self.clock.now())
    }

    /// Decides the next step for an order.
    pub fn handle_order(&self, call: &KeyedCall) -> CallStep {
        let clock = read_clock(self.clock);
        let mut state = self.lock();
        match &call.once.binding {
            Binding::Ticket { home, expires } => {
                let order = order_of(call, home.clone(), *expires);
                state.handle_ticket_order(&order, call.once.lookup_only, clock)
            }
            Binding::Claims { created } => {
                let order = self.order_by_key(&state, call, *created, clock);
                state.handle_claims_order(&order, call, *created, clock)
            }
        }
    }

    /// Handles the reply to a claim. Returns `None` while more replies are needed.
    pub fn handle_reply(&self, call: &KeyedCall, reply: &ClaimReply) -> Option<CallStep> {
        let clock = read_clock(self.clock);
        let mut state = self.lock();
        let progress = state.pools.get_mut(&call.name)?.handle_reply(reply, clock);
        match progress {
            Progress::Wait => None,
            Progress::Refuse(denied) => Some(CallStep::Deny(denied)),
            Progress::Run => {
                let order = self.order_by_key(&state, call, created_of(&call.once), clock);
                Some(state.admit(&order, clock))
            }
        }
    }

    /// Answers a claim of a younger agent of the pool. Returns `None` if this agent holds no claims
    /// for the entry.
    pub fn handle_claim(&self, name: &EntryName, request: &ClaimRequest) -> Option<ClaimReply> {
        let clock = read_clock(self.clock);
        let reply = self
            .lock()
            .pools
            .get_mut(name)?
            .handle_request(request, clock);
        Some(reply)
    }

    /// Updates the pool of one catalogue entry from a VM list that was requested at `requested_at`.
    pub fn observe(
        &self,
        name: &EntryName,
        pool: &[MemberId],
        list: &VmList,
        requested_at: Timestamp,
    ) {
        let clock = read_clock(self.clock);
        let mut state = self.lock();
        let fresh = || Claims::new(self.home.clone(), self.claims.clone(), self.started);
        let claims = state.pools.entry(name.clone()).or_insert_with(fresh);
        claims.view().observe(list, pool, requested_at, clock);
    }

    /// Returns whether this agent holds claims for a catalogue entry.
    #[must_use]
    pub fn holds_claims(&self, name: &EntryName) -> bool {
        self.lock().pools.contains_key(name)
    }

    /// Records the end of a started call and wakes the orders that wait for it.
    pub fn record_end(&self, key: CallKey, end: CallEnd) {
        let mut state = self.lock();
        match end {
            CallEnd::Answered(answer) => state.register.finished(key, answer),
            CallEnd::Unsent => state.register.unsent(key),
            CallEnd::Lost => state.register.lost(key),
        }
        state.running.remove(&key);
    }

    /// Returns the status section of the register.
    #[must_use]
    pub fn register_status(&self) -> Value {
        let state = self.lock();
        json!({
            "calls": state.register.len(),
            "running": state.running.len(),
            "answer_bytes": state.register.answer_bytes(),
        })
    }

    /// Returns the status section of the claims.
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

    /// Builds the register's order for a call without a ticket. An opaque key keeps the expiry of
    /// its first order.
    fn order_by_key(
        &self,
        state: &State,
        call: &KeyedCall,
        created: Option<WallTime>,
        clock: ClockReading,
    ) -> Order {
        let known = state.register.expires(call.once.key);
        let creation = created.map_or(CreationTime::Bounded(clock.wall), CreationTime::Created);
        let expires = known.unwrap_or_else(|| creation.retained_until(&self.claims));
        order_of(call, self.home.clone(), expires)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a started call ended.
pub enum CallEnd {
    /// With an answer, in its stored form.
    Answered(Arc<[u8]>),
    /// No byte was sent to the server.
    Unsent,
    /// The server was lost.
    Lost,
}

impl State {
    fn handle_ticket_order(
        &mut self,
        order: &Order,
        query_only: bool,
        clock: ClockReading,
    ) -> CallStep {
        if query_only {
            let decision = self.register.query(order, clock);
            return self.step_of(order.key, decision);
        }
        self.admit(order, clock)
    }

    fn handle_claims_order(
        &mut self,
        order: &Order,
        call: &KeyedCall,
        created: Option<WallTime>,
        clock: ClockReading,
    ) -> CallStep {
        if call.once.lookup_only {
            return self.look_up(order, clock);
        }
        let Some(claims) = self.pools.get_mut(&call.name) else {
            return CallStep::Deny(Denial::NoLease);
        };
        match claims.handle_order(order.key, created, order.deadline, clock) {
            OrderDecision::RequestClaims(request, ids) => {
                CallStep::Claim(request, ids.into_iter().collect())
            }
            OrderDecision::Run => self.admit(order, clock),
            OrderDecision::Known => self.look_up(order, clock),
            OrderDecision::Refuse(denied) => CallStep::Deny(denied),
        }
    }

    /// Returns the result of a call that may have been started here, without starting it.
    fn look_up(&mut self, order: &Order, clock: ClockReading) -> CallStep {
        if self.register.expires(order.key).is_none() {
            return CallStep::NotSeen;
        }
        let decision = self.register.query(order, clock);
        self.step_of(order.key, decision)
    }

    fn admit(&mut self, order: &Order, clock: ClockReading) -> CallStep {
        let decision = self.register.admit(order, clock);
        if decision == RegisterDecision::Run {
            self.running.insert(order.key, watch::Sender::new(()));
        }
        self.step_of(order.key, decision)
    }

    fn step_of(&self, key: CallKey, decision: RegisterDecision) -> CallStep {
        match decision {
            RegisterDecision::Run => CallStep::Run,
            RegisterDecision::Replay(answer) => CallStep::Replay(answer),
            RegisterDecision::Ran => CallStep::Ran,
            RegisterDecision::Refuse(refusal) => CallStep::Refuse(refusal),
            RegisterDecision::Attach(_) => match self.running.get(&key) {
                Some(running) => CallStep::Wait(running.subscribe()),
                None => CallStep::Refuse(Refusal::Lost),
            },
        }
    }
}

fn order_of(call: &KeyedCall, home: Home, expires: WallTime) -> Order {
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

fn read_clock(clock: Clock) -> ClockReading {
    ClockReading {
        now: clock.now(),
        wall: clock.wall(),
    }
}

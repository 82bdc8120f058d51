//! State of the claim protocol at one agent, as requester and as replier.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_types::{MemberId, Timestamp, WallTime};

use super::view::{PoolView, after};
use super::{ClaimReply, ClaimRequest, CreationTime, Denial, Position, Verdict};
use crate::configs::{ClaimsConfig, OpaqueKeys};
use crate::dedupe::{CallKey, ClockReading, Home};

/// Decision on an order with an idempotency key and no ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// Send the request to these agents, and again to those that do not reply.
    RequestClaims(ClaimRequest, BTreeSet<MemberId>),
    /// Start the call now.
    Run,
    /// The call was started at this agent before; the register holds its state.
    Known,
    /// Do not start the call.
    Refuse(Denial),
}

/// Decision on a claim reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More replies are needed, or this one has no effect.
    Wait,
    /// All claims are granted; start the call now.
    Run,
    /// Do not start the call.
    Refuse(Denial),
}

/// An attempt of this agent to start a key.
#[derive(Clone, Debug)]
struct Attempt {
    position: Position,
    deadline: Timestamp,
    granted: BTreeSet<MemberId>,
    required: BTreeSet<MemberId>,
}

#[derive(Clone, Debug)]
enum KeyState {
    /// This agent has requested claims. It replies `Seen` to others from its first request on.
    Requesting(Attempt),
    /// Started at this agent.
    Started,
    /// Not started by any agent, and never will be.
    Tombstone,
    /// Claimed by a younger agent, so never started at this one.
    Claimed(Home),
}

/// Claims known to one incarnation of an agent. Held in memory only, so lost on restart.
#[derive(Clone, Debug)]
pub struct Claims {
    me: Home,
    config: ClaimsConfig,
    boot: WallTime,
    view: PoolView,
    keys: BTreeMap<CallKey, KeyState>,
    /// Keys ordered by the time until which they are retained.
    expiries: BTreeSet<(WallTime, CallKey)>,
    /// Largest wall time read so far. It never decreases, so a removed key stays refused even if
    /// the wall clock is set back.
    latest_wall: WallTime,
}

impl Claims {
    /// Creates the state of an agent that started at `clock`.
    #[must_use]
    pub fn new(me: Home, config: ClaimsConfig, clock: ClockReading) -> Self {
        Self {
            view: PoolView::new(me.id.clone(), config.clone()),
            me,
            config,
            boot: clock.wall,
            keys: BTreeMap::new(),
            expiries: BTreeSet::new(),
            latest_wall: clock.wall,
        }
    }

    /// The agent's view of its pool, to be updated with VM lists.
    pub fn view(&mut self) -> &mut PoolView {
        &mut self.view
    }

    /// Number of retained keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides on an order. `birth` is the key's [`super::creation_time`].
    pub fn handle_order(
        &mut self,
        key: CallKey,
        birth: Option<WallTime>,
        deadline: Timestamp,
        clock: ClockReading,
    ) -> OrderDecision {
        let Some(birth) = self.birth_bound(birth, clock) else {
            return OrderDecision::Refuse(Denial::Opaque);
        };
        self.expire(clock.wall);
        if self.is_expired(birth) {
            return OrderDecision::Refuse(Denial::Expired);
        }
        let granted = match self.keys.get(&key) {
            Some(KeyState::Started) => return OrderDecision::Known,
            Some(KeyState::Tombstone) => return OrderDecision::Refuse(Denial::TooLate),
            Some(KeyState::Claimed(_)) => {
                return OrderDecision::Refuse(Denial::Held(Verdict::Claimed));
            }
            Some(KeyState::Requesting(attempt)) => attempt.granted.clone(),
            None => BTreeSet::new(),
        };
        match self.attempt(birth, deadline, granted, clock) {
            Ok(attempt) => self.begin(key, birth, attempt, clock),
            Err(denied) => OrderDecision::Refuse(denied),
        }
    }

    /// An order for a key without an encoded time arrives at most
    /// [`ClaimsConfig::opaque_horizon`] after the first order for it.
    fn birth_bound(&self, created: Option<WallTime>, clock: ClockReading) -> Option<CreationTime> {
        if let Some(time) = created {
            return Some(CreationTime::Created(time));
        }
        let span = u64::try_from(self.config.opaque_horizon.0.as_millis()).unwrap_or(u64::MAX);
        let first = WallTime(clock.wall.0.saturating_sub(span));
        (self.config.opaque == OpaqueKeys::Accept).then_some(CreationTime::Bounded(first))
    }

    fn attempt(
        &self,
        birth: CreationTime,
        deadline: Timestamp,
        granted: BTreeSet<MemberId>,
        clock: ClockReading,
    ) -> Result<Attempt, Denial> {
        if birth.time() > after(clock.wall, self.config.skew.0) {
            return Err(Denial::Future);
        }
        let position = self.view.position(clock.now).ok_or(Denial::NoLease)?;
        if !self.view.is_settled(birth.time()) {
            return Err(Denial::Unsettled);
        }
        Ok(Attempt {
            position: position.clone(),
            deadline,
            granted,
            required: self.view.older(birth.time()),
        })
    }

    fn begin(
        &mut self,
        key: CallKey,
        birth: CreationTime,
        attempt: Attempt,
        clock: ClockReading,
    ) -> OrderDecision {
        let missing: BTreeSet<_> = attempt.missing().cloned().collect();
        if !self.set_state(key, birth, KeyState::Requesting(attempt)) {
            return OrderDecision::Refuse(Denial::Full);
        }
        if missing.is_empty() {
            return match self.start(key, clock) {
                Ok(()) => OrderDecision::Run,
                Err(denied) => OrderDecision::Refuse(denied),
            };
        }
        let by = self.me.clone();
        OrderDecision::RequestClaims(ClaimRequest { key, birth, by }, missing)
    }

    /// Replies to a younger agent's claim request.
    pub fn handle_request(&mut self, request: &ClaimRequest, clock: ClockReading) -> ClaimReply {
        self.expire(clock.wall);
        ClaimReply {
            key: request.key,
            from: self.me.id.clone(),
            to: request.by.clone(),
            verdict: self.verdict(request),
        }
    }

    fn verdict(&mut self, request: &ClaimRequest) -> Verdict {
        // A previous incarnation of this agent may have run the key or granted it.
        let forgotten = request.birth.time() <= after(self.boot, 2 * self.config.skew.0);
        if forgotten || self.is_expired(request.birth) {
            return Verdict::Unsure;
        }
        match self.keys.get(&request.key) {
            Some(KeyState::Claimed(by)) if *by == request.by => return Verdict::Granted,
            Some(KeyState::Claimed(_)) => return Verdict::Claimed,
            Some(_) => return Verdict::Seen,
            None => {}
        }
        if self.set_state(
            request.key,
            request.birth,
            KeyState::Claimed(request.by.clone()),
        ) {
            return Verdict::Granted;
        }
        Verdict::Unsure
    }

    /// Applies a reply. Late, duplicate and misdirected replies have no effect.
    pub fn handle_reply(&mut self, reply: &ClaimReply, clock: ClockReading) -> Progress {
        self.expire(clock.wall);
        if reply.to != self.me {
            return Progress::Wait;
        }
        let Some(KeyState::Requesting(attempt)) = self.keys.get_mut(&reply.key) else {
            return Progress::Wait;
        };
        if reply.verdict != Verdict::Granted {
            return Progress::Refuse(Denial::Held(reply.verdict));
        }
        attempt.granted.insert(reply.from.clone());
        if attempt.missing().next().is_some() {
            return Progress::Wait;
        }
        match self.start(reply.key, clock) {
            Ok(()) => Progress::Run,
            Err(denied) => Progress::Refuse(denied),
        }
    }

    /// Reason to refuse an attempt whose replies did not arrive in time, or `None` if no attempt is
    /// in progress. A later order for the key resumes the attempt at this agent.
    #[must_use]
    pub fn timeout(&self, key: CallKey) -> Option<Denial> {
        let requesting = matches!(self.keys.get(&key), Some(KeyState::Requesting(_)));
        requesting.then_some(Denial::Silent)
    }

    /// Final check before the start: the lease or deadline may have expired, or the position
    /// changed, while claims were requested.
    fn start(&mut self, key: CallKey, clock: ClockReading) -> Result<(), Denial> {
        let Some(state) = self.keys.get_mut(&key) else {
            return Err(Denial::Expired);
        };
        let KeyState::Requesting(attempt) = state else {
            return Err(Denial::Held(Verdict::Seen));
        };
        let held = self.view.position(clock.now) == Some(&attempt.position);
        if !held || clock.now >= attempt.deadline {
            *state = KeyState::Tombstone;
            return Err(Denial::TooLate);
        }
        *state = KeyState::Started;
        Ok(())
    }

    /// Sets the state of a key. Returns false if the key is new and the key table is full.
    fn set_state(&mut self, key: CallKey, birth: CreationTime, state: KeyState) -> bool {
        let known = self.keys.contains_key(&key);
        if !known && self.keys.len() >= self.config.max_marks {
            return false;
        }
        if !known {
            self.expiries
                .insert((birth.retained_until(&self.config), key));
        }
        self.keys.insert(key, state);
        true
    }

    fn is_expired(&self, birth: CreationTime) -> bool {
        self.latest_wall > birth.accepted_until(&self.config)
    }

    fn expire(&mut self, wall: WallTime) {
        self.latest_wall = self.latest_wall.max(wall);
        self.view.expire(self.latest_wall);
        while let Some((end, key)) = self.expiries.first().copied() {
            if self.latest_wall <= end {
                return;
            }
            self.expiries.remove(&(end, key));
            self.keys.remove(&key);
        }
    }
}

impl Attempt {
    fn missing(&self) -> impl Iterator<Item = &MemberId> {
        self.required.difference(&self.granted)
    }
}

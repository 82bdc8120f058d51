//! One agent's side of the claims: it asks older agents and answers younger ones.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_types::{MemberId, Timestamp, WallTime};

use super::view::{PoolView, after};
use super::{Birth, ClaimReply, ClaimRequest, Denial, Position, Verdict};
use crate::configs::{ClaimsConfig, OpaqueKeys};
use crate::dedupe::{CallKey, Clock, Home};

/// Decision on an order that carries only a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// Ask these agents; repeat it for those that stay silent.
    RequestClaims(ClaimRequest, BTreeSet<MemberId>),
    /// Start it now.
    Run,
    /// Started here before: the register knows what became of it.
    Known,
    /// Not started.
    Refuse(Denial),
}

/// Decision on a claim's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More answers are needed, or this one changes nothing.
    Wait,
    /// All claims are granted: start it now.
    Run,
    /// Not started.
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
    /// This agent asks or asked for claims. It answers `Seen` from the first question on.
    Trying(Attempt),
    /// Started here.
    Started,
    /// Never started here, nor anywhere else.
    Tombstone,
    /// Claimed by a younger agent: never started here.
    Claimed(Home),
}

/// The claims that one start of an agent knows. Nothing of it outlives the daemon.
#[derive(Clone, Debug)]
pub struct Claims {
    me: Home,
    config: ClaimsConfig,
    boot: WallTime,
    view: PoolView,
    keys: BTreeMap<CallKey, KeyState>,
    /// Keys by the time until which they are remembered.
    expiries: BTreeSet<(WallTime, CallKey)>,
    /// Largest wall time seen. It never goes back, so a forgotten key stays refused.
    floor: WallTime,
}

impl Claims {
    /// An agent that started at `clock`.
    #[must_use]
    pub fn new(me: Home, config: ClaimsConfig, clock: Clock) -> Self {
        Self {
            view: PoolView::new(me.id.clone(), config.clone()),
            me,
            config,
            boot: clock.wall,
            keys: BTreeMap::new(),
            expiries: BTreeSet::new(),
            floor: clock.wall,
        }
    }

    /// The agent's view, to take in VM lists.
    pub fn view(&mut self) -> &mut PoolView {
        &mut self.view
    }

    /// Keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides on an order. `birth` is [`super::creation_time`] the key.
    pub fn handle_order(
        &mut self,
        key: CallKey,
        birth: Option<WallTime>,
        deadline: Timestamp,
        clock: Clock,
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
            Some(KeyState::Trying(attempt)) => attempt.granted.clone(),
            None => BTreeSet::new(),
        };
        match self.attempt(birth, deadline, granted, clock) {
            Ok(attempt) => self.begin(key, birth, attempt, clock),
            Err(denied) => OrderDecision::Refuse(denied),
        }
    }

    /// An order without a time is at most [`ClaimsConfig::opaque_horizon`] later than the first.
    fn birth_bound(&self, created: Option<WallTime>, clock: Clock) -> Option<Birth> {
        if let Some(time) = created {
            return Some(Birth::Created(time));
        }
        let span = u64::try_from(self.config.opaque_horizon.0.as_millis()).unwrap_or(u64::MAX);
        let first = WallTime(clock.wall.0.saturating_sub(span));
        (self.config.opaque == OpaqueKeys::Accept).then_some(Birth::Bounded(first))
    }

    fn attempt(
        &self,
        birth: Birth,
        deadline: Timestamp,
        granted: BTreeSet<MemberId>,
        clock: Clock,
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
        birth: Birth,
        attempt: Attempt,
        clock: Clock,
    ) -> OrderDecision {
        let missing: BTreeSet<_> = attempt.missing().cloned().collect();
        if !self.remember(key, birth, KeyState::Trying(attempt)) {
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

    /// Answers a younger agent.
    pub fn handle_request(&mut self, ask: &ClaimRequest, clock: Clock) -> ClaimReply {
        self.expire(clock.wall);
        ClaimReply {
            key: ask.key,
            from: self.me.id.clone(),
            to: ask.by.clone(),
            verdict: self.verdict(ask),
        }
    }

    fn verdict(&mut self, ask: &ClaimRequest) -> Verdict {
        // An earlier start of this agent may have run or granted the key.
        let forgotten = ask.birth.time() <= after(self.boot, 2 * self.config.skew.0);
        if forgotten || self.is_expired(ask.birth) {
            return Verdict::Unsure;
        }
        match self.keys.get(&ask.key) {
            Some(KeyState::Claimed(by)) if *by == ask.by => return Verdict::Granted,
            Some(KeyState::Claimed(_)) => return Verdict::Claimed,
            Some(_) => return Verdict::Seen,
            None => {}
        }
        if self.remember(ask.key, ask.birth, KeyState::Claimed(ask.by.clone())) {
            return Verdict::Granted;
        }
        Verdict::Unsure
    }

    /// Takes in an answer. Late, repeated and misdirected ones are harmless.
    pub fn handle_reply(&mut self, reply: &ClaimReply, clock: Clock) -> Progress {
        self.expire(clock.wall);
        if reply.to != self.me {
            return Progress::Wait;
        }
        let Some(KeyState::Trying(attempt)) = self.keys.get_mut(&reply.key) else {
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

    /// Why an attempt whose answers did not come in time is refused; a later order for the key
    /// resumes it here. Nothing when the key is not being tried.
    #[must_use]
    pub fn timeout(&self, key: CallKey) -> Option<Denial> {
        let trying = matches!(self.keys.get(&key), Some(KeyState::Trying(_)));
        trying.then_some(Denial::Silent)
    }

    /// The last check before the start: lease, position and deadline may have passed meanwhile.
    fn start(&mut self, key: CallKey, clock: Clock) -> Result<(), Denial> {
        let Some(state) = self.keys.get_mut(&key) else {
            return Err(Denial::Expired);
        };
        let KeyState::Trying(attempt) = state else {
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

    fn remember(&mut self, key: CallKey, birth: Birth, state: KeyState) -> bool {
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

    fn is_expired(&self, birth: Birth) -> bool {
        self.floor > birth.accepted_until(&self.config)
    }

    fn expire(&mut self, wall: WallTime) {
        self.floor = self.floor.max(wall);
        self.view.expire(self.floor);
        while let Some((end, key)) = self.expiries.first().copied() {
            if self.floor <= end {
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

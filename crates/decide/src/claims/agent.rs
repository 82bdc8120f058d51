//! One agent's side of the claims: it asks older agents and answers younger ones.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_types::{MemberId, Timestamp, WallTime};

use super::view::{View, after};
use super::{Ask, Birth, Denied, Position, Reply, Verdict};
use crate::configs::{ClaimsConfig, OpaqueKeys};
use crate::dedupe::{CallKey, Clock, Home};

/// Decision on an order that carries only a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Ask these agents; repeat it for those that stay silent.
    Ask(Ask, BTreeSet<MemberId>),
    /// Start it now.
    Run,
    /// Started here before: the register knows what became of it.
    Known,
    /// Not started.
    Refuse(Denied),
}

/// Decision on a claim's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More answers are needed, or this one changes nothing.
    Wait,
    /// All claims are granted: start it now.
    Run,
    /// Not started.
    Refuse(Denied),
}

/// An attempt of this agent to start a key.
#[derive(Clone, Debug)]
struct Attempt {
    position: Position,
    deadline: Timestamp,
    granted: BTreeSet<MemberId>,
    wanted: BTreeSet<MemberId>,
}

#[derive(Clone, Debug)]
enum Mark {
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
    view: View,
    marks: BTreeMap<CallKey, Mark>,
    /// Keys by the time until which they are remembered.
    ends: BTreeSet<(WallTime, CallKey)>,
    /// Largest wall time seen. It never goes back, so a forgotten key stays refused.
    floor: WallTime,
}

impl Claims {
    /// An agent that started at `clock`.
    #[must_use]
    pub fn new(me: Home, config: ClaimsConfig, clock: Clock) -> Self {
        Self {
            view: View::new(me.id.clone(), config.clone()),
            me,
            config,
            boot: clock.wall,
            marks: BTreeMap::new(),
            ends: BTreeSet::new(),
            floor: clock.wall,
        }
    }

    /// The agent's view, to take in VM lists.
    pub fn view(&mut self) -> &mut View {
        &mut self.view
    }

    /// Keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Decides on an order. `birth` is [`super::birth_of`] the key.
    pub fn order(
        &mut self,
        key: CallKey,
        birth: Option<WallTime>,
        deadline: Timestamp,
        clock: Clock,
    ) -> Start {
        let Some(birth) = self.birth(birth, clock) else {
            return Start::Refuse(Denied::Opaque);
        };
        self.expire(clock.wall);
        if self.is_expired(birth) {
            return Start::Refuse(Denied::Expired);
        }
        let granted = match self.marks.get(&key) {
            Some(Mark::Started) => return Start::Known,
            Some(Mark::Tombstone) => return Start::Refuse(Denied::TooLate),
            Some(Mark::Claimed(_)) => return Start::Refuse(Denied::Held(Verdict::Claimed)),
            Some(Mark::Trying(attempt)) => attempt.granted.clone(),
            None => BTreeSet::new(),
        };
        match self.attempt(birth, deadline, granted, clock) {
            Ok(attempt) => self.begin(key, birth, attempt, clock),
            Err(denied) => Start::Refuse(denied),
        }
    }

    /// An order without a time is at most [`ClaimsConfig::opaque_horizon`] later than the first.
    fn birth(&self, created: Option<WallTime>, clock: Clock) -> Option<Birth> {
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
    ) -> Result<Attempt, Denied> {
        if birth.time() > after(clock.wall, self.config.skew.0) {
            return Err(Denied::Future);
        }
        let position = self.view.position(clock.now).ok_or(Denied::NoLease)?;
        if !self.view.is_settled(birth.time()) {
            return Err(Denied::Unsettled);
        }
        Ok(Attempt {
            position: position.clone(),
            deadline,
            granted,
            wanted: self.view.older(birth.time()),
        })
    }

    fn begin(&mut self, key: CallKey, birth: Birth, attempt: Attempt, clock: Clock) -> Start {
        let missing: BTreeSet<_> = attempt.missing().cloned().collect();
        if !self.mark(key, birth, Mark::Trying(attempt)) {
            return Start::Refuse(Denied::Full);
        }
        if missing.is_empty() {
            return match self.start(key, clock) {
                Ok(()) => Start::Run,
                Err(denied) => Start::Refuse(denied),
            };
        }
        let by = self.me.clone();
        Start::Ask(Ask { key, birth, by }, missing)
    }

    /// Answers a younger agent.
    pub fn ask(&mut self, ask: &Ask, clock: Clock) -> Reply {
        self.expire(clock.wall);
        Reply {
            key: ask.key,
            from: self.me.id.clone(),
            to: ask.by.clone(),
            verdict: self.verdict(ask),
        }
    }

    fn verdict(&mut self, ask: &Ask) -> Verdict {
        // An earlier start of this agent may have run or granted the key.
        let forgotten = ask.birth.time() <= after(self.boot, 2 * self.config.skew.0);
        if forgotten || self.is_expired(ask.birth) {
            return Verdict::Unsure;
        }
        match self.marks.get(&ask.key) {
            Some(Mark::Claimed(by)) if *by == ask.by => return Verdict::Granted,
            Some(Mark::Claimed(_)) => return Verdict::Claimed,
            Some(_) => return Verdict::Seen,
            None => {}
        }
        if self.mark(ask.key, ask.birth, Mark::Claimed(ask.by.clone())) {
            return Verdict::Granted;
        }
        Verdict::Unsure
    }

    /// Takes in an answer. Late, repeated and misdirected ones are harmless.
    pub fn reply(&mut self, reply: &Reply, clock: Clock) -> Progress {
        self.expire(clock.wall);
        if reply.to != self.me {
            return Progress::Wait;
        }
        let Some(Mark::Trying(attempt)) = self.marks.get_mut(&reply.key) else {
            return Progress::Wait;
        };
        if reply.verdict != Verdict::Granted {
            return Progress::Refuse(Denied::Held(reply.verdict));
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
    pub fn timeout(&self, key: CallKey) -> Option<Denied> {
        let trying = matches!(self.marks.get(&key), Some(Mark::Trying(_)));
        trying.then_some(Denied::Silent)
    }

    /// The last check before the start: lease, position and deadline may have passed meanwhile.
    fn start(&mut self, key: CallKey, clock: Clock) -> Result<(), Denied> {
        let Some(mark) = self.marks.get_mut(&key) else {
            return Err(Denied::Expired);
        };
        let Mark::Trying(attempt) = mark else {
            return Err(Denied::Held(Verdict::Seen));
        };
        let held = self.view.position(clock.now) == Some(&attempt.position);
        if !held || clock.now >= attempt.deadline {
            *mark = Mark::Tombstone;
            return Err(Denied::TooLate);
        }
        *mark = Mark::Started;
        Ok(())
    }

    fn mark(&mut self, key: CallKey, birth: Birth, mark: Mark) -> bool {
        let known = self.marks.contains_key(&key);
        if !known && self.marks.len() >= self.config.max_marks {
            return false;
        }
        if !known {
            self.ends.insert((birth.kept(&self.config), key));
        }
        self.marks.insert(key, mark);
        true
    }

    fn is_expired(&self, birth: Birth) -> bool {
        self.floor > birth.accepted(&self.config)
    }

    fn expire(&mut self, wall: WallTime) {
        self.floor = self.floor.max(wall);
        self.view.expire(self.floor);
        while let Some((end, key)) = self.ends.first().copied() {
            if self.floor <= end {
                return;
            }
            self.ends.remove(&(end, key));
            self.marks.remove(&key);
        }
    }
}

impl Attempt {
    fn missing(&self) -> impl Iterator<Item = &MemberId> {
        self.wanted.difference(&self.granted)
    }
}

//! Admission at an agent: by class, deadline and length of the queue.
//!
//! A request runs, waits or is refused at once. One that waits is refused the moment that its
//! deadline passes or that a critical one needs its place. Class critical is refused only when no
//! lower class waits and its reserve is full, or when its own deadline has passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{Class, RequestId, Timestamp};

use crate::configs::AdmissionConfig;
use crate::limits::{Reason, Refusal};

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.1;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: Class,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start it now.
    Run,
    /// It waits; a later [`Change`] starts or refuses it.
    Wait,
    /// It does not run.
    Refuse(Refusal),
}

/// Requests whose state changes. None of the refused ones has run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Requests to start now.
    pub started: Vec<RequestId>,
    /// Requests to refuse now.
    pub refused: Vec<(RequestId, Refusal)>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ask: Ask,
    since: Timestamp,
}

/// Requests that run and wait at one agent.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    slots: u32,
    running: BTreeMap<RequestId, Timestamp>,
    queues: [VecDeque<Waiting>; 3],
    service: f64,
    turns: u32,
}

fn index(class: Class) -> usize {
    match class {
        Class::Batch => 0,
        Class::Interactive => 1,
        Class::Critical => 2,
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

impl Admission {
    /// Admission to `slots` slots.
    #[must_use]
    pub fn new(config: AdmissionConfig, slots: u32) -> Self {
        let service = config.service.0.as_secs_f64();
        Self {
            config,
            slots,
            running: BTreeMap::new(),
            queues: Default::default(),
            service,
            turns: 0,
        }
    }

    /// Decides on a new request. Every [`Verdict`] is final or followed by a [`Change`]; the change
    /// given with it holds requests that this one displaces and others whose deadline has passed.
    pub fn ask(&mut self, ask: Ask, now: Timestamp) -> (Verdict, Change) {
        let mut change = self.poll(now);
        let verdict = self.decide(ask, now, &mut change);
        (verdict, change)
    }

    /// Notes that a request ended after it ran, and starts those that follow.
    pub fn finish(&mut self, id: RequestId, now: Timestamp) -> Change {
        if let Some(since) = self.running.remove(&id) {
            let span = now.since(since).as_secs_f64();
            self.service += (span - self.service) * SERVICE_WEIGHT;
        }
        self.poll(now)
    }

    /// Takes a request that waits out of the queue, as its caller gave up. False when it does not
    /// wait.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let before = self.queued();
        for queue in &mut self.queues {
            queue.retain(|w| w.ask.id != id);
        }
        self.queued() < before
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u32, now: Timestamp) -> Change {
        self.slots = slots;
        self.poll(now)
    }

    /// Refuses what has passed its deadline and starts what has a slot. To be called at
    /// [`Self::next_deadline`].
    pub fn poll(&mut self, now: Timestamp) -> Change {
        let refused = self.expire(now);
        let mut started = Vec::new();
        while let Some(ask) = self.next(now) {
            self.running.insert(ask.id, now);
            started.push(ask.id);
        }
        Change { started, refused }
    }

    /// Refuses all that wait, as the agent leaves.
    pub fn drain(&mut self) -> Change {
        let mut refused = Vec::new();
        for queue in &mut self.queues {
            for waiting in queue.drain(..) {
                let refusal = Refusal::new(Reason::Leaving, Duration::ZERO);
                refused.push((waiting.ask.id, refusal));
            }
        }
        let started = Vec::new();
        Change { started, refused }
    }

    /// First deadline of a request that waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.queues.iter().flatten().map(|w| w.ask.deadline).min()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Requests of `class` that wait.
    #[must_use]
    pub fn waiting(&self, class: Class) -> usize {
        self.queues[index(class)].len()
    }

    /// Most requests that may wait in all.
    #[must_use]
    pub fn bound(&self) -> usize {
        self.config.batch + self.config.interactive + self.config.critical
    }

    /// Time that a new request of `class` is expected to wait.
    #[must_use]
    pub fn estimate(&self, class: Class) -> Duration {
        if self.has_slot(class) && self.ahead(class) == 0 {
            return Duration::ZERO;
        }
        let turns = f64::from(count(self.ahead(class)) + 1);
        let slots = f64::from(self.usable(class).max(1));
        let wait = self.service * turns / slots;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn decide(&mut self, ask: Ask, now: Timestamp, change: &mut Change) -> Verdict {
        if now >= ask.deadline {
            return self.refuse(Reason::Deadline, ask.class);
        }
        if self.has_slot(ask.class) && self.ahead(ask.class) == 0 {
            self.running.insert(ask.id, now);
            return Verdict::Run;
        }
        let critical = ask.class == Class::Critical;
        if !critical && now + self.estimate(ask.class) >= ask.deadline {
            return self.refuse(Reason::Wait, ask.class);
        }
        if !self.has_place(ask.class) {
            let Some(displaced) = self.displace(critical) else {
                return self.refuse(Reason::QueueFull, ask.class);
            };
            change.refused.push(displaced);
        }
        let waiting = Waiting { ask, since: now };
        self.queues[index(ask.class)].push_back(waiting);
        Verdict::Wait
    }

    fn refuse(&self, reason: Reason, class: Class) -> Verdict {
        Verdict::Refuse(self.refusal(reason, class))
    }

    fn refusal(&self, reason: Reason, class: Class) -> Refusal {
        let wait = self.estimate(class).max(self.config.soonest.0);
        Refusal::new(reason, wait)
    }

    /// Whether a request of `class` may enter the queue without displacing another.
    fn has_place(&self, class: Class) -> bool {
        let own = self.waiting(class);
        let below = self.queued() < self.bound();
        match class {
            Class::Batch => own < self.config.batch && below,
            Class::Interactive => own < self.config.interactive && below,
            Class::Critical => own < self.config.critical && below,
        }
    }

    /// Takes the youngest request of the lowest class out of the queue for a critical one.
    fn displace(&mut self, critical: bool) -> Option<(RequestId, Refusal)> {
        if !critical {
            return None;
        }
        for class in [Class::Batch, Class::Interactive] {
            let refusal = self.refusal(Reason::Displaced, class);
            if let Some(waiting) = self.queues[index(class)].pop_back() {
                return Some((waiting.ask.id, refusal));
            }
        }
        None
    }

    fn expire(&mut self, now: Timestamp) -> Vec<(RequestId, Refusal)> {
        let mut refused = Vec::new();
        for class in [Class::Critical, Class::Interactive, Class::Batch] {
            let refusal = self.refusal(Reason::Deadline, class);
            self.queues[index(class)].retain(|w| {
                let passed = now >= w.ask.deadline;
                if passed {
                    refused.push((w.ask.id, refusal));
                }
                !passed
            });
        }
        refused
    }

    /// The next request to start, if one has a slot.
    fn next(&mut self, now: Timestamp) -> Option<Ask> {
        let aged = self.is_batch_due(now);
        let order = if aged {
            [Class::Critical, Class::Batch, Class::Interactive]
        } else {
            [Class::Critical, Class::Interactive, Class::Batch]
        };
        for class in order {
            if !self.has_slot(class) {
                return None;
            }
            let Some(waiting) = self.queues[index(class)].pop_front() else {
                continue;
            };
            match class {
                Class::Batch => self.turns = 0,
                Class::Interactive => self.turns = self.turns.saturating_add(1),
                Class::Critical => {}
            }
            return Some(waiting.ask);
        }
        None
    }

    /// Whether the oldest batch request has waited long enough and its turn has come.
    fn is_batch_due(&self, now: Timestamp) -> bool {
        let front = self.queues[index(Class::Batch)].front();
        let aged = front.is_some_and(|w| now.since(w.since) >= self.config.aging.0);
        aged && self.turns >= self.config.turns
    }

    /// Requests that would start before a new one of `class`.
    fn ahead(&self, class: Class) -> usize {
        self.queues[index(class)..].iter().map(VecDeque::len).sum()
    }

    /// Slots that `class` may fill.
    fn usable(&self, class: Class) -> u32 {
        if class == Class::Critical {
            return self.slots;
        }
        let reserve = self.config.reserve.min(self.slots.saturating_sub(1));
        self.slots - reserve
    }

    fn has_slot(&self, class: Class) -> bool {
        count(self.running.len()) < self.usable(class)
    }
}

//! Admission control at an agent, by class, deadline and queue length.
//!
//! A request starts, is queued or is refused immediately. A queued request is refused as soon as its
//! deadline passes or a critical request displaces it. A critical request is refused only when no
//! request of a lower class is queued and the places reserved for its class are occupied, or when
//! its own deadline has passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_types::{Class, RequestId, Timestamp};

use crate::configs::AdmissionConfig;
use crate::limits::{Reason, Refusal};

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A request for an execution slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// ID of the request.
    pub id: RequestId,
    /// Priority class.
    pub class: Class,
    /// Time after which its answer is no longer useful.
    pub deadline: Timestamp,
}

/// Decision on a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request starts now.
    Run,
    /// The request is queued; a later [`QueueUpdate`] starts or refuses it.
    Wait,
    /// The request is refused and does not run.
    Refuse(Refusal),
}

/// Requests that leave the queue. None of the refused requests has run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// Requests to start now.
    pub started: Vec<RequestId>,
    /// Requests to refuse now.
    pub refused: Vec<(RequestId, Refusal)>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: SlotRequest,
    since: Timestamp,
}

/// Running and queued requests of one agent.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    slots: u32,
    running: BTreeMap<RequestId, Timestamp>,
    queues: [VecDeque<Waiting>; 3],
    service_time: f64,
    /// Interactive requests started since the last batch request.
    since_batch: u32,
}

fn index(class: Class) -> usize {
    match class {
        Class::Batch => 0,
        Class::Interactive => 1,
        Class::Critical => 2,
    }
}

fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

impl Admission {
    /// Creates an empty queue in front of `slots` execution slots.
    #[must_use]
    pub fn new(config: AdmissionConfig, slots: u32) -> Self {
        let service_time = config.service.0.as_secs_f64();
        Self {
            config,
            slots,
            running: BTreeMap::new(),
            queues: Default::default(),
            service_time,
            since_batch: 0,
        }
    }

    /// Decides on a new request. [`Verdict::Wait`] is followed by a later [`QueueUpdate`], the other
    /// verdicts are final. The returned update holds the requests that this one displaces, and those
    /// whose deadline has passed.
    pub fn request_slot(&mut self, request: SlotRequest, now: Timestamp) -> (Verdict, QueueUpdate) {
        let mut change = self.poll(now);
        let verdict = self.decide(request, now, &mut change);
        (verdict, change)
    }

    /// Records the end of a running request and starts queued requests.
    pub fn finish(&mut self, id: RequestId, now: Timestamp) -> QueueUpdate {
        if let Some(since) = self.running.remove(&id) {
            let span = now.since(since).as_secs_f64();
            self.service_time += (span - self.service_time) * SERVICE_TIME_WEIGHT;
        }
        self.poll(now)
    }

    /// Removes a queued request whose caller gave up. Returns false if it is not queued.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let before = self.queued();
        for queue in &mut self.queues {
            queue.retain(|w| w.request.id != id);
        }
        self.queued() < before
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u32, now: Timestamp) -> QueueUpdate {
        self.slots = slots;
        self.poll(now)
    }

    /// Refuses queued requests whose deadline has passed and starts those for which a slot is free.
    /// Must be called at [`Self::next_deadline`].
    pub fn poll(&mut self, now: Timestamp) -> QueueUpdate {
        let refused = self.expire(now);
        let mut started = Vec::new();
        while let Some(request) = self.next(now) {
            self.running.insert(request.id, now);
            started.push(request.id);
        }
        QueueUpdate { started, refused }
    }

    /// Refuses all queued requests because the agent is leaving.
    pub fn drain(&mut self) -> QueueUpdate {
        let mut refused = Vec::new();
        for queue in &mut self.queues {
            for waiting in queue.drain(..) {
                let refusal = Refusal::new(Reason::Leaving, Duration::ZERO);
                refused.push((waiting.request.id, refusal));
            }
        }
        let started = Vec::new();
        QueueUpdate { started, refused }
    }

    /// Earliest deadline of a queued request.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.queues
            .iter()
            .flatten()
            .map(|w| w.request.deadline)
            .min()
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Number of queued requests of `class`.
    #[must_use]
    pub fn waiting(&self, class: Class) -> usize {
        self.queues[index(class)].len()
    }

    /// Maximum number of queued requests of all classes.
    #[must_use]
    pub fn queue_capacity(&self) -> usize {
        self.config.batch + self.config.interactive + self.config.critical
    }

    /// Estimated queueing time of a new request of `class`.
    #[must_use]
    pub fn estimated_wait(&self, class: Class) -> Duration {
        if self.has_slot(class) && self.queued_ahead(class) == 0 {
            return Duration::ZERO;
        }
        let turns = f64::from(to_u32(self.queued_ahead(class)) + 1);
        let slots = f64::from(self.usable_slots(class).max(1));
        let wait = self.service_time * turns / slots;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn decide(
        &mut self,
        request: SlotRequest,
        now: Timestamp,
        change: &mut QueueUpdate,
    ) -> Verdict {
        if now >= request.deadline {
            return self.refuse(Reason::Deadline, request.class);
        }
        if self.has_slot(request.class) && self.queued_ahead(request.class) == 0 {
            self.running.insert(request.id, now);
            return Verdict::Run;
        }
        let critical = request.class == Class::Critical;
        if !critical && now + self.estimated_wait(request.class) >= request.deadline {
            return self.refuse(Reason::Wait, request.class);
        }
        if !self.has_queue_slot(request.class) {
            let Some(displaced) = self.displace(critical) else {
                return self.refuse(Reason::QueueFull, request.class);
            };
            change.refused.push(displaced);
        }
        let waiting = Waiting {
            request,
            since: now,
        };
        self.queues[index(request.class)].push_back(waiting);
        Verdict::Wait
    }

    fn refuse(&self, reason: Reason, class: Class) -> Verdict {
        Verdict::Refuse(self.refusal(reason, class))
    }

    fn refusal(&self, reason: Reason, class: Class) -> Refusal {
        let wait = self.estimated_wait(class).max(self.config.soonest.0);
        Refusal::new(reason, wait)
    }

    /// Whether a request of `class` may enter the queue without displacing another.
    fn has_queue_slot(&self, class: Class) -> bool {
        let own = self.waiting(class);
        let has_capacity = self.queued() < self.queue_capacity();
        match class {
            Class::Batch => own < self.config.batch && has_capacity,
            Class::Interactive => own < self.config.interactive && has_capacity,
            Class::Critical => own < self.config.critical && has_capacity,
        }
    }

    /// Removes the newest request of the lowest class from the queue to make room for a critical
    /// one.
    fn displace(&mut self, critical: bool) -> Option<(RequestId, Refusal)> {
        if !critical {
            return None;
        }
        for class in [Class::Batch, Class::Interactive] {
            let refusal = self.refusal(Reason::Displaced, class);
            if let Some(waiting) = self.queues[index(class)].pop_back() {
                return Some((waiting.request.id, refusal));
            }
        }
        None
    }

    fn expire(&mut self, now: Timestamp) -> Vec<(RequestId, Refusal)> {
        let mut refused = Vec::new();
        for class in [Class::Critical, Class::Interactive, Class::Batch] {
            let refusal = self.refusal(Reason::Deadline, class);
            self.queues[index(class)].retain(|w| {
                let passed = now >= w.request.deadline;
                if passed {
                    refused.push((w.request.id, refusal));
                }
                !passed
            });
        }
        refused
    }

    /// Removes the next request to start from the queue, if a slot is free for it.
    fn next(&mut self, now: Timestamp) -> Option<SlotRequest> {
        let aged = self.is_aged_batch_due(now);
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
                Class::Batch => self.since_batch = 0,
                Class::Interactive => {
                    self.since_batch = self.since_batch.saturating_add(1);
                }
                Class::Critical => {}
            }
            return Some(waiting.request);
        }
        None
    }

    /// Whether the oldest batch request has waited for the aging time, and enough interactive
    /// requests have started since the last batch request.
    fn is_aged_batch_due(&self, now: Timestamp) -> bool {
        let front = self.queues[index(Class::Batch)].front();
        let aged = front.is_some_and(|w| now.since(w.since) >= self.config.aging.0);
        aged && self.since_batch >= self.config.turns
    }

    /// Number of queued requests that would start before a new one of `class`.
    fn queued_ahead(&self, class: Class) -> usize {
        self.queues[index(class)..].iter().map(VecDeque::len).sum()
    }

    /// Number of slots that `class` may use.
    fn usable_slots(&self, class: Class) -> u32 {
        if class == Class::Critical {
            return self.slots;
        }
        let reserve = self.config.reserve.min(self.slots.saturating_sub(1));
        self.slots - reserve
    }

    fn has_slot(&self, class: Class) -> bool {
        to_u32(self.running.len()) < self.usable_slots(class)
    }
}

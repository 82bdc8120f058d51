//! Simulation of members on a virtual clock, with message loss, delay, network partitions and
//! process freezes.

#![allow(dead_code, reason = "each test program uses only part of this module")]

pub mod service;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use apricothall_decide::configs::MembershipConfig;
use apricothall_decide::membership::{GossipMessage, Membership, Outgoing};
use apricothall_decide::revision::{Revisions, Stamp};
use apricothall_types::{
    Incarnation, Member, MemberId, MemberState, Revision, Role, Sequence, Timestamp, Vm, VmList,
    VmState,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PORT: u16 = 7400;
const PERIOD_MS: u64 = 1_000;
const TIMEOUT_MS: u64 = 500;
const ZONES: usize = 7;
const REGIONS: usize = 3;

/// A scheduled event; the first field is the index of the member that handles it.
enum Event {
    Tick(usize, Incarnation),
    Request(usize, Box<Outgoing>),
    Reply(usize, MemberId, Box<GossipMessage>),
    Failure(usize, MemberId),
    Fetch(usize, usize),
    Value(usize, usize, Option<Stamp>),
}

/// A simulated member with its injected faults and traffic counters.
pub struct Node {
    pub view: Membership,
    pub revisions: Revisions,
    pub poll: Timestamp,
    pub highest: Option<Stamp>,
    pub reverts: u64,
    pub up: bool,
    pub frozen: Timestamp,
    pub partition: u8,
    pub sent: u64,
    pub received: u64,
    pub messages: u64,
    pub largest: usize,
    pub bulk: usize,
}

/// A simulated fleet of members.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: Timestamp,
    pub loss: f64,
    pub delay: (u64, u64),
    pub measure: bool,
    /// Virtual time between two checks of the condition passed to [`Fleet::run`], in ms.
    pub check_interval_ms: u64,
    pub list: VmList,
    pub service: [Option<Stamp>; REGIONS],
    pub reads: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    index_by_address: HashMap<SocketAddr, usize>,
    order: u64,
}

pub fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).expect("a few thousand members");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(0x7f01_0000 + index)), PORT)
}

pub fn record(index: usize, incarnation: u64) -> Member {
    let zone = index % ZONES;
    let role = if index.is_multiple_of(10) {
        Role::Entry
    } else {
        Role::Agent
    };
    Member {
        id: format!("vm-{index:05}").parse().expect("valid id"),
        incarnation: Incarnation(incarnation),
        sequence: Sequence(1),
        address: address(index),
        public: (role == Role::Entry).then(|| address(index)),
        role,
        region: format!("region-{}", zone % REGIONS).parse().expect("valid"),
        zone: format!("zone-{zone}").parse().expect("valid"),
        state: MemberState::Alive,
        revision: Revision(0),
        holdings: Vec::new(),
    }
}

impl Fleet {
    /// Starts `count` members whose only input is the VM list.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Timestamp::from_millis(1_000_000),
            loss: 0.0,
            delay: (1, 8),
            measure: false,
            check_interval_ms: PERIOD_MS,
            list: VmList::default(),
            service: [None; REGIONS],
            reads: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            index_by_address: HashMap::new(),
            order: 0,
        };
        fleet.list = VmList {
            revision: Revision(1),
            vms: (0..count).map(vm).collect(),
        };
        for index in 0..count {
            fleet.add(index, 1);
        }
        fleet
    }

    /// Starts or restarts the member at `index` with the given incarnation.
    pub fn add(&mut self, index: usize, incarnation: u64) {
        let own = record(index, incarnation);
        let mut view = Membership::new(own, MembershipConfig::default(), self.now);
        view.observe_list(&self.list, self.now);
        let old = self.nodes.get(index);
        let counted = old.map_or((0, 0, 0), |n| (n.sent, n.received, n.messages));
        let node = Node {
            view,
            revisions: service::revisions(self.now),
            poll: self.now,
            highest: None,
            reverts: 0,
            up: true,
            frozen: Timestamp(0),
            partition: 0,
            sent: counted.0,
            received: counted.1,
            messages: counted.2,
            largest: 0,
            bulk: 0,
        };
        self.index_by_address.insert(address(index), index);
        if index < self.nodes.len() {
            self.nodes[index] = node;
        } else {
            self.nodes.push(node);
        }
        let first = self.rng.random_range(0..PERIOD_MS);
        self.schedule(first, Event::Tick(index, Incarnation(incarnation)));
    }

    /// Changes the VM list and delivers the new revision to every running member.
    pub fn publish(&mut self, change: impl FnOnce(&mut Vec<Vm>)) {
        change(&mut self.list.vms);
        self.list.revision = self.list.revision.next();
        for node in self.nodes.iter_mut().filter(|n| n.up) {
            node.view.observe_list(&self.list, self.now);
        }
    }

    /// Runs until no member is frozen.
    pub fn thaw(&mut self) {
        let last = self.nodes.iter().map(|n| n.frozen).max();
        let wait = last.unwrap_or_default().since(self.now);
        let millis = u64::try_from(wait.as_millis()).expect("minutes at most");
        self.run(millis + 1, |_| false);
    }

    pub fn freeze(&mut self, index: usize, millis: u64) {
        self.nodes[index].frozen = self.now + Duration::from_millis(millis);
    }

    /// Runs for `millis` of virtual time. Returns early with the elapsed seconds once `done` holds,
    /// which is checked every `check_interval_ms`.
    pub fn run(&mut self, millis: u64, mut done: impl FnMut(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        let end = self.now + Duration::from_millis(millis);
        let mut check = start;
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).expect("scheduled");
            self.step(key, event);
            if self.now >= check {
                if done(self) {
                    return Some(self.now.since(start).as_secs());
                }
                check = check + Duration::from_millis(self.check_interval_ms);
            }
        }
        self.now = end;
        None
    }

    pub fn state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        let id = self.nodes[subject].view.own().id.clone();
        self.nodes[viewer].view.member(&id).map(|s| s.state)
    }

    /// Whether every running member sees `subject` as `state`.
    pub fn all_see(&self, subject: usize, state: Option<MemberState>) -> bool {
        (0..self.nodes.len())
            .filter(|i| *i != subject && self.nodes[*i].up)
            .all(|i| self.state(i, subject) == state)
    }

    /// Whether every running member holds the newest record of every other running member, and none
    /// of these as gone.
    pub fn is_converged(&self) -> bool {
        let newest: Vec<_> = self
            .nodes
            .iter()
            .filter(|n| n.up)
            .map(|n| n.view.own())
            .collect();
        self.nodes.iter().filter(|n| n.up).all(|node| {
            newest
                .iter()
                .filter(|m| m.id != node.view.own().id)
                .all(|m| {
                    let seen = node.view.member(&m.id);
                    seen.is_some_and(|s| s.state != MemberState::Gone && !m.supersedes(s.member))
                })
        })
    }

    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    pub fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for request in out {
            self.count(from, &request.message, is_bulk(&request.message));
            let to = self.index_by_address.get(&request.address).copied();
            let open = to.is_some_and(|to| self.is_open(from, to));
            let delay = self.latency();
            match to.filter(|_| open) {
                Some(to) => self.schedule(delay, Event::Request(to, Box::new(request))),
                None => self.fail(from, request.target),
            }
        }
    }

    fn fail(&mut self, from: usize, target: Option<MemberId>) {
        if let Some(target) = target {
            self.schedule(TIMEOUT_MS, Event::Failure(from, target));
        }
    }

    fn is_open(&mut self, from: usize, to: usize) -> bool {
        let joined = self.nodes[from].partition == self.nodes[to].partition;
        joined && !self.rng.random_bool(self.loss)
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(self.delay.0..=self.delay.1)
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        let at = self.now + Duration::from_millis(millis);
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.events.insert(self.order, event);
    }

    fn event_member(event: &Event) -> usize {
        match event {
            Event::Tick(i, _)
            | Event::Request(i, _)
            | Event::Reply(i, ..)
            | Event::Failure(i, _)
            | Event::Fetch(i, _)
            | Event::Value(i, ..) => *i,
        }
    }

    fn step(&mut self, key: u64, event: Event) {
        let index = Self::event_member(&event);
        let node = &self.nodes[index];
        if !node.up {
            // A request to a stopped member fails at the sender; all other events are lost.
            if let Event::Request(_, request) = event {
                self.refuse(*request);
            }
            return;
        }
        if node.frozen > self.now {
            // Events that arrive during a freeze are handled when it ends.
            self.queue.push(Reverse((node.frozen, key)));
            if let Event::Request(_, request) = &event {
                self.refuse(Outgoing::clone(request));
            }
            self.events.insert(key, event);
            return;
        }
        self.handle(index, event);
    }

    fn refuse(&mut self, request: Outgoing) {
        let from = self.index_by_address[&request.message.own.address];
        self.fail(from, request.target);
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(_, incarnation) => {
                if self.nodes[index].view.own().incarnation != incarnation {
                    return;
                }
                let out = self.nodes[index].view.tick(now, &mut self.rng);
                self.send(index, out);
                self.poll(index);
                self.schedule(PERIOD_MS, Event::Tick(index, incarnation));
            }
            Event::Request(_, request) => self.answer(index, &request),
            Event::Reply(_, from, message) => {
                self.nodes[index].view.receive_reply(&from, &message, now);
                self.observe_heads(index, &message);
            }
            Event::Fetch(_, asker) => self.serve_fetch(index, asker),
            Event::Value(_, from, stamp) => self.receive_value(index, from, stamp),
            Event::Failure(_, target) => {
                let out = self.nodes[index]
                    .view
                    .probe_failed(&target, now, &mut self.rng);
                self.send(index, out);
            }
        }
    }

    fn answer(&mut self, index: usize, request: &Outgoing) {
        let from = self.index_by_address[&request.message.own.address];
        self.record_received(index, &request.message);
        self.observe_heads(index, &request.message);
        let reply = self.nodes[index]
            .view
            .receive(&request.message, self.now, &mut self.rng);
        self.count(index, &reply, is_bulk(&request.message));
        if !self.is_open(index, from) {
            self.fail(from, request.target.clone());
            return;
        }
        self.record_received(from, &reply);
        let delay = self.latency();
        let id = self.nodes[index].view.own().id.clone();
        self.schedule(delay, Event::Reply(from, id, Box::new(reply)));
    }

    fn count(&mut self, index: usize, message: &GossipMessage, bulk: bool) {
        if self.measure {
            let size = encoded(message);
            let node = &mut self.nodes[index];
            node.sent += size as u64;
            node.messages += 1;
            let largest = if bulk {
                &mut node.bulk
            } else {
                &mut node.largest
            };
            *largest = size.max(*largest);
        }
    }

    fn record_received(&mut self, index: usize, message: &GossipMessage) {
        if self.measure {
            self.nodes[index].received += encoded(message) as u64;
        }
    }
}

/// Whether the sender requests a larger reply.
fn is_bulk(message: &GossipMessage) -> bool {
    message.window.as_ref().is_some_and(|w| w.bulk)
}

pub fn encoded(message: &GossipMessage) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(message, config)
        .expect("encodes")
        .len()
}

pub fn vm(index: usize) -> Vm {
    let member = record(index, 1);
    Vm {
        id: member.id,
        address: member.address,
        role: member.role,
        region: member.region,
        zone: member.zone,
        state: VmState::Live,
        since: Revision(1),
    }
}

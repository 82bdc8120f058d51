//! Model of entries that send to limited servers and tell each other of the limits.
//!
//! Entries learn of joins, restarts and ends of other entries with delays that differ, gossip
//! arrives late or not at all, and servers check their arrivals as the platform does.

use std::collections::BinaryHeap;
use std::time::Duration;

use apricothall_decide::server_limits::{Sender, ServerLimits, Verdict};
use apricothall_decide::update_queue::fanout;
use apricothall_types::{Quota, Timestamp};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::delivery::Delivery;
use crate::pending::Pending;
use crate::server::{CONTACT, Server};

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(20);

/// Gossip round.
const ROUND: Duration = Duration::from_millis(100);

/// Rounds between two regular messages of an entry to [`REGULAR`] random others.
const REGULAR_ROUNDS: u64 = 4;

/// Number of receivers of a regular message.
const REGULAR: usize = 3;

/// Maximum number of records in a message.
const RECORDS: usize = 8;

/// Start of a run; an entry's process may have been started before.
pub const START: Timestamp = Timestamp::from_millis(100_000);

/// Conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Number of entries.
    pub entries: usize,
    /// Number of availability zones, each in a region of its own.
    pub zones: usize,
    /// Requests per second that each entry could send to each limited server.
    pub demand: f64,
    /// Share of lost gossip messages.
    pub loss: f64,
    /// Longest delay of a gossip message.
    pub gossip_delay: Duration,
    /// Longest time until an entry learns that another one has started, restarted or ended.
    pub view_delay: Duration,
}

struct Entry {
    limits: ServerLimits,
    view: Vec<bool>,
    view_changed: bool,
    life: u32,
    frozen_until: Timestamp,
    excused_until: Timestamp,
    started: Timestamp,
}

/// One run of the model.
pub struct World {
    conditions: Conditions,
    rng: ChaCha8Rng,
    now: Timestamp,
    number: u64,
    senders: Vec<Sender>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    pending: BinaryHeap<Pending<Delivery>>,
    /// Windows in which a server got too many requests.
    pub violations: Vec<String>,
}

fn sender(index: usize, zones: usize) -> Sender {
    let zone = index % zones;
    Sender {
        id: format!("entry-{index}").parse().expect("valid"),
        zone: format!("z{zone}").parse().expect("valid"),
        region: format!("r{zone}").parse().expect("valid"),
    }
}

impl World {
    /// Starts entries that know each other, and servers without limits.
    pub fn new(seed: u64, conditions: Conditions, servers: usize) -> Self {
        let senders: Vec<_> = (0..conditions.entries)
            .map(|i| sender(i, conditions.zones))
            .collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let count = conditions.entries;
        let mut world = Self {
            conditions,
            rng,
            now: START,
            number: 0,
            entries: Vec::new(),
            servers: Vec::new(),
            senders,
            pending: BinaryHeap::new(),
            violations: Vec::new(),
        };
        for index in 0..count {
            let started = START - Duration::from_mins(1);
            let mut entry = world.new_entry(index, 0, started);
            entry.view = vec![true; count];
            world.entries.push(entry);
        }
        for index in 0..servers {
            let place = &world.senders[index % count];
            world.servers.push(Server::new(index, place));
        }
        for index in 0..count {
            world.update_view(index);
        }
        world
    }

    fn new_entry(&self, index: usize, life: u32, started: Timestamp) -> Entry {
        let own = &self.senders[index];
        let mut limits = ServerLimits::new(own.id.clone(), started);
        let regions = self.senders.iter();
        limits.set_regions(
            regions
                .map(|s| (s.zone.clone(), s.region.clone()))
                .collect(),
        );
        Entry {
            limits,
            view: vec![false; self.conditions.entries],
            view_changed: true,
            life,
            frozen_until: START,
            excused_until: START,
            started,
        }
    }

    /// Lets a server name a limit, or none.
    pub fn set_limit(&mut self, server: usize, limit: Option<Quota>) {
        self.servers[server].set_limit(limit, self.now);
    }

    /// Restarts the process of an entry, which then knows nothing.
    pub fn restart(&mut self, index: usize) {
        let life = self.entries[index].life + 1;
        self.entries[index] = self.new_entry(index, life, self.now);
        self.entries[index].excused_until = self.now + CONTACT;
        for server in &mut self.servers {
            server.forget(index);
        }
        self.tell_views(index, false);
        self.tell_views(index, true);
        for other in 0..self.entries.len() {
            let delay = self.delay(self.conditions.view_delay);
            self.deliver(
                delay,
                Delivery::View {
                    to: index,
                    about: other,
                    serving: true,
                },
            );
        }
    }

    /// Suspends the process of an entry for `span`.
    pub fn freeze(&mut self, index: usize, span: Duration) {
        let until = self.now + span;
        self.entries[index].frozen_until = until;
        self.entries[index].excused_until = until + CONTACT;
        self.tell_views(index, false);
        self.number += 1;
        for other in 0..self.entries.len() {
            let delay = span + self.delay(self.conditions.view_delay);
            self.deliver(
                delay,
                Delivery::View {
                    to: other,
                    about: index,
                    serving: true,
                },
            );
        }
    }

    fn tell_views(&mut self, about: usize, serving: bool) {
        for to in 0..self.entries.len() {
            let delay = self.delay(self.conditions.view_delay);
            self.deliver(delay, Delivery::View { to, about, serving });
        }
    }

    fn delay(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.rng.random_range(0.05..1.0))
    }

    fn deliver(&mut self, delay: Duration, delivery: Delivery) {
        self.number += 1;
        self.pending.push(Pending {
            at: self.now + delay,
            number: self.number,
            delivery,
        });
    }

    /// Requests that arrived at a server since `from`.
    pub fn arrived_since(&self, server: usize, from: Timestamp) -> usize {
        self.servers[server].arrived_since(from)
    }

    /// Number of running entries to which a limit of the server is known.
    pub fn knowing(&self, server: usize) -> usize {
        let life = &self.servers[server].life;
        let entries = self.entries.iter();
        entries
            .filter(|e| e.limits.is_limited(&life.id, life.born))
            .count()
    }

    /// Present time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver_pending();
            let ticks = self.now.0 / u64::try_from(TICK.as_nanos()).expect("short");
            let per_round = u64::try_from(ROUND.as_nanos() / TICK.as_nanos()).expect("few");
            for index in 0..self.entries.len() {
                if self.entries[index].frozen_until > self.now {
                    continue;
                }
                let turn = ticks + u64::try_from(index).expect("few");
                if turn.is_multiple_of(per_round) {
                    self.gossip(index, turn / per_round);
                    self.update_view(index);
                }
                self.send_requests(index);
            }
        }
    }

    fn update_view(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let joining = self.now.since(entry.started) < Duration::from_secs(20);
        if !entry.view_changed && !joining {
            return;
        }
        entry.view_changed = false;
        let known = entry.view.iter().zip(&self.senders).enumerate();
        let serving = known.filter(|(other, (seen, _))| **seen || *other == index);
        let senders = serving.map(|(_, (_, sender))| sender.clone()).collect();
        entry.limits.set_entries(senders, self.now);
    }

    fn deliver_pending(&mut self) {
        while self.pending.peek().is_some_and(|p| p.at <= self.now) {
            let Some(pending) = self.pending.pop() else {
                return;
            };
            match pending.delivery {
                Delivery::Gossip { to, records } => {
                    let entry = &mut self.entries[to];
                    if entry.frozen_until <= self.now {
                        for record in &records {
                            entry.limits.merge(record, self.now);
                        }
                    }
                }
                Delivery::View { to, about, serving } => {
                    let entry = &mut self.entries[to];
                    entry.view_changed |= entry.view[about] != serving;
                    entry.view[about] = serving;
                }
                Delivery::Answer {
                    to,
                    life,
                    server,
                    sent,
                    named,
                } => self.take_answer(to, life, server, sent, named),
            }
        }
    }

    fn take_answer(
        &mut self,
        to: usize,
        life: u32,
        server: usize,
        sent: Timestamp,
        named: Option<Quota>,
    ) {
        let now = self.now;
        let (entry, server) = (&mut self.entries[to], &mut self.servers[server]);
        if entry.life != life {
            return;
        }
        if named.is_some() {
            server.record_told(to, now);
        }
        entry.limits.observe(&server.life, named, sent, now);
    }

    fn gossip(&mut self, index: usize, round: u64) {
        let now = self.now;
        let limits = &mut self.entries[index].limits;
        let due = limits.take_due(now);
        let mut receivers = 0;
        if limits.has_updates(now) {
            let fanout = fanout(due);
            receivers += fanout.near + fanout.far;
        }
        if round.is_multiple_of(REGULAR_ROUNDS) {
            receivers += REGULAR;
        }
        for _ in 0..receivers.min(self.entries.len()) {
            let to = self.rng.random_range(0..self.entries.len());
            let records = self.entries[index].limits.records(RECORDS, now);
            if to == index || records.is_empty() || self.rng.random_bool(self.conditions.loss) {
                continue;
            }
            let delay = self.delay(self.conditions.gossip_delay);
            self.deliver(delay, Delivery::Gossip { to, records });
        }
    }

    fn send_requests(&mut self, index: usize) {
        let chance = self.conditions.demand * TICK.as_secs_f64();
        for server in 0..self.servers.len() {
            if !self.rng.random_bool(chance.min(1.0)) {
                continue;
            }
            let life = &self.servers[server].life;
            let limits = &mut self.entries[index].limits;
            let verdict = limits.verdict(&life.id, life.born, self.now);
            if matches!(verdict, Verdict::PassedOver(_)) {
                continue;
            }
            assert!(limits.take(&life.id, life.born, self.now));
            self.arrive(index, server);
        }
    }

    fn arrive(&mut self, from: usize, server: usize) {
        let now = self.now;
        let excused = self.entries[from].excused_until > now;
        let state = &mut self.servers[server];
        self.violations.extend(state.arrive(from, excused, now));
        let answer = Delivery::Answer {
            to: from,
            life: self.entries[from].life,
            server,
            sent: now,
            named: state.limit,
        };
        let delay = Duration::from_millis(self.rng.random_range(30..300));
        self.deliver(delay, answer);
    }
}

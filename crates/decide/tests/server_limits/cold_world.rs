//! Model of entries that send to cold servers.
//!
//! Entries learn of other entries, of the entries of servers and of evacuations with delays that
//! differ, or not at all while they are partitioned. Some connections take long. Servers count their
//! arrivals as the platform does.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use apricothall_decide::server_limits::cold::ColdStart;
use apricothall_decide::server_limits::{Reservation, Sender, ServerLimits, Verdict};
use apricothall_decide::servers::{Server, ServerState};
use apricothall_types::{Quota, Timestamp, WallTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::pending::Pending;
use crate::world::START;

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(10);

/// Interval at which an entry updates its view of the other entries.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Window over which a server counts its arrivals.
const WINDOW: Duration = Duration::from_secs(1);

/// Time after which an entry is taken for gone that is no longer heard from.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// Limit of a cold server.
pub const LIMIT: Quota = Quota::per_second(17);

/// Requests that a cold server tolerates in any second: 17 times 1.5, and 5.
const TOLERATED: usize = 30;

/// Time for which a server is cold.
pub const COLD_TIME: Duration = Duration::from_secs(20);

/// Number of zones, each in a region of its own.
pub const ZONES: usize = 3;

/// Time until the servers of a restored zone state that they are cold.
const STATEMENT_DELAY: Duration = Duration::from_millis(400);

/// Time from the restart of a process until it reads the servers.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Share of the connections that take long.
const SLOW_CONNECTIONS: f64 = 0.03;

/// Conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Number of entries.
    pub entries: usize,
    /// Requests per second that each entry could send to each server.
    pub demand: f64,
    /// Longest time until an entry learns of a change.
    pub delay: Duration,
}

/// What reaches an entry or a server at some time.
pub enum Event {
    /// That another entry serves or not.
    View {
        to: usize,
        about: usize,
        serving: bool,
    },
    /// The entry of a server.
    ServerEntry {
        to: usize,
        revision: u64,
        server: Server,
    },
    /// The entries of all servers at that time.
    List { to: usize, life: u32 },
    /// That a zone is evacuated or no longer so.
    Evacuation {
        to: usize,
        zone: usize,
        evacuated: bool,
        since: Timestamp,
    },
    /// Entries of cold servers of a zone, to the store.
    Statement { zone: usize },
    /// A connection to a server.
    Connected {
        from: usize,
        life: u32,
        server: Server,
        reserved: Reservation,
    },
    /// A request. If its entry knew that the server was cold: since when.
    Arrival {
        server: usize,
        informed: Option<Timestamp>,
    },
}

struct Entry {
    limits: ServerLimits,
    /// Other entries that are known to serve.
    view: Vec<bool>,
    /// Entries of servers, with their revisions.
    servers: Vec<Option<(u64, Server)>>,
    evacuated: Vec<bool>,
    /// When the evacuations of zones were removed of which it has learned.
    restored: Vec<Option<Timestamp>>,
    life: u32,
    partition: u32,
    /// What it learns once it is no longer partitioned.
    missed: Vec<Event>,
}

struct ModelServer {
    entry: Server,
    cold_until: Timestamp,
    /// When its present cold time began.
    since: Timestamp,
    /// Revision of its entry.
    revision: u64,
    /// Revision as of which its entry states the present cold time.
    stated: u64,
    /// Number of cold times that it announced.
    times: u64,
    counted: VecDeque<Timestamp>,
    arrivals: Vec<Timestamp>,
}

/// One run of the model.
pub struct ColdWorld {
    conditions: Conditions,
    rng: ChaCha8Rng,
    /// Present time.
    pub now: Timestamp,
    number: u64,
    senders: Vec<Sender>,
    entries: Vec<Entry>,
    servers: Vec<ModelServer>,
    pending: BinaryHeap<Pending<Event>>,
    /// Windows in which a server got too many requests.
    pub violations: Vec<String>,
}

fn sender(index: usize) -> Sender {
    let zone = index % ZONES;
    Sender {
        id: format!("entry-{index}").parse().expect("valid"),
        zone: format!("z{zone}").parse().expect("valid"),
        region: format!("r{zone}").parse().expect("valid"),
    }
}

fn server(index: usize) -> Server {
    Server {
        id: format!("server-{index}").parse().expect("valid"),
        service: "p".into(),
        address: "10.0.0.1:80".parse().expect("valid"),
        zone: format!("z{}", index % ZONES).parse().expect("valid"),
        slots: 8,
        state: ServerState::Ready,
        born: WallTime(1),
        loaded: Vec::new(),
        cold_remaining: Some(Duration::ZERO),
    }
}

impl ColdWorld {
    /// Starts entries that know each other, and servers that are not cold.
    pub fn new(seed: u64, conditions: Conditions, servers: usize) -> Self {
        let mut world = Self {
            conditions,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            number: 0,
            senders: (0..conditions.entries).map(sender).collect(),
            entries: Vec::new(),
            servers: Vec::new(),
            pending: BinaryHeap::new(),
            violations: Vec::new(),
        };
        for index in 0..servers {
            world.servers.push(ModelServer {
                entry: server(index),
                cold_until: START,
                since: START,
                revision: 0,
                stated: 0,
                times: 0,
                counted: VecDeque::new(),
                arrivals: Vec::new(),
            });
        }
        for index in 0..conditions.entries {
            let started = START - Duration::from_mins(1);
            let mut entry = world.new_entry(index, 0, started);
            entry.limits.set_entries(world.senders.clone(), started);
            entry.view = vec![true; conditions.entries];
            entry.servers = world
                .servers
                .iter()
                .map(|s| Some((0, s.entry.clone())))
                .collect();
            world.entries.push(entry);
            world.update_view(index);
        }
        world
    }

    fn new_entry(&self, index: usize, life: u32, started: Timestamp) -> Entry {
        let mut limits = ServerLimits::new(self.senders[index].id.clone(), started);
        let regions = self.senders.iter();
        limits.set_regions(
            regions
                .map(|s| (s.zone.clone(), s.region.clone()))
                .collect(),
        );
        let start = ColdStart {
            duration: COLD_TIME,
            limit: LIMIT,
        };
        limits
            .cold
            .set_services([("p".into(), start)].into(), self.now);
        let expects_others = self.conditions.entries > 1;
        limits.cold.set_expects_others(expects_others);
        Entry {
            limits,
            view: vec![false; self.conditions.entries],
            servers: vec![None; self.servers.len()],
            evacuated: vec![false; ZONES],
            restored: vec![None; ZONES],
            life,
            partition: 0,
            missed: Vec::new(),
        }
    }

    fn deliver(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        self.pending.push(Pending {
            at: self.now + delay,
            number: self.number,
            delivery: event,
        });
    }

    fn delay(&mut self) -> Duration {
        let longest = self.conditions.delay;
        longest.mul_f64(self.rng.random_range(0.05..1.0))
    }

    /// Tells all entries something that they learn from the store or from each other.
    fn tell(&mut self, event: impl Fn(usize) -> Event) {
        for to in 0..self.entries.len() {
            let delay = self.delay();
            self.deliver(delay, event(to));
        }
    }

    /// Makes a server cold: a new process, or the present one again. Its entry states the time or
    /// leaves it to the configuration.
    pub fn make_cold(&mut self, index: usize, new_process: bool, stated: bool) {
        let server = &mut self.servers[index];
        if new_process {
            server.entry.born.0 += 1;
        }
        let unstated = new_process && !stated;
        // Each statement differs from the one before, as it does while the time runs down.
        let millis = u64::try_from(COLD_TIME.as_millis()).expect("short");
        server.times += 1;
        let millis = millis + server.times;
        server.entry.cold_remaining = (!unstated).then(|| Duration::from_millis(millis));
        server.cold_until = self.now + COLD_TIME;
        server.since = self.now;
        server.counted.clear();
        server.stated = u64::MAX;
        self.tell_entry(index);
    }

    fn tell_entry(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.revision += 1;
        server.stated = server.stated.min(server.revision);
        let (entry, revision) = (server.entry.clone(), server.revision);
        self.tell(|to| Event::ServerEntry {
            to,
            revision,
            server: entry.clone(),
        });
    }

    /// Evacuates a zone.
    pub fn evacuate(&mut self, zone: usize) {
        let since = self.now;
        self.tell(|to| Event::Evacuation {
            to,
            zone,
            evacuated: true,
            since,
        });
    }

    /// Removes the evacuation of a zone, whose servers are cold. Their entries state so a little
    /// later, or not at all.
    pub fn restore(&mut self, zone: usize, stated: bool) {
        for server in self.servers.iter_mut().skip(zone).step_by(ZONES) {
            server.cold_until = self.now + COLD_TIME;
            server.since = self.now;
            server.counted.clear();
            server.stated = u64::MAX;
        }
        let since = self.now;
        self.tell(|to| Event::Evacuation {
            to,
            zone,
            evacuated: false,
            since,
        });
        if stated {
            self.deliver(STATEMENT_DELAY, Event::Statement { zone });
        }
    }

    fn state_cold_times(&mut self, zone: usize) {
        for index in (zone..self.servers.len()).step_by(ZONES) {
            let server = &mut self.servers[index];
            server.entry.cold_remaining = Some(server.cold_until.since(self.now));
            self.tell_entry(index);
        }
    }

    /// Separates the entries in `group` from the others and from the store. They still reach the
    /// servers.
    pub fn partition(&mut self, group: &[usize]) {
        for index in group {
            self.entries[*index].partition = 1;
        }
        for to in 0..self.entries.len() {
            for about in 0..self.entries.len() {
                if self.entries[to].partition != self.entries[about].partition {
                    let delay = SILENT_TIME + self.delay();
                    let serving = false;
                    self.deliver(delay, Event::View { to, about, serving });
                }
            }
        }
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        for index in 0..self.entries.len() {
            self.entries[index].partition = 0;
            for event in std::mem::take(&mut self.entries[index].missed) {
                let delay = self.delay();
                self.deliver(delay, event);
            }
            for about in 0..self.entries.len() {
                let delay = SILENT_TIME + self.delay();
                let (to, serving) = (index, true);
                self.deliver(delay, Event::View { to, about, serving });
            }
        }
    }

    /// Restarts the process of an entry, which then knows nothing. An announced stop is told to the
    /// others, another one they notice.
    pub fn restart(&mut self, index: usize, announced: bool) {
        let life = self.entries[index].life + 1;
        let new = self.new_entry(index, life, self.now);
        let old = std::mem::replace(&mut self.entries[index], new);
        let entry = &mut self.entries[index];
        entry.missed = old.missed;
        entry.partition = old.partition;
        // An entry does not serve before it knows the evacuations.
        entry.evacuated = old.evacuated;
        if announced {
            let id = [self.senders[index].id.clone()];
            for entry in &mut self.entries {
                entry.limits.cold.record_departures(&id);
            }
        }
        for other in 0..self.entries.len() {
            for (to, about) in [(other, index), (index, other)] {
                let delay = self.delay();
                let serving = true;
                self.deliver(delay, Event::View { to, about, serving });
            }
        }
        let delay = RESTART_TIME + self.delay();
        self.deliver(delay, Event::List { to: index, life });
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            while self.pending.peek().is_some_and(|p| p.at <= self.now) {
                let Some(pending) = self.pending.pop() else {
                    break;
                };
                self.take_event(pending.delivery);
            }
            let ticks = self.now.0 / u64::try_from(TICK.as_nanos()).expect("short");
            let interval = u64::try_from(VIEW_INTERVAL.as_nanos() / TICK.as_nanos());
            let interval = interval.expect("few");
            for index in 0..self.entries.len() {
                let turn = ticks + u64::try_from(index).expect("few");
                if turn.is_multiple_of(interval) {
                    self.update_view(index);
                }
                self.send_requests(index);
            }
        }
    }

    fn update_view(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let known = entry.view.iter().zip(&self.senders).enumerate();
        let serving = known.filter(|(other, (seen, _))| **seen || *other == index);
        let senders = serving.map(|(_, (_, sender))| sender.clone()).collect();
        entry.limits.set_entries(senders, now);
        for (_, server) in entry.servers.iter().flatten() {
            entry.limits.observe_entry(server, now);
        }
        entry.limits.cold.take_ended(now);
    }

    fn take_event(&mut self, event: Event) {
        match event {
            Event::View { to, about, serving } => {
                let differs = self.entries[to].partition != self.entries[about].partition;
                self.entries[to].view[about] = serving && !differs;
            }
            Event::ServerEntry {
                to,
                revision,
                server,
            } => self.take_entry(to, revision, server),
            Event::List { to, life } => {
                if self.entries[to].life == life {
                    for index in 0..self.servers.len() {
                        let server = &self.servers[index];
                        let (revision, entry) = (server.revision, server.entry.clone());
                        self.take_entry(to, revision, entry);
                    }
                }
            }
            Event::Evacuation {
                to,
                zone,
                evacuated,
                since,
            } => {
                let entry = &mut self.entries[to];
                if entry.partition != 0 {
                    let event = Event::Evacuation {
                        to,
                        zone,
                        evacuated,
                        since,
                    };
                    entry.missed.push(event);
                    return;
                }
                entry.evacuated[zone] = evacuated;
                if !evacuated {
                    entry.restored[zone] = Some(since);
                    let zone = format!("z{zone}").parse().expect("valid");
                    entry.limits.cold.zone_restored(&zone, self.now);
                }
            }
            Event::Statement { zone } => self.state_cold_times(zone),
            Event::Connected {
                from,
                life,
                server,
                reserved,
            } => self.send(from, life, &server, reserved),
            Event::Arrival { server, informed } => self.arrive(server, informed),
        }
    }

    fn take_entry(&mut self, to: usize, revision: u64, server: Server) {
        let entry = &mut self.entries[to];
        if entry.partition != 0 {
            entry.missed.push(Event::ServerEntry {
                to,
                revision,
                server,
            });
            return;
        }
        let id = &server.id;
        let at = self.servers.iter().position(|s| s.entry.id == *id);
        let known = &mut entry.servers[at.expect("known")];
        if known.as_ref().is_none_or(|(known, _)| *known < revision) {
            *known = Some((revision, server));
        }
    }

    fn send_requests(&mut self, index: usize) {
        let chance = self.conditions.demand * TICK.as_secs_f64();
        for at in 0..self.servers.len() {
            if !self.rng.random_bool(chance.min(1.0)) {
                continue;
            }
            let entry = &mut self.entries[index];
            let Some((_, server)) = entry.servers[at].clone() else {
                continue;
            };
            if entry.evacuated[at % ZONES] {
                continue;
            }
            entry.limits.observe_entry(&server, self.now);
            let verdict = entry.limits.verdict(&server.id, server.born, self.now);
            if matches!(verdict, Verdict::PassedOver(_)) {
                continue;
            }
            let reserved = entry.limits.reserve(&server.id, server.born, self.now);
            let life = entry.life;
            let longest = if self.rng.random_bool(SLOW_CONNECTIONS) {
                1_500
            } else {
                30
            };
            let delay = Duration::from_millis(self.rng.random_range(0..longest));
            let event = Event::Connected {
                from: index,
                life,
                server,
                reserved,
            };
            self.deliver(delay, event);
        }
    }

    fn send(&mut self, from: usize, life: u32, server: &Server, reserved: Reservation) {
        let at = self.servers.iter().position(|s| s.entry.id == server.id);
        let at = at.expect("known");
        let now = self.now;
        let entry = &mut self.entries[from];
        if entry.life != life {
            return;
        }
        if let Some((_, current)) = &entry.servers[at] {
            entry.limits.observe_entry(current, now);
        }
        let (id, born) = (&server.id, server.born);
        // Another process answers with status 421, which does not count.
        if !entry.limits.confirm(id, born, reserved, now)
            || born != self.servers[at].entry.born
            || entry.evacuated[at % ZONES]
        {
            return;
        }
        let informed = self.is_informed(from, at).then(|| self.servers[at].since);
        let delay = Duration::from_millis(self.rng.random_range(0..10));
        let event = Event::Arrival {
            server: at,
            informed,
        };
        self.deliver(delay, event);
    }

    /// Whether an entry knows the present cold time of a server.
    fn is_informed(&self, from: usize, at: usize) -> bool {
        let entry = &self.entries[from];
        let known = entry.servers[at].as_ref();
        let server = &self.servers[at];
        let is_restored = entry.restored[at % ZONES] == Some(server.since);
        is_restored || known.is_some_and(|(known, _)| *known >= server.stated)
    }

    fn arrive(&mut self, at: usize, informed: Option<Timestamp>) {
        let now = self.now;
        let server = &mut self.servers[at];
        server.arrivals.push(now);
        if now >= server.cold_until || informed != Some(server.since) {
            return;
        }
        server.counted.push_back(now);
        server.counted.retain(|at| now.since(*at) < WINDOW);
        let count = server.counted.len();
        if count > TOLERATED {
            let (id, age) = (&server.entry.id, now.since(server.since));
            self.violations.push(format!(
                "{count} requests in a second at {id}, cold for {age:?}"
            ));
        }
    }

    /// Requests that arrived at a server since `from`.
    pub fn arrived_since(&self, server: usize, from: Timestamp) -> usize {
        let arrivals = self.servers[server].arrivals.iter();
        arrivals.filter(|at| **at >= from).count()
    }

    /// Number of entries that use a share of the limit of a server.
    pub fn sending(&mut self, server: usize) -> usize {
        let entries = 0..self.entries.len();
        entries.filter(|e| self.share(*e, server).is_some()).count()
    }

    /// Rate at which an entry sends to a server that is cold for it.
    pub fn share(&mut self, entry: usize, server: usize) -> Option<Quota> {
        let (entry, server) = (&self.entries[entry], &self.servers[server].entry);
        let mut limits = entry.limits.clone();
        // Takes what is left of its share, so that the verdict tells the rate.
        while limits.verdict(&server.id, server.born, self.now) == Verdict::Allowed {
            limits.reserve(&server.id, server.born, self.now);
        }
        match limits.verdict(&server.id, server.born, self.now) {
            Verdict::PassedOver(passed) => passed.share,
            Verdict::Unlimited | Verdict::Allowed => None,
        }
    }
}

//! Schedule interpreter that drives the real state machines: agents, a stale VM list, skewed
//! clocks, and messages that are lost, duplicated and reordered. Real time is in milliseconds.

use std::collections::BTreeMap;

use apricothall_decide::claims::{
    ClaimReply, ClaimRequest, Claims, Denial, OrderDecision, Progress, Verdict,
};
use apricothall_decide::configs::{ClaimsConfig, DedupeConfig, OpaqueKeys};
use apricothall_decide::dedupe::{
    Binding, CallKey, Choice, ClockReading, Home, Order, Register, RegisterDecision, Ticket, choose,
};
use apricothall_types::{Catalogue, CatalogueEntry, MemberState, RequestId};
use apricothall_types::{Digest, Incarnation, Interval, MemberId, Outcome, Revision, Role};
use apricothall_types::{Timestamp, Vm, VmList, VmState, WallTime};

pub const LEASE: u64 = 10;
pub const LAG: u64 = 6;
/// Maximum difference of a wall clock from real time, which is half of the skew.
pub const OFFSET: u64 = 1;
pub const HORIZON: u64 = 150;
pub const DEADLINE: u64 = 25;
/// Time after its first order for which an opaque key is retried.
pub const RETRIES: u64 = 40;
/// Real time at the start, large enough that no offset makes a time negative.
const EPOCH: u64 = 1_000;

/// One step of a schedule. Numbers select an agent, key or message modulo their count.
#[derive(Clone, Debug)]
pub enum Step {
    Tick(u64),
    /// The agent's process restarts.
    Boot(usize),
    /// The platform adds the VM to its list.
    List(usize),
    /// The platform removes the VM from its list.
    Drop(usize),
    /// The agent requests the list; the response is of this age.
    Fetch(usize, u64),
    /// The response reaches the agent.
    Read(usize),
    /// A caller creates a key, with a clock at this offset from real time.
    Key(i64),
    /// A caller creates a key without an encoded time.
    Opaque,
    /// An order with the key reaches the agent.
    Order(usize, usize),
    /// An order with the key that was created this many keys ago reaches the agent.
    Recent(usize, usize),
    /// A caller creates a key with a ticket for the agent.
    Ticket(usize),
    /// A call reaches an entry that sees a set of agents, with incarnations that lag by some
    /// number. The key was created this many keys ago and comes alone, with its own ticket, or with
    /// the ticket of another key.
    Call(u8, u64, usize, usize),
    /// A message arrives, not necessarily for the first time.
    Deliver(usize),
    /// The message that was sent this many messages ago arrives, not necessarily for the first
    /// time.
    Late(usize),
    /// Time passes while the agents of this set keep reading a list of this age.
    Live(u64, u8, u64),
    /// All messages arrive in the order sent, including those sent in response.
    Settle,
}

#[derive(Clone, Debug)]
enum Message {
    Ask(MemberId, ClaimRequest),
    Reply(ClaimReply),
}

struct Agent {
    id: MemberId,
    offset: i64,
    incarnation: u64,
    claims: Claims,
    register: Register,
    fetched: Option<(VmList, Timestamp)>,
}

/// Observed state of one key.
#[derive(Clone, Debug, Default)]
pub struct KeyRecord {
    pub birth: u64,
    pub starts: u32,
    pub not_run: bool,
    pub ticket: Option<Ticket>,
    /// Whether the key has no encoded time.
    pub opaque: bool,
    /// Time of the first order for the key.
    pub first: Option<u64>,
}

#[derive(Default)]
pub struct World {
    now: u64,
    config: ClaimsConfig,
    agents: Vec<Agent>,
    lists: Vec<(u64, VmList)>,
    messages: Vec<Message>,
    delivered: usize,
    pub keys: Vec<KeyRecord>,
    pub orders: u64,
    pub sent: u64,
    pub refused: BTreeMap<String, u64>,
}

pub fn config() -> ClaimsConfig {
    ClaimsConfig {
        lease: Interval::millis(LEASE),
        lag: Interval::millis(LAG),
        skew: Interval::millis(2 * OFFSET),
        horizon: Interval::millis(HORIZON),
        opaque: OpaqueKeys::Accept,
        opaque_horizon: Interval::millis(RETRIES),
        max_marks: 1_000,
    }
}

fn key_of(index: usize) -> CallKey {
    CallKey(Digest::of(&index.to_le_bytes()))
}

fn home(id: &MemberId, incarnation: u64) -> Home {
    Home {
        id: id.clone(),
        incarnation: Incarnation(incarnation),
    }
}

fn register(id: &MemberId, incarnation: u64) -> Register {
    let config = DedupeConfig {
        horizon: Interval::millis(HORIZON),
        ..DedupeConfig::default()
    };
    Register::new(home(id, incarnation), config)
}

impl World {
    pub fn new(agents: usize, config: ClaimsConfig) -> Self {
        let mut world = Self {
            now: EPOCH,
            config,
            lists: vec![(0, VmList::default())],
            ..Self::default()
        };
        for i in 0..agents {
            let offset = [0, 1, -1][i % 3];
            let id: MemberId = format!("vm-{i}").parse().expect("valid id");
            let claims = world.boot(&id, 0, offset);
            let register = register(&id, 0);
            world.agents.push(Agent {
                id,
                offset,
                incarnation: 0,
                claims,
                register,
                fetched: None,
            });
        }
        world
    }

    fn clock(&self, offset: i64) -> ClockReading {
        ClockReading {
            now: Timestamp::from_millis(self.now),
            wall: WallTime(self.now.saturating_add_signed(offset)),
        }
    }

    fn boot(&self, id: &MemberId, incarnation: u64, offset: i64) -> Claims {
        Claims::new(
            home(id, incarnation),
            self.config.clone(),
            self.clock(offset),
        )
    }

    pub fn run(&mut self, steps: impl IntoIterator<Item = Step>) -> &mut Self {
        for step in steps {
            self.step(&step);
        }
        self
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Tick(span) => self.now += span,
            Step::Boot(i) => self.restart(i % self.agents.len()),
            Step::List(i) => self.relist(i % self.agents.len(), true),
            Step::Drop(i) => self.relist(i % self.agents.len(), false),
            Step::Fetch(i, age) => self.fetch(i % self.agents.len(), age),
            Step::Read(i) => self.read(i % self.agents.len()),
            Step::Key(offset) => self.keys.push(KeyRecord {
                birth: self.now.saturating_add_signed(offset),
                ..KeyRecord::default()
            }),
            Step::Opaque => self.keys.push(KeyRecord {
                opaque: true,
                ..KeyRecord::default()
            }),
            Step::Order(i, key) if !self.keys.is_empty() => {
                self.order(i % self.agents.len(), key % self.keys.len());
            }
            Step::Recent(i, back) if back < self.keys.len() => {
                self.order(i % self.agents.len(), self.keys.len() - 1 - back);
            }
            Step::Late(back) if back < self.messages.len() => {
                self.deliver(self.messages.len() - 1 - back);
            }
            Step::Live(span, set, age) => self.live(span, set, age),
            Step::Deliver(i) if !self.messages.is_empty() => {
                self.deliver(i % self.messages.len());
            }
            Step::Ticket(i) => self.ticket(i % self.agents.len()),
            Step::Call(seen, lag, back, with) if back < self.keys.len() => {
                self.call(seen, lag, self.keys.len() - 1 - back, with);
            }
            Step::Call(..)
            | Step::Order(..)
            | Step::Recent(..)
            | Step::Deliver(_)
            | Step::Late(_) => {}
            Step::Settle => {
                while self.delivered < self.messages.len() {
                    self.delivered += 1;
                    self.deliver(self.delivered - 1);
                }
            }
        }
    }

    fn ticket(&mut self, i: usize) {
        let agent = &self.agents[i];
        let ticket = Ticket {
            home: home(&agent.id, agent.incarnation),
            name: "booking".parse().expect("valid name"),
            expires: WallTime(self.now + HORIZON / 2),
        };
        self.keys.push(KeyRecord {
            birth: self.now,
            ticket: Some(ticket),
            ..KeyRecord::default()
        });
    }

    fn call(&mut self, seen: u8, lag: u64, key: usize, with: usize) {
        let own = self.keys[key].ticket.clone();
        let text = own.as_ref().map_or(String::new(), Ticket::prefix) + &key.to_string();
        let ticket = match with % 3 {
            0 => None,
            1 => own,
            _ => self.keys[with % self.keys.len()].ticket.clone(),
        };
        let text = text.parse().expect("valid key");
        let choice = choose(&self.entry(), Some(&text), ticket.as_ref(), |id| {
            let at = self.agents.iter().position(|a| a.id == *id)?;
            let incarnation = self.agents[at].incarnation.saturating_sub(lag);
            let visible = seen & (1 << at) != 0;
            visible.then_some((Incarnation(incarnation), MemberState::Alive))
        });
        match choice {
            Choice::Run(home, Binding::Claims) => {
                let at = self.agents.iter().position(|a| a.id == home.id);
                self.order(at.expect("known agent"), key);
            }
            Choice::Run(home, Binding::Ticket) => {
                self.admit(home, key, ticket.expect("given").expires);
            }
            Choice::Refuse(_, outcome) => self.keys[key].not_run |= outcome == Outcome::NotRun,
            Choice::Ask(_) | Choice::Any => unreachable!("agents are alive, calls run once"),
        }
    }

    fn admit(&mut self, home: Home, key: usize, expires: WallTime) {
        let at = self.agents.iter().position(|a| a.id == home.id);
        let at = at.expect("known agent");
        let clock = self.clock(self.agents[at].offset);
        let order = Order {
            home,
            key: key_of(key),
            fingerprint: Digest([0; 32]),
            request: RequestId(0),
            deadline: clock.now + std::time::Duration::from_millis(1),
            expires,
        };
        match self.agents[at].register.admit(&order, clock) {
            RegisterDecision::Run => self.keys[key].starts += 1,
            RegisterDecision::Refuse(why) => {
                self.keys[key].not_run |= why.outcome() == Outcome::NotRun;
            }
            _ => {}
        }
    }

    fn entry(&self) -> CatalogueEntry {
        let pool: Vec<_> = self.agents.iter().map(|a| a.id.as_str()).collect();
        let text = format!(
            "[[entries]]\nname = \"booking\"\nkind = \"service\"\nowner = \"o\"\nreplicas = 1\n\
             repeatable = false\npool = {pool:?}\n"
        );
        Catalogue::parse(&text).expect("valid").entries.remove(0)
    }

    fn live(&mut self, span: u64, set: u8, age: u64) {
        for at in 0..=span {
            self.now += u64::from(at > 0);
            // The lists are read often enough to keep the lease.
            let due = at % (LEASE / 3) == 0 || at == span;
            let agents = (0..self.agents.len()).filter(|i| due && set & (1 << i) != 0);
            for i in agents {
                self.fetch(i, age);
                self.read(i);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        let agent = &self.agents[i];
        let incarnation = agent.incarnation + 1;
        let claims = self.boot(&agent.id, incarnation, agent.offset);
        let agent = &mut self.agents[i];
        agent.incarnation = incarnation;
        agent.claims = claims;
        agent.register = register(&agent.id, incarnation);
        agent.fetched = None;
    }

    fn relist(&mut self, i: usize, listed: bool) {
        let (_, last) = self.lists.last().expect("never empty");
        let id = self.agents[i].id.clone();
        if last.vms.iter().any(|vm| vm.id == id) == listed {
            return;
        }
        let mut next = last.clone();
        next.revision = last.revision.next();
        next.vms.retain(|vm| vm.id != id);
        if listed {
            next.vms.push(vm(id, next.revision));
        }
        self.lists.push((self.now, next));
    }

    fn fetch(&mut self, i: usize, age: u64) {
        let at = self.now.saturating_sub(age.min(LAG));
        let (_, list) = self.lists.iter().rfind(|(t, _)| *t <= at).expect("first");
        let asked = Timestamp::from_millis(self.now);
        self.agents[i].fetched = Some((list.clone(), asked));
    }

    fn read(&mut self, i: usize) {
        let pool: Vec<_> = self.agents.iter().map(|a| a.id.clone()).collect();
        let clock = self.clock(self.agents[i].offset);
        let agent = &mut self.agents[i];
        if let Some((list, asked)) = agent.fetched.take() {
            agent.claims.view().observe(&list, &pool, asked, clock);
        }
    }

    fn order(&mut self, i: usize, key: usize) {
        let seen = &mut self.keys[key];
        let first = *seen.first.get_or_insert(self.now);
        if seen.opaque && self.now > first + RETRIES {
            return;
        }
        self.orders += 1;
        let birth = (!seen.opaque).then_some(WallTime(seen.birth));
        let clock = self.clock(self.agents[i].offset);
        let deadline = Timestamp::from_millis(self.now + DEADLINE);
        let claims = &mut self.agents[i].claims;
        match claims.handle_order(key_of(key), birth, deadline, clock) {
            OrderDecision::Run => self.keys[key].starts += 1,
            OrderDecision::Refuse(denied) => self.refuse(key, denied),
            OrderDecision::Known => *self.refused.entry("Known".into()).or_default() += 1,
            OrderDecision::RequestClaims(ask, ids) => {
                let asks = ids.into_iter().map(|id| Message::Ask(id, ask.clone()));
                let before = self.messages.len();
                self.messages.extend(asks);
                self.sent += (self.messages.len() - before) as u64;
            }
        }
    }

    fn refuse(&mut self, key: usize, denied: Denial) {
        *self.refused.entry(format!("{denied:?}")).or_default() += 1;
        self.keys[key].not_run |= denied.outcome() == Outcome::NotRun;
    }

    fn deliver(&mut self, index: usize) {
        match self.messages[index].clone() {
            Message::Ask(to, ask) => {
                let Some(agent) = self.agents.iter().position(|a| a.id == to) else {
                    return;
                };
                let clock = self.clock(self.agents[agent].offset);
                let reply = self.agents[agent].claims.handle_request(&ask, clock);
                self.messages.push(Message::Reply(reply));
                self.sent += 1;
            }
            Message::Reply(reply) => self.answer(&reply),
        }
    }

    fn answer(&mut self, reply: &ClaimReply) {
        let to = self.agents.iter().position(|a| a.id == reply.to.id);
        let agent = to.expect("known agent");
        let clock = self.clock(self.agents[agent].offset);
        let progress = self.agents[agent].claims.handle_reply(reply, clock);
        let mut keys = 0..self.keys.len();
        let key = keys.find(|k| key_of(*k) == reply.key).expect("known key");
        match progress {
            Progress::Run => self.keys[key].starts += 1,
            Progress::Refuse(denied) => self.refuse(key, denied),
            Progress::Wait => {}
        }
    }

    /// First key that started twice, or started although `not_run` was reported.
    pub fn violation(&self) -> Option<String> {
        let violates = |k: &&KeyRecord| k.starts > 1 || (k.starts > 0 && k.not_run);
        self.keys.iter().find(violates).map(|k| format!("{k:?}"))
    }

    /// Verdicts replied so far.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let replies = self.messages.iter().filter_map(|m| match m {
            Message::Reply(reply) => Some(reply.verdict),
            Message::Ask(..) => None,
        });
        replies.collect()
    }
}

fn vm(id: MemberId, since: Revision) -> Vm {
    Vm {
        id,
        address: ([127, 0, 0, 1], 1).into(),
        role: Role::Agent,
        region: "r".parse().expect("valid region"),
        zone: "z".parse().expect("valid zone"),
        state: VmState::Live,
        since,
    }
}

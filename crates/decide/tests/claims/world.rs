//! Schedule interpreter that drives the real state machines: agents, a stale VM list, skewed
//! clocks, and messages that are lost, duplicated and reordered. Real time is in milliseconds.

mod calls;
mod lists;
mod messages;

use std::collections::BTreeMap;

use apricothall_decide::claims::{ClaimReply, ClaimRequest, Claims, Verdict};
use apricothall_decide::configs::{ClaimsConfig, DedupeConfig, OpaqueKeys};
use apricothall_decide::dedupe::{CallKey, ClockReading, Home, Register, Ticket};
use apricothall_types::{Digest, Incarnation, Interval, MemberId, Timestamp, VmList, WallTime};

use crate::step::Step;

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

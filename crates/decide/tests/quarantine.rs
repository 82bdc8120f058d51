//! Quarantine: a poison request crashes at most two servers, and records merge in any order.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::quarantine::{
    ArrivalDecision, Crash, Placement, Records, Standing, check_arrival, place,
};
use apricothall_types::{Digest, Incarnation, Interval, MemberId, WallTime};
use proptest::prelude::*;

const ENTRIES: usize = 4;
const SERVERS: usize = 5;
/// Fingerprints below this are poison, the others are innocent.
const POISON: u8 = 2;
const FINGERPRINT_COUNT: u8 = 4;
const NOW: WallTime = WallTime(1_000);

fn server(i: usize) -> MemberId {
    format!("vm-{i}").parse().expect("valid id")
}

fn fingerprint(i: u8) -> Digest {
    Digest([i; 32])
}

fn crash(i: usize, boot: u64) -> Crash {
    Crash {
        id: server(i),
        incarnation: Incarnation(1),
        boot: boot.to_string().into(),
    }
}

fn records() -> Records {
    Records::new(QuarantineConfig::default())
}

fn crashed(records: &mut Records, at: usize, boot: u64, running: &[u8]) {
    let alone = running.len() == 1;
    let running = running.iter().map(|i| fingerprint(*i)).collect();
    records.crashed(&crash(at, boot), &running, alone, NOW);
}

macro_rules! standings {
    ($($case:ident: |$r:ident| $steps:block => $expected:ident;)*) => {
        $(#[test] fn $case() {
            let mut $r = records();
            $steps
            assert_eq!($r.standing(&fingerprint(0)), Standing::$expected);
        })*
    };
}

standings! {
    unknown_is_clear: |r| { r.merge(&[], NOW); } => Clear;
    request_in_crashed_batch_is_suspect: |r| { crashed(&mut r, 0, 1, &[0, 1]); } => Suspect;
    crash_reported_twice_counts_once: |r| {
        crashed(&mut r, 0, 1, &[0, 1]); crashed(&mut r, 0, 1, &[0, 1]);
    } => Suspect;
    second_crash_condemns: |r| {
        crashed(&mut r, 0, 1, &[0, 1]); crashed(&mut r, 1, 1, &[0, 2]);
    } => Condemned;
    crash_alone_condemns: |r| { crashed(&mut r, 0, 1, &[0]); } => Condemned;
    completed_alone_is_cleared: |r| {
        crashed(&mut r, 0, 1, &[0, 1]); r.completed(fingerprint(0), NOW);
    } => Clear;
    crash_after_clearance_counts: |r| {
        crashed(&mut r, 0, 1, &[0, 1]); r.completed(fingerprint(0), NOW);
        crashed(&mut r, 1, 1, &[0, 1]);
    } => Suspect;
    clearance_does_not_undo_crash_alone: |r| {
        crashed(&mut r, 0, 1, &[0]); r.completed(fingerprint(0), NOW);
    } => Condemned;
    many_cleared_crashes_stay_suspect: |r| {
        for boot in 0..9 { crashed(&mut r, 0, boot, &[0, 1]); r.completed(fingerprint(0), NOW); }
    } => Suspect;
}

#[test]
fn records_are_bounded_and_condemned_ones_evicted_last() {
    let config = QuarantineConfig {
        max_records: 2,
        horizon: Interval::millis(10),
    };
    let mut records = Records::new(config);
    crashed(&mut records, 0, 1, &[0]);
    for i in 1..6 {
        crashed(&mut records, 0, u64::from(i), &[i, i + 1]);
    }
    assert_eq!(records.len(), 2);
    assert_eq!(records.standing(&fingerprint(0)), Standing::Condemned);
    records.merge(&[], WallTime(NOW.0 + 11));
    assert!(records.is_empty());
}

#[test]
fn suspect_runs_alone_on_the_other_server() {
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    let mut records = records();
    let Placement::Shared(pair) = place(&records, &fingerprint(0), &servers, |_| true) else {
        panic!("a clear request is shared");
    };
    assert_eq!(pair.len(), 2);
    let lost = servers
        .iter()
        .position(|id| *id == pair[0])
        .expect("listed");
    crashed(&mut records, lost, 1, &[0, 1]);
    assert_eq!(
        place(&records, &fingerprint(0), &servers, |_| true),
        Placement::Alone(pair[1].clone())
    );
    assert_eq!(
        place(&records, &fingerprint(0), &servers, |id| *id != pair[1]),
        Placement::Later
    );
    assert_eq!(
        check_arrival(&records, &fingerprint(0), &pair[0]),
        ArrivalDecision::Elsewhere
    );
    assert_eq!(
        check_arrival(&records, &fingerprint(0), &pair[1]),
        ArrivalDecision::Alone
    );
}

#[test]
fn innocent_request_of_crashed_batch_is_served_and_cleared() {
    let mut world = World::new();
    let ids: Vec<_> = (0..SERVERS).map(server).collect();
    let pair = |i| match place(&records(), &fingerprint(i), &ids, |_| true) {
        Placement::Shared(pair) => pair,
        other => panic!("{other:?}"),
    };
    let neighbour = (POISON..u8::MAX)
        .find(|i| pair(*i)[0] == pair(0)[0])
        .expect("one of many");
    let at = |k: usize| {
        ids.iter()
            .position(|id| *id == pair(neighbour)[k])
            .expect("listed")
    };
    world.step(&Step::Send(0, 0, 0));
    world.step(&Step::Send(1, neighbour, 0));
    world.step(&Step::Work(at(0)));
    assert_eq!(
        world.entries[1].standing(&fingerprint(neighbour)),
        Standing::Suspect
    );
    world.step(&Step::Send(1, neighbour, 0));
    assert!(world.servers[at(1)].alone);
    world.step(&Step::Work(at(1)));
    assert_eq!(
        world.entries[1].standing(&fingerprint(neighbour)),
        Standing::Clear
    );
}

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends the fingerprint through an entry, which selects a server of the pair.
    Send(usize, u8, usize),
    /// The server crashes if it runs poison; otherwise all running requests complete.
    Work(usize),
    /// The server restarts, and if the flag is set, its agent too.
    Boot(usize, bool),
    /// One entry's records reach another entry or a server's agent.
    Gossip(usize, usize),
}

#[derive(Default)]
struct Server {
    boot: u64,
    down: bool,
    alone: bool,
    /// Running fingerprints, with the entries that wait for each.
    running: BTreeMap<u8, BTreeSet<usize>>,
}

struct World {
    entries: Vec<Records>,
    agents: Vec<Records>,
    servers: Vec<Server>,
    /// Number of crashes while each poison fingerprint ran.
    lost: BTreeMap<u8, usize>,
}

impl World {
    fn new() -> Self {
        Self {
            entries: vec![records(); ENTRIES],
            agents: vec![records(); SERVERS],
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            lost: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Send(entry, i, pick) => self.place(entry, i, pick),
            Step::Work(at) => self.work(at),
            Step::Boot(at, killed) => self.boot(at, killed),
            Step::Gossip(from, to) => {
                let records = self.entries[from].all();
                let mut others = self.entries.iter_mut().chain(&mut self.agents);
                if let Some(other) = others.nth(to) {
                    other.merge(&records, NOW);
                }
            }
        }
    }

    fn place(&mut self, entry: usize, i: u8, pick: usize) {
        let ids: Vec<_> = (0..SERVERS).map(server).collect();
        let to = match place(&self.entries[entry], &fingerprint(i), &ids, |_| true) {
            Placement::Shared(pair) => pair[pick % pair.len()].clone(),
            Placement::Alone(id) => id,
            Placement::Refuse | Placement::Later => return,
        };
        let at = ids.iter().position(|id| *id == to).expect("listed");
        if self.servers[at].down {
            return;
        }
        // The order includes the entry's records.
        let records = self.entries[entry].all();
        self.agents[at].merge(&records, NOW);
        let arrival = check_arrival(&self.agents[at], &fingerprint(i), &to);
        let server = &mut self.servers[at];
        let idle = server.running.is_empty();
        match arrival {
            ArrivalDecision::Share if !server.alone => {}
            ArrivalDecision::Alone if idle => server.alone = true,
            _ => return,
        }
        server.running.entry(i).or_default().insert(entry);
    }

    fn work(&mut self, at: usize) {
        let server = &mut self.servers[at];
        let alone = std::mem::take(&mut server.alone);
        let running = std::mem::take(&mut server.running);
        if !running.keys().any(|i| *i < POISON) {
            for (i, entries) in running.iter().filter(|_| alone) {
                let changes = self.agents[at].completed(fingerprint(*i), NOW);
                for entry in entries {
                    self.entries[*entry].merge(&changes, NOW);
                }
            }
            return;
        }
        server.down = true;
        let prints: BTreeSet<_> = running.keys().map(|i| fingerprint(*i)).collect();
        let event = crash(at, server.boot);
        self.agents[at].crashed(&event, &prints, alone, NOW);
        for i in running.keys().filter(|i| **i < POISON) {
            *self.lost.entry(*i).or_default() += 1;
        }
        // Each entry observes only the loss of its own requests.
        for entry in 0..ENTRIES {
            let own = running.iter().filter(|(_, from)| from.contains(&entry));
            let own: BTreeSet<_> = own.map(|(i, _)| fingerprint(*i)).collect();
            self.entries[entry].crashed(&event, &own, alone, NOW);
        }
    }

    fn boot(&mut self, at: usize, killed: bool) {
        if !self.servers[at].down {
            return;
        }
        self.servers[at].down = false;
        self.servers[at].boot += 1;
        if killed {
            // A restarted agent receives the records of all entries before it accepts work.
            self.agents[at] = records();
            for entry in &self.entries {
                self.agents[at].merge(&entry.all(), NOW);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..ENTRIES, 0..FINGERPRINT_COUNT, 0..6_usize).prop_map(|(e, i, p)| Step::Send(e, i, p)),
        4 => (0..SERVERS).prop_map(Step::Work),
        3 => (0..SERVERS, any::<bool>()).prop_map(|(at, killed)| Step::Boot(at, killed)),
        1 => (0..ENTRIES, 0..ENTRIES + SERVERS).prop_map(|(a, b)| Step::Gossip(a, b)),
    ]
}

/// Records with random crashes and clearances.
fn some_records() -> impl Strategy<Value = Records> {
    let one = (
        0..SERVERS,
        0..9_u64,
        proptest::collection::vec(0..4_u8, 1..3),
        any::<bool>(),
    );
    proptest::collection::vec(one, 0..12).prop_map(|steps| {
        let mut all = records();
        for (at, boot, running, clear) in steps {
            crashed(&mut all, at, boot, &running);
            if clear {
                all.completed(fingerprint(running[0]), NOW);
            }
        }
        all
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default()
    })]

    #[test]
    fn poison_crashes_at_most_two_servers(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        let worst = world.lost.values().max().copied().unwrap_or_default();
        prop_assert!(worst <= 2, "{:?}", world.lost);
    }

    #[test]
    fn records_merge_in_any_order(a in some_records(), b in some_records(), c in some_records()) {
        let join = |parts: [&Records; 4]| {
            let mut all = records();
            for part in parts {
                all.merge(&part.all(), NOW);
            }
            all
        };
        let merged = join([&a, &b, &c, &c]);
        prop_assert_eq!(&merged, &join([&c, &a, &b, &a]));
        let mut pairs = join([&b, &c, &b, &c]);
        pairs.merge(&a.all(), NOW);
        prop_assert_eq!(&merged, &pairs);
    }
}

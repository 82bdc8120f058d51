//! Entries of a zone that read a large configuration over one link to the store, while operators
//! change it and entries restart.
//!
//! The model follows the decisions of `readers`. Its mutants show that it finds the faults of the
//! incident of issue 36.

use std::time::Duration;

use apricothall_decide::readers::{
    HealthyPeer, ReaderRole, awaits_peers, is_confirmation_due, reader_role, watch_wait,
};
use apricothall_decide::store_reachability::Subject;
use apricothall_types::{MemberId, Role};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the simulation, in ms.
const STEP: u64 = 50;

/// Length of a run, in ms.
const LENGTH: u64 = 30_000;

/// Interval of gossip within a zone, in ms.
const GOSSIP_INTERVAL: u64 = 400;

/// Interval of changes of the configuration, in ms.
const CHANGE_INTERVAL: u64 = 1_640;

/// Interval at which some entries are restarted, in ms.
const RESTART_INTERVAL: u64 = 1_540;

/// Time after which the other entries of a zone notice that one has ended, in ms.
const DETECTION: u64 = 1_000;

/// Size of an answer without a change, in bytes.
const EMPTY_ANSWER: u64 = 200;

/// Age up to which callers' keys are accepted.
const KEY_LIMIT: Duration = Duration::from_secs(5);

/// Maximum number of copies of the configuration that one zone may be reading at once.
const MAX_COPIES: usize = 4;

/// A fault that the decisions must not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Each confirmation reads the whole configuration.
    ListsToConfirm,
    /// All entries confirm at the same age.
    AllConfirm,
}

/// A zone and its link.
#[derive(Clone, Copy, Debug)]
struct Zone {
    entries: usize,
    /// Entries that are restarted at a time.
    restarted: usize,
    /// Size of the configuration, in bytes.
    size: u64,
    /// Rate of the link, in bytes per second.
    rate: u64,
}

/// A read of the store.
#[derive(Clone, Copy, Debug)]
struct Read {
    asked: u64,
    /// When the store answers at the latest if there is no change.
    until: u64,
    /// Bytes of the answer that have not arrived; `None` while the store holds it back.
    left: Option<u64>,
    /// Version in the answer.
    version: u32,
    whole: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Time of its last restart, if any.
    started: Option<u64>,
    /// Version of its configuration; zero if there is none.
    held: u32,
    confirmed: Option<u64>,
    read: Option<Read>,
}

struct Model {
    zone: Zone,
    mutant: Mutant,
    version: u32,
    changed: u64,
    /// Number of copies read by entries that already had the configuration.
    needless: u32,
    ids: Vec<MemberId>,
    entries: Vec<Entry>,
}

impl Model {
    fn new(zone: Zone, mutant: Mutant) -> Self {
        let id = |number| format!("entry-{number:03}").parse().expect("valid");
        let running = Entry {
            held: 1,
            confirmed: Some(0),
            ..Entry::default()
        };
        Self {
            zone,
            mutant,
            version: 1,
            changed: 0,
            needless: 0,
            ids: (0..zone.entries).map(id).collect(),
            entries: vec![running; zone.entries],
        }
    }

    /// Role of an entry, and the number of healthy entries that rank before it.
    fn role(&self, own: usize, now: u64) -> (ReaderRole, u32) {
        let is_healthy = |other: &usize| {
            let entry = &self.entries[*other];
            let is_known = entry.started.is_none_or(|at| at + DETECTION <= now);
            *other != own && entry.confirmed.is_some() && is_known
        };
        let healthy: Vec<_> = (0..self.zone.entries).filter(is_healthy).collect();
        let peers = healthy.iter().map(|other| HealthyPeer {
            id: &self.ids[*other],
            role: Role::Entry,
            same_zone: true,
        });
        let role = reader_role(&self.ids[own], Role::Entry, peers);
        let before = healthy.iter().filter(|other| **other < own).count();
        (role, u32::try_from(before).expect("small"))
    }

    /// How long an entry lets the store hold its next read back; `None` if it does not read now.
    fn wait(&self, own: usize, now: u64) -> Option<u64> {
        let entry = &self.entries[own];
        let waited = Duration::from_millis(now - entry.started.unwrap_or(0));
        if entry.held == 0 && awaits_peers(false, true, waited) {
            return None;
        }
        let (role, before) = self.role(own, now);
        let size = usize::try_from(self.zone.size).expect("small");
        if role.follows_item(size) {
            let wait = watch_wait(role, Subject::Operators);
            return u64::try_from(wait.as_millis()).ok();
        }
        let age = entry.confirmed.map(|at| Duration::from_millis(now - at));
        let due = match self.mutant {
            Mutant::AllConfirm => age.is_some_and(|age| age >= KEY_LIMIT * 45 / 100),
            _ => entry.held > 0 && is_confirmation_due(role, before, age, KEY_LIMIT),
        };
        due.then_some(0)
    }

    fn step(&mut self, now: u64) {
        for own in 0..self.entries.len() {
            if self.entries[own].read.is_none()
                && let Some(wait) = self.wait(own, now)
            {
                let whole = self.entries[own].held == 0 || self.mutant == Mutant::ListsToConfirm;
                self.entries[own].read = Some(Read {
                    asked: now,
                    until: now + wait,
                    left: None,
                    version: 0,
                    whole,
                });
            }
            self.answer(own, now);
        }
        self.transfer();
        if now.is_multiple_of(GOSSIP_INTERVAL) {
            self.gossip();
        }
    }

    /// The store begins to answer a read.
    fn answer(&mut self, own: usize, now: u64) {
        let entry = &mut self.entries[own];
        let Some(read) = entry.read.as_mut().filter(|r| r.left.is_none()) else {
            return;
        };
        let has_changed = self.version > entry.held;
        if !has_changed && now < read.until {
            return;
        }
        let whole = has_changed || read.whole;
        self.needless += u32::from(whole && !has_changed);
        read.version = self.version;
        read.left = Some(if whole { self.zone.size } else { EMPTY_ANSWER });
    }

    /// Answers share the link equally.
    fn transfer(&mut self) {
        let arriving = self.entries.iter().filter_map(|e| e.read?.left).count() as u64;
        let share = self.zone.rate * STEP / 1_000 / arriving.max(1);
        for entry in &mut self.entries {
            let Some(read) = entry.read.as_mut() else {
                continue;
            };
            let Some(left) = read.left.as_mut() else {
                continue;
            };
            *left = left.saturating_sub(share);
            if *left == 0 {
                entry.held = entry.held.max(read.version);
                entry.confirmed = entry.confirmed.max(Some(read.asked));
                entry.read = None;
            }
        }
    }

    /// Entries learn the newest configuration and its last confirmation from each other.
    fn gossip(&mut self) {
        let newest = self.entries.iter().map(|e| e.held).max().unwrap_or(0);
        let holders = self.entries.iter().filter(|e| e.held == newest);
        let confirmed = holders.filter_map(|e| e.confirmed).max();
        for entry in &mut self.entries {
            entry.held = newest;
            entry.confirmed = entry.confirmed.max(confirmed);
        }
    }

    fn check(&self, now: u64) -> Result<(), String> {
        let is_copy = |e: &&Entry| e.read.is_some_and(|r| r.left > Some(EMPTY_ANSWER));
        let copies = self.entries.iter().filter(is_copy).count();
        if copies > MAX_COPIES {
            return Err(format!("{now} ms: {copies} copies at once"));
        }
        let age = |e: &Entry| e.confirmed.map(|at| Duration::from_millis(now - at));
        let oldest = self.entries.iter().filter_map(age).max();
        if oldest >= Some(KEY_LIMIT) {
            return Err(format!(
                "{now} ms: keys are refused, confirmed {oldest:?} ago"
            ));
        }
        let transfer = self.zone.size * MAX_COPIES as u64 * 1_000 / self.zone.rate;
        let limit = DETECTION + transfer + GOSSIP_INTERVAL;
        let is_due = |e: &&Entry| now > self.changed.max(e.started.unwrap_or(0)) + limit;
        let late = self.entries.iter().filter(is_due);
        let behind = late.filter(|e| e.held < self.version).count();
        if behind > 0 {
            return Err(format!(
                "{now} ms: {behind} entries lack version {}",
                self.version
            ));
        }
        if self.needless > 0 {
            return Err(format!("{now} ms: read a configuration that it held"));
        }
        Ok(())
    }
}

fn simulate(seed: u64, zone: Zone, mutant: Mutant) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model::new(zone, mutant);
    let (mut change, mut restart) = (
        rng.random_range(1_000..3_000),
        rng.random_range(1_000..3_000),
    );
    for now in (0..LENGTH).step_by(usize::try_from(STEP).expect("small")) {
        if now >= change {
            change += CHANGE_INTERVAL;
            model.version += 1;
            model.changed = now;
        }
        if now >= restart {
            restart += RESTART_INTERVAL;
            let all: Vec<_> = (0..zone.entries).collect();
            for own in all.choose_multiple(&mut rng, zone.restarted) {
                model.entries[*own] = Entry {
                    started: Some(now),
                    ..Entry::default()
                };
            }
        }
        model.step(now);
        model.check(now)?;
    }
    Ok(())
}

/// Number of seeds of each case.
const SEEDS: u64 = 20;

fn failures(zone: Zone, mutant: Mutant) -> Vec<String> {
    let run = |seed| {
        simulate(seed, zone, mutant)
            .err()
            .map(|e| format!("seed {seed}, {e}"))
    };
    (0..SEEDS).filter_map(run).collect()
}

/// A zone of the incident: 12 entries behind a link between regions, of which it has a half.
const ZONE: Zone = Zone {
    entries: 12,
    restarted: 2,
    size: 473_000,
    rate: 1_600_000,
};

macro_rules! zones {
    ($($case:ident: $zone:expr;)*) => {
        $(#[test] fn $case() {
            let failures = failures($zone, Mutant::None);
            assert!(failures.is_empty(), "{failures:#?}");
        })*
    };
}

// Guard against the incident of issue 36: reads of a large configuration made each other slower.
zones! {
    a_zone_of_two_entries: Zone { entries: 3, restarted: 1, ..ZONE };
    a_zone_of_the_incident: ZONE;
    a_zone_with_a_small_configuration: Zone { size: 68_000, ..ZONE };
    a_zone_of_the_target: Zone { entries: 171, restarted: 4, ..ZONE };
    a_zone_with_ten_thousand_routes: Zone { size: 2_500_000, rate: 6_000_000, ..ZONE };
}

macro_rules! mutants {
    ($($case:ident: $mutant:ident;)*) => {
        $(#[test] fn $case() {
            assert!(!failures(ZONE, Mutant::$mutant).is_empty());
        })*
    };
}

// The model finds these faults.
mutants! {
    lists_as_confirmation_are_found: ListsToConfirm;
    confirmation_by_all_is_found: AllConfirm;
}

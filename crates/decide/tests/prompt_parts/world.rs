//! Model of entries that send requests with prompts to engines and tell each other of crashes.

mod gossip;
mod requests;
mod rules;

use std::time::Duration;

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::prompt_parts::SuspectParts;
use apricothall_decide::quarantine::Crash;
use apricothall_types::{PromptPart, Timestamp, WallTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::conditions::{Conditions, Mutation};
use crate::engine::{Engine, Event, Running};

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(10);

/// Steps between two gossip rounds.
const ROUND_TICKS: u64 = 10;

/// Maximum number of engines that a request is sent to.
const ATTEMPTS: u32 = 2;

/// Time for which an entry counts as out of touch after a restart or a cut, `contactMs` of the
/// users' pages.
const CONTACT: Duration = Duration::from_secs(3);

/// Length of a cut.
const CUT_TIME: Duration = Duration::from_secs(2);

/// Crashes by a part after which its requests are counted.
const COUNTED_CRASHES: usize = 5;

/// Wall time of all runs.
const WALL: WallTime = WallTime(1_000_000);

struct Entry {
    suspects: SuspectParts,
    cut_until: Timestamp,
    excused_until: Timestamp,
}

/// What came of the requests with one lethal part.
#[derive(Clone, Debug, Default)]
struct Lethal {
    crashes: Vec<Timestamp>,
    late: usize,
}

/// One run of the model.
pub struct World {
    conditions: Conditions,
    rng: ChaCha8Rng,
    now: Timestamp,
    ticks: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    lethal: Vec<Lethal>,
    /// Times at which sound requests were refused because of a verdict.
    refused: Vec<Timestamp>,
    numbers: u64,
}

fn part(id: &str) -> PromptPart {
    PromptPart {
        model: "m".into(),
        id: id.parse().expect("valid"),
    }
}

fn lethal_part(index: usize) -> PromptPart {
    part(&format!("dead{index}"))
}

impl World {
    /// Creates the entries and engines.
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        let entry = || Entry {
            suspects: SuspectParts::new(QuarantineConfig::default()),
            cut_until: Timestamp::default(),
            excused_until: Timestamp::default(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::from_millis(100_000),
            ticks: 0,
            entries: std::iter::repeat_with(entry)
                .take(conditions.entries)
                .collect(),
            engines: (0..conditions.engines).map(Engine::new).collect(),
            lethal: vec![Lethal::default(); conditions.lethal_shares.len()],
            refused: Vec::new(),
            numbers: 0,
            conditions,
        }
    }

    /// Advances the clock.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let first_lethal = self.now + self.conditions.warm_up;
        while self.now < end {
            self.now = self.now + TICK;
            self.ticks += 1;
            self.send_new(self.now >= first_lethal);
            self.disturb();
            for engine in 0..self.engines.len() {
                for event in self.engines[engine].step(self.now) {
                    self.apply(event);
                }
            }
            if self.ticks.is_multiple_of(ROUND_TICKS)
                && self.conditions.mutation != Some(Mutation::NoGossip)
            {
                self.gossip(self.ticks / ROUND_TICKS);
            }
        }
    }

    fn happens(&mut self, rate: f64) -> bool {
        let chance = (rate * TICK.as_secs_f64()).min(1.0);
        self.rng.random_bool(chance)
    }

    fn disturb(&mut self) {
        if self.happens(self.conditions.kills) {
            let engine = self.rng.random_range(0..self.engines.len());
            if self.engines[engine].is_up(self.now) {
                let event = self.engines[engine].crash(self.now);
                self.apply(event);
            }
        }
        if self.happens(self.conditions.restarts) {
            let entry = self.rng.random_range(0..self.entries.len());
            self.entries[entry].suspects = SuspectParts::new(QuarantineConfig::default());
            self.entries[entry].excused_until = self.now + CONTACT;
        }
        if self.happens(self.conditions.cuts) {
            let entry = self.rng.random_range(0..self.entries.len());
            self.entries[entry].cut_until = self.now + CUT_TIME;
            self.entries[entry].excused_until = self.now + CUT_TIME + CONTACT;
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Completed(request) => {
                if self.conditions.mutation != Some(Mutation::NoClearances) {
                    let suspects = &mut self.entries[request.entry].suspects;
                    let _ = suspects.completed(&request.parts, self.now, WALL);
                }
            }
            Event::Crashed(crash, lost) => self.lose(&crash, lost),
        }
    }

    fn lose(&mut self, crash: &Crash, lost: Vec<Running>) {
        let begun = |r: &&Running| r.lethal && r.begun.is_some();
        // The first lethal request that began has crashed it; none did if it ended of itself.
        if let Some(cause) = lost.iter().filter(begun).min_by_key(|r| r.begun)
            && let Some(index) = self.lethal_index(cause)
        {
            self.lethal[index].crashes.push(self.now);
        }
        for mut request in lost {
            let suspects = &mut self.entries[request.entry].suspects;
            let written = request.written(self.now);
            let tried = request.tried.as_ref();
            let _ = suspects.lost(&request.parts, tried, crash, written, self.now, WALL);
            request.sent_before += 1;
            if request.sent_before < ATTEMPTS {
                request.begun = None;
                let lethal = self.lethal_index(&request);
                self.send(request, lethal);
            }
        }
    }

    /// Index of the lethal part of a request; the first one if the parts are not known.
    fn lethal_index(&self, request: &Running) -> Option<usize> {
        let mut indices = 0..self.lethal.len();
        let named = indices.find(|index| request.parts.contains(&lethal_part(*index)));
        request.lethal.then(|| named.unwrap_or(0))
    }
}

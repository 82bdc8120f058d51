//! Simulated entries that share limits by gossip.

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall_decide::configs::LimitsConfig;
use apricothall_decide::limits::{Call, DemandRecord, Limiter, Reason};
use apricothall_types::Timestamp;
use apricothall_types::{CallerId, Catalogue, CatalogueEntry, Class, Incarnation, MemberId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of one simulation step.
const STEP: Duration = Duration::from_millis(20);
/// Number of steps between two records of an entry.
const GOSSIP_STEPS: u64 = 25;
/// Limit of the catalogue entry in requests per second.
pub const RATE: u32 = 800;
/// Burst of the catalogue entry, in requests.
const BURST: u32 = 48;
/// Window lengths, in steps, for which the sum of grants is compared with the limit.
pub const WINDOWS: [usize; 3] = [50, 250, 1_000];

fn entry() -> CatalogueEntry {
    let text = format!(
        "[[entries]]\nname = \"drafts\"\nkind = \"model\"\nowner = \"o\"\nreplicas = 2\n\
         class = \"critical\"\ncurrent = \"1\"\n\
         [[entries.versions]]\nversion = \"1\"\nmanifest = \"{}\"\n\
         [entries.limits]\nrate = {RATE}\nburst = {BURST}\ncaller = {RATE}\n",
        "0".repeat(64)
    );
    let catalogue = Catalogue::parse(&text).expect("valid catalogue");
    catalogue.entries.into_iter().next().expect("one entry")
}

fn member(index: usize) -> MemberId {
    format!("entry-{index}").parse().expect("valid id")
}

pub fn caller(index: usize) -> CallerId {
    format!("caller-{index}").parse().expect("valid id")
}

/// One simulated entry VM.
pub struct Node {
    pub limiter: Limiter,
    pub frozen: bool,
    pub alive: bool,
    pub partition: usize,
}

/// Simulated entries that gossip over a lossy network. Each has a clock with its own offset.
pub struct Fleet {
    pub catalogue: CatalogueEntry,
    pub nodes: Vec<Node>,
    in_flight: Vec<(u64, usize, DemandRecord)>,
    pub listed: BTreeSet<usize>,
    step: u64,
    pub starts: u64,
    pub granted: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            catalogue: entry(),
            nodes: Vec::new(),
            in_flight: Vec::new(),
            listed: (0..count).collect(),
            step: 0,
            starts: 0,
            granted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            let node = fleet.start(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    pub fn now(&self, index: usize) -> Timestamp {
        let ahead = Duration::from_secs(100 * index as u64);
        Timestamp::default() + ahead + STEP * u32::try_from(self.step).expect("short")
    }

    pub fn start(&mut self, index: usize) -> Node {
        self.starts += 1;
        let now = self.now(index);
        let incarnation = Incarnation(self.starts);
        let config = LimitsConfig::default();
        let mut limiter = Limiter::new(config, member(index), incarnation, now);
        limiter.set_catalogue([&self.catalogue], now);
        limiter.set_entries(self.listed.iter().map(|i| member(*i)), now);
        Node {
            limiter,
            frozen: false,
            alive: true,
            partition: 0,
        }
    }

    /// Gives the current list to all running entries.
    pub fn publish_list(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.now(index);
            let listed: Vec<_> = self.listed.iter().map(|i| member(*i)).collect();
            let node = &mut self.nodes[index];
            if node.alive && !node.frozen {
                node.limiter.set_entries(listed, now);
            }
        }
    }

    /// Runs one step: gossip, then `demand[i]` requests at entry `i`.
    pub fn advance(&mut self, demand: &[u32], loss: f64) {
        self.step += 1;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |m| m.0 <= self.step)
            .collect();
        for (_, to, record) in due {
            let now = self.now(to);
            if self.nodes[to].alive && !self.nodes[to].frozen {
                self.nodes[to].limiter.merge(record, now);
            }
        }
        let mut granted = 0;
        for index in 0..self.nodes.len() {
            let now = self.now(index);
            if !self.nodes[index].alive || self.nodes[index].frozen {
                continue;
            }
            if (self.step + index as u64).is_multiple_of(GOSSIP_STEPS) {
                let record = self.nodes[index].limiter.publish(now);
                self.send(index, &record, loss);
            }
            for _ in 0..demand.get(index).copied().unwrap_or(0) {
                granted += u32::from(self.request(index, 0, Class::Interactive).is_ok());
            }
        }
        self.granted.push(granted);
    }

    pub fn request(&mut self, index: usize, from: usize, class: Class) -> Result<(), Reason> {
        let caller = caller(from);
        let call = Call {
            entry: &self.catalogue,
            caller: &caller,
            class,
        };
        let now = self.now(index);
        let result = self.nodes[index].limiter.check(call, now);
        result.map_err(|refusal| {
            assert!(!refusal.after.is_zero(), "a refusal has a retry delay");
            refusal.reason
        })
    }

    fn send(&mut self, from: usize, record: &DemandRecord, loss: f64) {
        for to in 0..self.nodes.len() {
            let cut = self.nodes[to].partition != self.nodes[from].partition;
            if to == from || cut || self.rng.random_bool(loss) {
                continue;
            }
            let delay = self.rng.random_range(0..60);
            self.in_flight.push((self.step + delay, to, record.clone()));
        }
    }

    /// Largest excess of grants over the limit in any window, in requests.
    pub fn excess(&self) -> f64 {
        let mut worst = f64::MIN;
        for window in WINDOWS {
            for part in self.granted.windows(window) {
                let sum = f64::from(part.iter().sum::<u32>());
                let span = STEP.as_secs_f64() * f64::from(u32::try_from(window).expect("short"));
                worst = worst.max(sum - span * f64::from(RATE));
            }
        }
        worst
    }

    pub fn granted_since(&self, step: usize) -> u32 {
        self.granted[step..].iter().sum()
    }
}

/// Number of requests above the limit that are allowed in a window: for each start of an entry, its
/// part of the burst and the level of its one caller; and 100 ms of the limit, which buckets hold.
pub fn allowance(starts: u64, count: usize) -> f64 {
    let part = f64::from(BURST) / f64::from(u32::try_from(count).expect("few"));
    f64::from(u32::try_from(starts).expect("few")) * (part + 4.0) + f64::from(RATE) * 0.1
}

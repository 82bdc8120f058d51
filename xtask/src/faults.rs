//! Faults injected into a burst, at times derived from its seed.

use std::time::Duration;

use apricothall_standin::fleet::Fleet;
use apricothall_standin::network::{Fault as Effect, Port, Rule, RuleId, Side};
use apricothall_standin::weights::Corruption;
use apricothall_types::{Digest, MemberId};
use clap::ValueEnum;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{REGIONS, agent_id};

/// Duration of stalls and partitions.
const OUTAGE_DURATION: Duration = Duration::from_secs(4);

/// Time until a killed agent is removed from the VM list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Kills and stalls affect one in this many agents, at least one.
const AGENTS_PER_VICTIM: usize = 8;

/// The store sends one in this many chunks corrupted, once.
const CHUNKS_PER_CORRUPTION: usize = 20;

/// Interval between corrupted bytes on the link of one agent, in bytes.
const CORRUPTION_INTERVAL: u64 = 2 << 20;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Agents are killed.
    Kill,
    /// Links of agents stall for [`OUTAGE_DURATION`].
    Stall,
    /// The store and the link of an agent corrupt bytes.
    Corrupt,
    /// The store's region and another region are partitioned for [`OUTAGE_DURATION`].
    Partition,
    /// Another version is published during the transfer.
    Version,
    /// The weight store refuses all requests.
    StoreDown,
}

/// Faults and the times at which to inject them.
pub struct Schedule {
    faults: Vec<(Duration, Fault)>,
    rule_removals: Vec<(Duration, Vec<RuleId>)>,
    vm_removals: Vec<(Duration, MemberId)>,
    rng: ChaCha8Rng,
    agents: usize,
    second: Digest,
    chunks: u32,
    catalogue: String,
}

impl Schedule {
    /// Schedules faults at 20 to 60% of `span`. [`Fault::Version`] publishes `catalogue`.
    #[must_use]
    pub fn new(
        kinds: &[Fault],
        seed: u64,
        span: Duration,
        agents: usize,
        weights: (Digest, u32),
        catalogue: String,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = |_| span.mul_f64(rng.random_range(0.2..0.6));
        let faults = kinds.iter().map(|kind| (at(kind), *kind)).collect();
        Self {
            faults,
            rule_removals: Vec::new(),
            vm_removals: Vec::new(),
            rng,
            agents,
            second: weights.0,
            chunks: weights.1,
            catalogue,
        }
    }

    /// Injects the faults and ends the outages that are due.
    pub async fn step(&mut self, fleet: &mut Fleet, elapsed: Duration) {
        for (_, fault) in take_due(&mut self.faults, elapsed) {
            self.inject(fleet, fault, elapsed).await;
        }
        for (_, rules) in take_due(&mut self.rule_removals, elapsed) {
            fleet.network.remove_rules(&rules);
        }
        for (_, id) in take_due(&mut self.vm_removals, elapsed) {
            fleet.platform.vms.remove_vm(&id);
        }
    }

    async fn inject(&mut self, fleet: &mut Fleet, fault: Fault, now: Duration) {
        match fault {
            Fault::Kill => {
                for id in self.victims() {
                    fleet.node_mut(&id).kill().await;
                    if let Ok(vm) = fleet.node(&id).vm() {
                        self.vm_removals.push((now + LIST_LAG, vm.id));
                    }
                }
            }
            Fault::Stall => {
                let rules = self.victims().into_iter().flat_map(|id| {
                    let network = &fleet.network;
                    network.add_both(&Side::vm(&id), &Side::Any, &Effect::Stall)
                });
                let rules = rules.collect();
                self.rule_removals.push((now + OUTAGE_DURATION, rules));
            }
            Fault::Corrupt => self.corrupt(fleet),
            Fault::Partition => {
                let [home, other] = [REGIONS[0].0, REGIONS[1].0].map(region);
                let rules = fleet.network.add_both(&home, &other, &Effect::Cut);
                self.rule_removals
                    .push((now + OUTAGE_DURATION, rules.to_vec()));
            }
            Fault::Version => {
                let _ = fleet
                    .platform
                    .config
                    .publish("catalogue", self.catalogue.clone());
            }
            Fault::StoreDown => fleet.platform.store.set_unavailable(true),
        }
    }

    fn victims(&mut self) -> Vec<String> {
        let count = (self.agents / AGENTS_PER_VICTIM).max(1);
        let chosen = (0..self.agents).choose_multiple(&mut self.rng, count);
        chosen.into_iter().map(agent_id).collect()
    }

    fn corrupt(&mut self, fleet: &Fleet) {
        let count = (self.chunks as usize / CHUNKS_PER_CORRUPTION).max(1);
        for chunk in (0..self.chunks).choose_multiple(&mut self.rng, count) {
            let once = Corruption::Times(1);
            fleet.platform.store.corrupt(self.second, chunk, once);
        }
        let id = agent_id(self.rng.random_range(0..self.agents));
        let effect = Effect::CorruptEvery(CORRUPTION_INTERVAL);
        let rule = Rule::new(Side::vm(&id), Side::Any, effect);
        fleet.network.inject(rule.on(Port::Peers));
    }
}

/// Removes the items that are due and returns them.
fn take_due<T>(all: &mut Vec<(Duration, T)>, elapsed: Duration) -> Vec<(Duration, T)> {
    let (due, left) = std::mem::take(all)
        .into_iter()
        .partition(|(at, _)| *at <= elapsed);
    *all = left;
    due
}

fn region(name: &str) -> Side {
    name.parse().map_or(Side::Any, Side::Region)
}

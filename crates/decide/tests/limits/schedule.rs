//! Random schedules of faults of entries and of the network between them.

use proptest::prelude::*;

use crate::SETTLE_STEPS;
use crate::fleet::Fleet;

#[derive(Clone, Debug)]
pub enum Fault {
    Demand(u8),
    Freeze(usize),
    Resume(usize),
    Restart(usize),
    Crash(usize),
    Partition(u8),
    Loss(u8),
    Run(u64),
}

pub fn fault(count: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => any::<u8>().prop_map(Fault::Demand),
        2 => (0..count).prop_map(|i| Fault::Demand(1 << i)),
        1 => (0..count).prop_map(Fault::Freeze),
        1 => (0..count).prop_map(Fault::Resume),
        1 => (0..count).prop_map(Fault::Restart),
        1 => (0..count).prop_map(Fault::Crash),
        1 => any::<u8>().prop_map(Fault::Partition),
        1 => (0..90_u8).prop_map(Fault::Loss),
        6 => (10..300_u64).prop_map(Fault::Run),
    ]
}

pub fn run_schedule(count: usize, faults: Vec<Fault>, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed);
    let mut demand = vec![20];
    let mut loss = 0.0;
    (0..SETTLE_STEPS).for_each(|_| fleet.advance(&demand, loss));
    for fault in faults {
        match fault {
            Fault::Demand(mask) => {
                demand = (0..count).map(|i| u32::from(mask >> i & 1) * 20).collect();
            }
            Fault::Freeze(index) => fleet.nodes[index].frozen = true,
            Fault::Resume(index) => fleet.nodes[index].frozen = false,
            Fault::Crash(index) => fleet.nodes[index].alive = false,
            Fault::Restart(index) => fleet.nodes[index] = fleet.start(index),
            Fault::Partition(mask) => {
                for (index, node) in fleet.nodes.iter_mut().enumerate() {
                    node.partition = usize::from(mask >> index & 1);
                }
            }
            Fault::Loss(percent) => loss = f64::from(percent) / 100.0,
            Fault::Run(steps) => (0..steps).for_each(|_| fleet.advance(&demand, loss)),
        }
    }
    fleet
}

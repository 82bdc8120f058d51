//! Settings of [`crate::routing`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// Strategy for the selection of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingStrategy {
    /// The less loaded of two random replicas, unless prefix affinity applies.
    #[default]
    TwoChoices,
    /// Each replica in turn.
    RoundRobin,
    /// A random replica, with uniform probability.
    Random,
}

/// Settings of [`crate::routing`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {
    /// Strategy for the selection of a replica.
    pub strategy: RoutingStrategy,
    /// Age at which the weight of a load report has halved.
    pub halving: Interval,
    /// Number of preferred replicas per prefix; 0 disables affinity.
    pub preferred: usize,
    /// Load above which a preferred replica is not used, in percent of the mean load.
    pub bound: u32,
    /// Mean load from which replicas at the next distance are used as well, in percent of the slots.
    pub spill: u32,
    /// Number of replicas per distance to which an entry keeps connections; 0 means all.
    pub subset: usize,
    /// Maximum number of hints about cached prefixes.
    pub hints: usize,
    /// Age at which a hint expires.
    pub expiry: Interval,
    /// Maximum number of prompt prefixes remembered for engines that retain prompts.
    pub prompts: usize,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            strategy: RoutingStrategy::TwoChoices,
            halving: Interval::millis(500),
            preferred: 2,
            bound: 125,
            spill: 100,
            subset: 64,
            hints: 4_096,
            expiry: Interval::secs(60),
            prompts: 65_536,
        }
    }
}

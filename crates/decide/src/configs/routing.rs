//! Settings of [`crate::routing`].

use apricothall_types::Interval;
use serde::{Deserialize, Serialize};

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingStrategy {
    /// The less loaded of two, after prefix affinity.
    #[default]
    TwoChoices,
    /// Each in turn.
    RoundRobin,
    /// Any, with equal chance.
    Random,
}

/// Settings of [`crate::routing`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {
    /// How a replica is chosen.
    pub strategy: RoutingStrategy,
    /// Age at which a reported load counts half.
    pub halving: Interval,
    /// Replicas that a prefix prefers; 0 turns affinity off.
    pub preferred: usize,
    /// Load of a preferred replica above which a request goes elsewhere, in percent of the mean.
    pub bound: u32,
    /// Mean load, in percent of the slots, above which the next farther replicas are used too.
    pub spill: u32,
    /// Replicas of each distance that an entry keeps connections to; 0 for all.
    pub subset: usize,
    /// Hints about cached prefixes that are kept.
    pub hints: usize,
    /// Age above which a hint is dropped.
    pub expiry: Interval,
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
        }
    }
}

//! Parts of prompts that crash servers, checked on a model of many entries and engines.

mod conditions;
mod cost;
mod engine;
mod standing;
mod world;

use std::time::Duration;

use conditions::{Conditions, Mutation};
use world::World;

/// Length of a run after the first lethal request.
const RUN_TIME: Duration = Duration::from_secs(14);

/// A site with lethal requests at `shares` of all, and nothing else.
fn calm(entries: usize, engines: usize, shares: &[f64]) -> Conditions {
    Conditions {
        entries,
        zones: if entries > 100 { 7 } else { 3 },
        engines,
        requests: 100.0,
        lethal_shares: shares.to_vec(),
        first_parts: 40,
        warm_up: Duration::from_secs(4),
        loss: 0.0,
        kills: 0.0,
        restarts: 0.0,
        cuts: 0.0,
        mutation: None,
    }
}

/// Runs `conditions` with `seeds` and returns what the users' rules say of it.
fn run(conditions: &Conditions, seeds: std::ops::Range<u64>) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in seeds {
        let mut world = World::new(seed, conditions.clone());
        world.run(conditions.warm_up + RUN_TIME);
        let found = world.violations();
        violations.extend(found.into_iter().map(|v| format!("seed {seed}: {v}")));
    }
    violations
}

macro_rules! lethal_parts {
    ($($(#[$doc:meta])* $case:ident: $conditions:expr, $seeds:expr;)*) => {
        $($(#[$doc])* #[test] fn $case() {
            let violations = run(&$conditions, $seeds);
            assert!(violations.is_empty(), "{violations:#?}");
        })*
    };
}

// Guard against requests that reach servers although they share a part that crashes them, and
// against sound requests that are refused for it (issue 33).
lethal_parts! {
    one_entry: calm(1, 11, &[0.05]), 0..4;
    eight_entries: calm(8, 11, &[0.05]), 0..8;
    a_rare_part: calm(8, 11, &[0.005]), 0..4;
    a_part_in_much_of_the_traffic: calm(8, 11, &[0.3]), 0..4;
    three_parts: calm(8, 11, &[0.05, 0.02, 0.1]), 0..8;
    from_the_first_request_on:
        Conditions { warm_up: Duration::ZERO, ..calm(8, 11, &[0.05]) }, 0..8;
    first_parts_that_all_requests_share: Conditions { first_parts: 1, ..calm(8, 11, &[0.05]) }, 0..4;
    first_parts_that_few_requests_share:
        Conditions { first_parts: 400, ..calm(8, 11, &[0.05, 0.02]) }, 0..8;
    engines_that_end_of_themselves: Conditions { kills: 1.0, ..calm(8, 11, &[0.05, 0.02]) }, 0..8;
    entries_that_restart: Conditions { restarts: 1.0, ..calm(8, 11, &[0.05]) }, 0..8;
    entries_that_are_cut_off: Conditions { cuts: 0.5, loss: 0.1, ..calm(8, 11, &[0.05]) }, 0..8;
    sixty_entries: Conditions { requests: 550.0, ..calm(60, 60, &[0.05, 0.01]) }, 0..3;
    three_hundred_entries: Conditions { requests: 1_800.0, ..calm(300, 200, &[0.05]) }, 0..1;
    all_daemons_of_the_target:
        Conditions { requests: 4_000.0, ..calm(2_400, 10_000, &[0.02]) }, 0..1;
}

macro_rules! mutations {
    ($($case:ident: $mutation:expr, $conditions:expr;)*) => {
        $(#[test] fn $case() {
            let conditions = Conditions { mutation: Some($mutation), ..$conditions };
            let violations = run(&conditions, 0..4);
            assert!(!violations.is_empty(), "the model does not notice");
        })*
    };
}

// Guard against a model that would pass whatever the decisions are.
mutations! {
    no_gossip_is_noticed: Mutation::NoGossip, calm(8, 11, &[0.05]);
    no_clearances_are_noticed: Mutation::NoClearances, Conditions { kills: 1.0, ..calm(8, 11, &[0.05]) };
    keys_of_whole_requests_are_noticed: Mutation::WholeRequests, calm(8, 11, &[0.05]);
}

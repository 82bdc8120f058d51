//! Batched reloads of a zone: enough engines keep serving, and all start to load by the deadline.

use apricothall_decide::reload::{
    Neighbour, PartialFetch, Progress, ReloadConfig, may_load, should_finish_older,
};
use apricothall_types::{MemberId, Timestamp};
use proptest::prelude::*;

const STEP_MS: u64 = 100;
/// Time that an engine takes to finish running requests and load.
const LOAD_MS: u64 = 2_000;
const DUE_MS: u64 = 8_000;

fn agents(count: usize) -> Vec<MemberId> {
    let name = |i| format!("agent-{i}").parse().expect("valid");
    (0..count).map(name).collect()
}

struct Outcome {
    max_loading: usize,
    last_start: u64,
}

/// Simulates one zone whose engines all have the pieces at `complete` ms. Each agent sees the state
/// of the others one step late.
fn simulate(count: usize, complete: u64) -> Outcome {
    let config = ReloadConfig::default();
    let ids = agents(count);
    let mut started: Vec<Option<u64>> = vec![None; count];
    let mut outcome = Outcome {
        max_loading: 0,
        last_start: 0,
    };
    let progress = |start: Option<u64>, now: u64| match start {
        Some(at) if now >= at + LOAD_MS => Progress::Done,
        Some(_) => Progress::Loading,
        None if now >= complete => Progress::Complete,
        None => Progress::Fetching,
    };
    let due = Timestamp::from_millis(DUE_MS);
    for now in (0..DUE_MS + LOAD_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        let seen = started.clone();
        for (i, me) in ids.iter().enumerate() {
            let others = (0..count).filter(|j| *j != i).map(|j| Neighbour {
                id: ids[j].clone(),
                progress: progress(seen[j], now.saturating_sub(STEP_MS)),
            });
            let others: Vec<_> = others.collect();
            let own = progress(started[i], now);
            let since = Timestamp::from_millis(complete);
            if may_load(
                &config,
                me,
                own,
                since,
                &others,
                due,
                Timestamp::from_millis(now),
            ) {
                started[i] = Some(now);
                outcome.last_start = now;
            }
        }
        let loading = |s: &&Option<u64>| progress(**s, now) == Progress::Loading;
        let out = started.iter().filter(loading).count();
        if now + 1_000 < DUE_MS {
            outcome.max_loading = outcome.max_loading.max(out);
        }
    }
    assert!(
        started.iter().all(Option::is_some),
        "an engine never loaded"
    );
    outcome
}

proptest! {
    #[test]
    fn part_of_a_zone_keeps_serving_and_all_start_by_the_deadline(
        count in 1..12_usize,
        complete in 1_000..5_000_u64,
    ) {
        let outcome = simulate(count, complete);
        let limit = (count * 40).div_ceil(100);
        prop_assert!(outcome.max_loading <= limit, "{} of {count} engines loading", outcome.max_loading);
        prop_assert!(outcome.last_start < DUE_MS);
    }
}

#[test]
fn empty_engine_loads_immediately() {
    let ids = agents(2);
    let other = Neighbour {
        id: ids[1].clone(),
        progress: Progress::Loading,
    };
    let now = Timestamp::from_millis(0);
    let due = Timestamp::from_millis(DUE_MS);
    let config = ReloadConfig::default();
    assert!(may_load(
        &config,
        &ids[0],
        Progress::Empty,
        now,
        &[other],
        due,
        now
    ));
}

macro_rules! finishes_older {
    ($($case:ident: $available:literal of $pieces:literal, due at $due:literal => $finishes:literal;)*) => {
        $(#[test] fn $case() {
            let partial = PartialFetch {
                available: $available,
                pieces: $pieces,
                due: Timestamp::from_millis($due),
            };
            let now = Timestamp::from_millis(20_000);
            assert_eq!(should_finish_older(partial, now), $finishes);
        })*
    };
}

// Guards against agents that abandon a nearly complete version: two versions are published two
// seconds apart, the origin becomes unavailable half a second later, and agents that dropped the
// first version have neither when the one served before them expires.
finishes_older! {
    nearly_complete_version_is_finished: 60 of 64, due at 28_000 => true;
    half_complete_version_is_finished: 33 of 64, due at 28_000 => true;
    barely_started_version_is_dropped: 10 of 64, due at 28_000 => false;
    version_that_expires_soon_is_dropped: 64 of 64, due at 21_400 => false;
    version_without_known_pieces_is_dropped: 0 of 0, due at 28_000 => false;
}

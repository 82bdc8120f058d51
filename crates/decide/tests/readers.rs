//! Who reads the store, as daemons come, go and lose it.

use std::time::Duration;

use apricothall_decide::readers::{
    HealthyPeer, ReaderRole, StoreReachability, reader_role, retry_pause,
};
use apricothall_types::{MemberId, Role, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn id(name: &str) -> MemberId {
    name.parse().expect("valid")
}

/// The turn of `own`, hearing entries of its zone (`a-…`) and of another (`b-…`), and agents of
/// its zone (`side-…`).
fn decides(own: &str, heard: &[&str]) -> ReaderRole {
    let role = |name: &str| {
        if name.starts_with("side") {
            return Role::Agent;
        }
        Role::Entry
    };
    let ids: Vec<_> = heard.iter().map(|name| (id(name), role(name))).collect();
    let others = ids.iter().map(|(id, role)| HealthyPeer {
        id,
        role: *role,
        same_zone: !id.as_str().starts_with("b-"),
    });
    reader_role(&id(own), role(own), others)
}

macro_rules! readers {
    ($($case:ident: $own:literal hears $heard:expr => $turn:ident;)*) => {
        $(#[test] fn $case() { assert_eq!(decides($own, &$heard), ReaderRole::$turn); })*
    };
}

readers! {
    at_the_start_nobody_is_heard: "a-9" hears [] => Primary;
    the_first_of_a_zone: "a-1" hears ["a-2", "a-3", "a-4"] => Primary;
    the_second_of_a_zone: "a-2" hears ["a-1", "a-3", "a-4"] => Secondary;
    the_third_learns: "a-3" hears ["a-1", "a-2", "a-4"] => Follower;
    the_third_when_the_first_is_silent: "a-3" hears ["a-2", "a-4"] => Secondary;
    entries_of_other_zones_read_for_theirs: "a-3" hears ["b-1", "b-2", "a-1"] => Secondary;
    agents_read_for_no_entry: "a-3" hears ["side-1", "side-2", "a-1"] => Secondary;
    an_agent_learns_from_an_entry_of_its_zone: "side-1" hears ["a-1"] => Follower;
    an_agent_whose_zone_has_lost_its_entries: "side-1" hears ["b-1", "side-2"] => Primary;
    two_agents_of_such_a_zone_are_enough: "side-3" hears ["b-1", "side-1", "side-2"] => Follower;
}

/// All entries of a zone that hear each other: two read, whoever they are.
#[test]
fn two_of_a_zone_read() {
    let names = [
        "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8", "a-9",
    ];
    for lost in 0..names.len() {
        let alive: Vec<_> = names.iter().skip(lost).copied().collect();
        let count = alive
            .iter()
            .filter(|own| {
                let heard: Vec<_> = alive.iter().filter(|n| n != own).copied().collect();
                decides(own, &heard).reads()
            })
            .count();
        assert_eq!(count, alive.len().min(2), "{alive:?}");
    }
}

/// Reads a second that the store gives to all daemons.
const READS: f64 = 2_000.0;

/// Tasks of an entry that read the store: two subjects and the confirmation.
const TASKS: f64 = 3.0;

macro_rules! outages {
    ($($case:ident: $zones:literal zones of $entries:literal entries;)*) => {
        $(#[test] fn $case() {
            let a_second = |before| 1.0 / retry_pause(before, 0.5).as_secs_f64();
            let calls: f64 = (0..$entries).map(a_second).sum();
            let all = calls * f64::from($zones) * TASKS;
            assert!(all <= READS / 2.0, "{all:.0} calls a second");
        })*
    };
}

// Without turns 7 zones of 171 entries made 9,576 calls a second while the store was away.
outages! {
    an_outage_at_thirty_daemons: 3 zones of 5 entries;
    an_outage_at_a_hundred_daemons: 3 zones of 17 entries;
    an_outage_at_three_hundred_daemons: 5 zones of 30 entries;
    an_outage_at_the_target: 7 zones of 171 entries;
}

/// The store turns away the first ones only: the next in turn finds it within a second.
#[test]
fn the_next_in_turn_takes_over_soon() {
    for before in [0, 1, 2] {
        let pause = retry_pause(before, 1.0);
        assert!(pause <= Duration::from_secs(1), "{pause:?}");
    }
}

#[test]
fn only_the_first_failure_and_the_first_answer_are_news() {
    let mut reach = StoreReachability::default();
    assert!(reach.failed());
    assert!(!reach.failed());
    assert!(reach.is_lost());
    assert!(reach.answered(at(1)));
    assert!(!reach.answered(at(2)));
    assert!(!reach.is_lost());
}

macro_rules! checks {
    ($($case:ident: $turn:ident, lost $lost:literal, answered $answered:expr, at $now:literal => $due:literal;)*) => {
        $(#[test] fn $case() {
            let mut reach = StoreReachability::default();
            if let Some(answered) = $answered {
                reach.answered(at(answered));
            }
            if $lost {
                reach.failed();
            }
            assert_eq!(reach.is_due(ReaderRole::$turn, at($now)), $due);
        })*
    };
}

checks! {
    a_first_reader_asks_again_each_second: Primary, lost false, answered Some(5_000), at 6_000 => true;
    not_sooner: Primary, lost false, answered Some(5_000), at 5_900 => false;
    a_first_reader_that_had_no_answer_yet: Primary, lost false, answered None, at 10 => true;
    a_second_reader_leaves_it_to_the_first: Secondary, lost false, answered Some(5_000), at 9_000 => false;
    those_that_learn_do_not_ask: Follower, lost false, answered None, at 9_000 => false;
    a_reader_that_knows_it_is_lost_tries_in_its_turn: Primary, lost true, answered Some(5_000), at 9_000 => false;
}

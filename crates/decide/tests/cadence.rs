//! What gossip costs as a deployment grows.

use std::time::Duration;

use apricothall_decide::cadence::{
    ROUND, Receivers, fetch_sample, is_due, period, silence_timeout,
};
use apricothall_decide::placement::Distance;
use apricothall_types::Role;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of a message, from one of an agent that holds all pieces.
const MESSAGE: f64 = 700.0;

fn a_second(rounds: u32) -> f64 {
    1.0 / (ROUND * rounds).as_secs_f64()
}

/// Messages a second that a daemon sends to `count` receivers of one kind.
fn sent(own: Role, role: Role, distance: Distance, count: u32) -> f64 {
    let to = Receivers { role, distance };
    f64::from(count) * a_second(period(own, to, count))
}

/// Bytes a second that an agent sends while it fetches weights, with so many mates in its region
/// and agents in others.
fn fetching(mates: u32, far: u32) -> f64 {
    let sample: u32 = (0..10)
        .map(|round| {
            let sample = fetch_sample(round);
            let reached =
                |most: usize, there: u32| u32::try_from(most).unwrap_or(u32::MAX).min(there);
            reached(sample.near, mates) + reached(sample.far, far)
        })
        .sum();
    let agents = |count: u32, distance| sent(Role::Agent, Role::Agent, distance, count);
    (f64::from(sample) + agents(mates, Distance::Zone) + agents(far, Distance::Far)) * MESSAGE
}

/// When all agents of a large deployment fetch a version at once, their messages must leave the
/// links to the pieces. With a message to each mate in each round and to each far agent in every
/// second one, a third of 7.6 Mbit/s went to messages.
#[test]
fn fetching_agents_leave_their_links_to_the_pieces() {
    let link = 7.6e6 / 8.0;
    let share = fetching(20, 52) / link;
    assert!(share < 0.12, "{share:.2} of the link");
}

/// Messages must come often enough to be believed: three in the time after which their sender
/// counts as gone, however many receivers there are.
#[test]
fn silence_outlasts_two_lost_messages() {
    for own in [Role::Entry, Role::Agent] {
        for role in [Role::Entry, Role::Agent] {
            for distance in [Distance::Zone, Distance::Region, Distance::Far] {
                for count in [1, 20, 100, 2_400] {
                    let every = period(own, Receivers { role, distance }, count);
                    assert!(silence_timeout(every) > ROUND * every * 3);
                }
            }
        }
    }
}

/// Entries must not send callers to one that is long gone.
#[test]
fn entries_of_the_zone_are_missed_soon() {
    let to = Receivers {
        role: Role::Entry,
        distance: Distance::Zone,
    };
    for entries in [2, 12, 20, 40] {
        let limit = silence_timeout(period(Role::Entry, to, entries));
        assert!(limit <= Duration::from_millis(1_600), "{limit:?}");
    }
}

macro_rules! at_size {
    ($($case:ident: $daemons:literal daemons in $zones:literal zones;)*) => {
        $(#[test] fn $case() { stays_small($daemons, $zones); })*
    };
}

at_size! {
    thirty_daemons: 30 daemons in 3 zones;
    a_hundred_daemons: 100 daemons in 3 zones;
    three_hundred_daemons: 300 daemons in 5 zones;
    the_target: 2_400 daemons in 7 zones;
}

/// What a daemon sends, and what of it leaves the region, does not grow with the deployment. Half
/// of the daemons are agents; each zone is a region.
fn stays_small(daemons: u32, zones: u32) {
    let each = daemons / 2 / zones;
    let far = each * (zones - 1);
    for own in [Role::Entry, Role::Agent] {
        let to = |distance, count| {
            sent(own, Role::Entry, distance, count) + sent(own, Role::Agent, distance, count)
        };
        let (near, out) = (to(Distance::Zone, each), to(Distance::Far, far));
        assert!(near <= 200.0, "{near} messages a second in the zone");
        assert!(out < 40.1, "{out} messages a second to other regions");
    }
}

/// Messages of one kind go out evenly: a burst of them in one round was cut to what a round may
/// reach, so that half of a large deployment counted as gone.
#[test]
fn rounds_are_alike() {
    let to = Receivers {
        role: Role::Entry,
        distance: Distance::Far,
    };
    let count = 79;
    let every = period(Role::Entry, to, count);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let offsets: Vec<u64> = (0..count).map(|_| rng.random()).collect();
    for round in 0..u64::from(every) {
        let due = offsets
            .iter()
            .filter(|offset| is_due(round, **offset, every));
        assert!(due.count() <= 8, "round {round}");
    }
}

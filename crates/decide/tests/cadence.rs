//! Message rates of gossip as a deployment grows.

use std::time::Duration;

use apricothall_decide::cadence::{
    ROUND, Receivers, fetch_sample, is_due, naming_timeout, period, silence_timeout,
};
use apricothall_decide::placement::Distance;
use apricothall_types::Role;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size of a message in bytes, taken from one of an agent that holds all pieces.
const MESSAGE_BYTES: f64 = 700.0;

/// Rate in messages per second for one message every `rounds` rounds.
fn per_second(rounds: u32) -> f64 {
    1.0 / (ROUND * rounds).as_secs_f64()
}

/// Messages per second that a daemon sends to `count` receivers of one group.
fn sent(own: Role, role: Role, distance: Distance, count: u32) -> f64 {
    let to = Receivers { role, distance };
    f64::from(count) * per_second(period(own, to, count))
}

/// Bytes per second that an agent sends while it fetches weights, with `near` other agents in its
/// region and `far` in other regions.
fn bytes_while_fetching(near: u32, far: u32) -> f64 {
    let sample: u32 = (0..10)
        .map(|round| {
            let sample = fetch_sample(round);
            let reached =
                |most: usize, there: u32| u32::try_from(most).unwrap_or(u32::MAX).min(there);
            reached(sample.near, near) + reached(sample.far, far)
        })
        .sum();
    let agents = |count: u32, distance| sent(Role::Agent, Role::Agent, distance, count);
    (f64::from(sample) + agents(near, Distance::Zone) + agents(far, Distance::Far)) * MESSAGE_BYTES
}

/// Guards against status messages that crowd out the transfer of weights when all agents of a large
/// deployment fetch a version at once. With a message to each agent of the region in every round
/// and to each agent of other regions in every second round, a third of 7.6 Mbit/s went to
/// messages.
#[test]
fn messages_take_a_small_share_of_the_link_while_fetching() {
    let link = 7.6e6 / 8.0;
    let share = bytes_while_fetching(20, 52) / link;
    assert!(share < 0.12, "{share:.2} of the link");
}

/// The timeout must be longer than three periods, regardless of the number of receivers, so that
/// two lost messages do not make their sender count as gone.
#[test]
fn timeout_tolerates_two_lost_messages() {
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

/// Guards against callers being sent to an entry that has been gone for a long time.
#[test]
fn lost_entries_of_the_zone_are_detected_quickly() {
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
        $(#[test] fn $case() { check_message_rates($daemons, $zones); })*
    };
}

at_size! {
    thirty_daemons: 30 daemons in 3 zones;
    a_hundred_daemons: 100 daemons in 3 zones;
    three_hundred_daemons: 300 daemons in 5 zones;
    the_target: 2_400 daemons in 7 zones;
}

/// Checks that a daemon's message rates, within and between regions, do not grow with the
/// deployment. Half of the daemons are agents, and each zone is its own region.
fn check_message_rates(daemons: u32, zones: u32) {
    let each = daemons / 2 / zones;
    let far = each * (zones - 1);
    for own in [Role::Entry, Role::Agent] {
        let to = |distance, count| {
            sent(own, Role::Entry, distance, count) + sent(own, Role::Agent, distance, count)
        };
        let (near, out) = (to(Distance::Zone, each), to(Distance::Far, far));
        assert!(near <= 200.0, "{near} messages per second in the zone");
        assert!(out < 40.1, "{out} messages per second to other regions");
    }
}

/// Guards against bursts: when many messages to one group fell into the same round, those beyond
/// the limit per round were dropped, and half of a large deployment counted as gone.
#[test]
fn messages_are_spread_evenly_over_rounds() {
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

/// Guards against callers that are sent to an entry 7 s after its end, because many entries of
/// another region hear from it so rarely that it counts as alive for longer.
#[test]
fn entries_that_are_gone_are_not_named_for_long() {
    const LIMIT: Duration = Duration::from_secs(7);
    /// Time that the last message may take to arrive.
    const DELAY: Duration = Duration::from_millis(500);
    for count in 1..=300 {
        for distance in [Distance::Zone, Distance::Region, Distance::Far] {
            let role = Role::Entry;
            let every = period(Role::Entry, Receivers { role, distance }, count);
            let timeout = naming_timeout(every);
            assert!(
                timeout + DELAY <= LIMIT,
                "{count} {distance:?}: {timeout:?}"
            );
            // In a deployment of 50 entries, one lost message changes nothing.
            let is_named = timeout > ROUND * every * 2;
            assert!(is_named || count > 50, "{count} {distance:?}: {timeout:?}");
        }
    }
}

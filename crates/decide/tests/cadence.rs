//! What gossip costs as a deployment grows.

use std::time::Duration;

use apricothall_decide::cadence::{ROUND, fetch_sample, period, silence};
use apricothall_decide::placement::Distance;
use apricothall_types::Role;

/// Bytes of a message, from one of an agent that holds all pieces.
const MESSAGE: f64 = 700.0;

fn a_second(rounds: u32) -> f64 {
    1.0 / (ROUND * rounds).as_secs_f64()
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
    let agents = |count: u32, distance| {
        f64::from(count) * a_second(period(Role::Agent, Role::Agent, distance))
    };
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
/// counts as gone.
#[test]
fn silence_outlasts_two_lost_messages() {
    for from in [Role::Entry, Role::Agent] {
        for own in [Role::Entry, Role::Agent] {
            for distance in [Distance::Zone, Distance::Region, Distance::Far] {
                let between = ROUND * period(from, own, distance);
                assert!(silence(from, own, distance) > between * 3);
            }
        }
    }
}

/// Entries must not send callers to one that is long gone.
#[test]
fn entries_of_the_zone_are_missed_soon() {
    let limit = silence(Role::Entry, Role::Entry, Distance::Zone);
    assert!(limit <= Duration::from_millis(1_600), "{limit:?}");
}

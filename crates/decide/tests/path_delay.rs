//! Margins that depend on the measured delay of the path to a server.

use std::time::Duration;

use apricothall_decide::path_delay::{PathDelay, arrival_margin, withdrawal_margin};
use apricothall_types::Timestamp;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(count: u64) -> Timestamp {
    Timestamp::from_millis(count)
}

/// Guards against a withdrawal that its server sees too late: the margin covers the slowest recent
/// way to it.
#[test]
fn the_slowest_recent_round_trip_sets_the_margin() {
    let mut path = PathDelay::default();
    assert_eq!(withdrawal_margin(path.slowest(at(0))), ms(120));
    path.record(ms(250), at(1_000));
    path.record(ms(6), at(2_000));
    assert_eq!(withdrawal_margin(path.slowest(at(2_000))), ms(370));
    assert_eq!(arrival_margin(path.slowest(at(2_000))), ms(250));
}

#[test]
fn an_old_round_trip_no_longer_counts() {
    let mut path = PathDelay::default();
    path.record(ms(250), at(1_000));
    path.record(ms(6), at(4_000));
    assert_eq!(path.slowest(at(6_500)), ms(6));
    assert_eq!(path.slowest(at(20_000)), ms(0));
}

#[test]
fn margins_are_bounded() {
    assert_eq!(withdrawal_margin(ms(60_000)), ms(900));
    assert_eq!(arrival_margin(ms(60_000)), ms(900));
}

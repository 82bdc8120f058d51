//! Until when a version may be used once newer ones are named.

use std::time::Duration;

use apricothall_decide::versions::Versions;
use apricothall_types::Timestamp;

const ALLOWED: Duration = Duration::from_secs(8);
const MARGIN: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn a_second_version_does_not_extend_the_time_of_the_first() {
    let mut versions = Versions::default();
    versions.publish(1, Some(at(0)));
    versions.publish(2, Some(at(18_000)));
    versions.publish(3, Some(at(20_000)));
    assert_eq!(versions.retirement_due(1, ALLOWED), Some(at(26_000)));
    assert_eq!(versions.retirement_due(2, ALLOWED), Some(at(28_000)));
    assert_eq!(versions.retirement_due(3, ALLOWED), None);
}

#[test]
fn a_process_that_starts_takes_a_version_for_old_until_a_peer_tells() {
    let mut versions = Versions::default();
    versions.publish(2, None);
    assert!(!versions.is_usable(1, ALLOWED, MARGIN, at(20_000)));
    assert!(!versions.publish(2, Some(at(19_000))), "no news");
    assert!(versions.is_usable(1, ALLOWED, MARGIN, at(20_000)));
}

#[test]
fn of_two_times_the_earlier_counts() {
    let mut versions = Versions::default();
    versions.publish(2, Some(at(5_000)));
    versions.publish(2, Some(at(3_000)));
    versions.publish(2, Some(at(9_000)));
    assert_eq!(versions.retirement_due(1, ALLOWED), Some(at(11_000)));
}

#[test]
fn the_margin_ends_the_use_early() {
    let mut versions = Versions::default();
    versions.publish(2, Some(at(0)));
    assert!(versions.is_usable(1, ALLOWED, MARGIN, at(6_999)));
    assert!(!versions.is_usable(1, ALLOWED, MARGIN, at(7_000)));
}

//! Retirement times of versions once newer ones are published.

use std::time::Duration;

use apricothall_decide::versions::Versions;
use apricothall_types::Timestamp;

const ALLOWED: Duration = Duration::from_secs(8);
const MARGIN: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn a_later_version_does_not_delay_the_retirement_of_the_first() {
    let mut versions = Versions::default();
    versions.publish(1, Some(at(0)));
    versions.publish(2, Some(at(18_000)));
    versions.publish(3, Some(at(20_000)));
    assert_eq!(versions.retirement_due(1, ALLOWED), Some(at(26_000)));
    assert_eq!(versions.retirement_due(2, ALLOWED), Some(at(28_000)));
    assert_eq!(versions.retirement_due(3, ALLOWED), None);
}

#[test]
fn a_version_of_unknown_time_counts_as_old_until_a_peer_reports_it() {
    let mut versions = Versions::default();
    versions.publish(2, None);
    assert!(!versions.is_usable(1, ALLOWED, MARGIN, at(20_000)));
    assert!(!versions.publish(2, Some(at(19_000))), "already known");
    assert!(versions.is_usable(1, ALLOWED, MARGIN, at(20_000)));
}

#[test]
fn the_earliest_reported_time_counts() {
    let mut versions = Versions::default();
    versions.publish(2, Some(at(5_000)));
    versions.publish(2, Some(at(3_000)));
    versions.publish(2, Some(at(9_000)));
    assert_eq!(versions.retirement_due(1, ALLOWED), Some(at(11_000)));
}

#[test]
fn a_version_is_unusable_within_the_margin_before_its_retirement() {
    let mut versions = Versions::default();
    versions.publish(2, Some(at(0)));
    assert!(versions.is_usable(1, ALLOWED, MARGIN, at(6_999)));
    assert!(!versions.is_usable(1, ALLOWED, MARGIN, at(7_000)));
}

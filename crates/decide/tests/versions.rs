//! Retirement times of versions once newer ones are published.

use std::time::Duration;

use apricothall_decide::versions::{Versions, earliest_change};
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

macro_rules! dated {
    ($($case:ident: previous $previous:expr, asked $asked:literal => $made:literal;)*) => {
        $(#[test] fn $case() {
            let previous: Option<u64> = $previous;
            let made = earliest_change(previous.map(at), at($asked), at(10_000));
            assert_eq!(made, at($made));
        })*
    };
}

// Guard against a change that counts from its late hearing.
dated! {
    a_change_found_at_once_may_be_as_old_as_the_previous_answer: previous Some(9_680), asked 9_990 => 9_680;
    a_change_that_ended_a_wait_is_new: previous Some(9_200), asked 9_500 => 10_000;
    a_change_found_after_an_outage_counts_from_its_hearing: previous Some(7_000), asked 9_990 => 10_000;
    a_change_in_the_first_answer_counts_from_its_hearing: previous None, asked 9_990 => 10_000;
}

/// Guards against a time of publication that moves back each time that two processes tell each other
/// the age of a version, by the delay of their messages.
#[test]
fn exchanged_ages_do_not_move_a_publication() {
    let delay = Duration::from_millis(20);
    let mut known = [Versions::default(), Versions::default()];
    known[0].publish(2, Some(at(10_000)));
    let mut now = at(10_000);
    for turn in 0..200 {
        let (from, to) = (turn % 2, (turn + 1) % 2);
        let told = known[from].iter().find_map(|(_, since)| since);
        let age = now.since(told.expect("known"));
        now = now + delay;
        known[to].publish(2, Some(now - age));
    }
    let due = |versions: &Versions| versions.retirement_due(1, ALLOWED);
    assert_eq!(due(&known[0]), Some(at(18_000)));
    assert_eq!(due(&known[1]), Some(at(18_020)));
}

//! Tests which statuses an answer may have.

use apricothall_decide::statuses::is_final;

/// Guards against a status that is not a final one, passed on as an answer.
#[test]
fn only_statuses_from_200_to_599_are_final() {
    for status in 0..=u16::MAX {
        assert_eq!(is_final(status), (200..600).contains(&status), "{status}");
    }
}

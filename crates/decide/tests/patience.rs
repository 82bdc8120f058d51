//! How long callers of streams wait for an event.

use std::time::Duration;

use apricothall_decide::patience::{answer_due, longest_pause};
use apricothall_types::Timestamp;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_longest_of_three_bounds_counts() {
    assert_eq!(longest_pause(ms(400), None), ms(2_000));
    assert_eq!(longest_pause(ms(400), Some(ms(100))), ms(2_000));
    assert_eq!(longest_pause(ms(900), Some(ms(100))), ms(3_600));
    assert_eq!(longest_pause(ms(300), Some(ms(300))), ms(2_400));
}

/// Guards against an answer that is ready when its caller leaves, and arrives after that.
#[test]
fn an_answer_is_due_before_the_caller_leaves() {
    let due = answer_due(Timestamp::from_millis(1_000), ms(300), None);
    assert_eq!(due, Timestamp::from_millis(2_850));
}

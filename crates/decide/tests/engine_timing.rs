//! Engine latency model, compared with results computed by hand from the published timing.

mod published;

use std::time::Duration;

use apricothall_decide::timing::{Backlog, Work};
use apricothall_types::Timestamp;
use published::TIMING;

fn idle() -> Work {
    Work {
        slowdown: 1.0,
        ..Work::default()
    }
}

#[test]
fn prefill_of_964_tokens_takes_32_ms() {
    let ms = TIMING.prefill_ms(964.0);
    assert!((31.5..32.0).contains(&ms), "{ms}");
}

/// 16 slots, 20 passes of 43 ms per answer, and 32 ms of prefill per request.
#[test]
fn full_engine_completes_about_twelve_requests_per_second() {
    let rate = TIMING.throughput();
    assert!((11.0..13.0).contains(&rate), "{rate}");
}

#[test]
fn queued_requests_add_the_time_until_slots_are_freed() {
    let full = Work {
        running: 16,
        ..idle()
    };
    let behind = Work { waiting: 4, ..full };
    let four = Duration::from_secs_f64(4.0 / TIMING.throughput());
    let expected = TIMING.first_event(full, 964.0) + four;
    let found = TIMING.first_event(behind, 964.0);
    assert!(
        found.abs_diff(expected) < Duration::from_millis(1),
        "{found:?}"
    );
}

#[test]
fn a_slow_engine_takes_longer_in_proportion() {
    let slow = Work {
        slowdown: 3.0,
        ..idle()
    };
    let found = TIMING.first_event(slow, 964.0);
    let expected = TIMING.first_event(idle(), 964.0) * 3;
    // Times are rounded to nanoseconds.
    assert!(
        found.abs_diff(expected) < Duration::from_micros(1),
        "{found:?}"
    );
}

#[test]
fn backlog_shrinks_over_time() {
    let mut backlog = Backlog::default();
    backlog.add(85.0, Timestamp::from_millis(1_000));
    assert!(backlog.remaining_ms(Timestamp::from_millis(1_050)) > 40.0);
    assert!(backlog.remaining_ms(Timestamp::from_millis(1_100)) < f64::EPSILON);
}

//! Log lines per second are limited, and suppressed lines are counted.

use apricothall_decide::log_rate_limit::{LogRateLimiter, Verdict};
use apricothall_types::Timestamp;

#[test]
fn lines_above_the_limit_are_counted() {
    let mut limiter = LogRateLimiter::new(10);
    let at = |ms: u64| Timestamp::from_millis(5_000 + ms);
    let written = (0..900).filter(|ms| limiter.decide(at(*ms)) != Verdict::Suppress);
    assert_eq!(written.count(), 10);
    assert_eq!(limiter.decide(at(1_000)), Verdict::Write { left_out: 890 });
}

#[test]
fn lines_below_the_limit_are_written() {
    let mut limiter = LogRateLimiter::new(10);
    let all = (0..100).map(|i| limiter.decide(Timestamp::from_millis(2_000 + i * 200)));
    assert!(all.into_iter().all(|v| v == Verdict::Write { left_out: 0 }));
}

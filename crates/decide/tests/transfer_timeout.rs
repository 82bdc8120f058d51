//! Timeouts of transfers over slow links.

use std::time::Duration;

use apricothall_decide::transfer_timeout::TransferTimeout;

/// Guards against a configuration that never arrives: each attempt was given up after the same time
/// and started anew.
#[test]
fn a_transfer_gets_more_time_after_each_attempt() {
    let mut timeout = TransferTimeout::default();
    let mut before = Duration::ZERO;
    for _ in 0..4 {
        assert!(timeout.get() > before, "{timeout:?}");
        before = timeout.get();
        timeout.extend();
    }
}

/// A peer that fell silent must not hold up a configuration for long at first, nor for ever later.
#[test]
fn a_silent_peer_is_given_up() {
    let mut timeout = TransferTimeout::default();
    assert!(timeout.get() <= Duration::from_secs(1));
    for _ in 0..100 {
        timeout.extend();
    }
    assert!(timeout.get() <= Duration::from_secs(10));
}

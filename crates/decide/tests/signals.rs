//! Servers whose responses signal that they are leaving, or request a pause.

use std::time::Duration;

use apricothall_decide::signals::{Availability, Signals};
use apricothall_types::{MemberId, Timestamp, WallTime};

const BORN: WallTime = WallTime(1_000);

fn server() -> MemberId {
    "s1".parse().expect("valid")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

macro_rules! availability_cases {
    ($($case:ident: |$signals:ident| $events:block, born $born:expr, at $at:literal ms => $expected:expr;)*) => {
        $(#[test] fn $case() {
            let mut $signals = Signals::default();
            $events
            assert_eq!($signals.availability(&server(), $born, at($at)), $expected);
        })*
    };
}

availability_cases! {
    a_server_without_signals_is_available: |_s| {}, born BORN, at 0 ms => Availability::Available;
    a_pause_lasts: |s| { s.mark_paused(&server(), BORN, ms(2_000), at(0)); },
        born BORN, at 1_500 ms => Availability::PausedFor(ms(500));
    a_pause_ends: |s| { s.mark_paused(&server(), BORN, ms(2_000), at(0)); },
        born BORN, at 2_000 ms => Availability::Available;
    a_shorter_pause_does_not_shorten_a_longer_one: |s| {
        s.mark_paused(&server(), BORN, ms(2_000), at(0));
        s.mark_paused(&server(), BORN, ms(100), at(10));
    }, born BORN, at 1_000 ms => Availability::PausedFor(ms(1_000));
    a_pause_is_bounded: |s| { s.mark_paused(&server(), BORN, Duration::MAX, at(0)); },
        born BORN, at 301_000 ms => Availability::Available;
    a_leaving_server_stays_unavailable: |s| { s.mark_leaving(&server(), BORN, at(0)); },
        born BORN, at 500_000 ms => Availability::Leaving;
    a_pause_does_not_override_leaving: |s| {
        s.mark_leaving(&server(), BORN, at(0));
        s.mark_paused(&server(), BORN, ms(10), at(5));
    }, born BORN, at 100 ms => Availability::Leaving;
    a_restarted_server_is_available: |s| { s.mark_leaving(&server(), BORN, at(0)); },
        born WallTime(2_000), at 10 ms => Availability::Available;
    a_restarted_server_has_its_own_signals: |s| {
        s.mark_leaving(&server(), BORN, at(0));
        s.mark_paused(&server(), WallTime(2_000), ms(100), at(5));
    }, born WallTime(2_000), at 10 ms => Availability::PausedFor(ms(95));
}

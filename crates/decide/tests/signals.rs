//! Servers that say in their answers that they leave, or want nothing for a while.

use std::time::Duration;

use apricothall_decide::signals::{Hold, Signals};
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

macro_rules! holds {
    ($($case:ident: |$signals:ident| $said:block, born $born:expr, at $at:literal ms => $hold:expr;)*) => {
        $(#[test] fn $case() {
            let mut $signals = Signals::default();
            $said
            assert_eq!($signals.hold(&server(), $born, at($at)), $hold);
        })*
    };
}

holds! {
    a_silent_server_is_free: |_s| {}, born BORN, at 0 ms => Hold::Free;
    a_pause_lasts: |s| { s.pauses(&server(), BORN, ms(2_000), at(0)); },
        born BORN, at 1_500 ms => Hold::For(ms(500));
    a_pause_ends: |s| { s.pauses(&server(), BORN, ms(2_000), at(0)); },
        born BORN, at 2_000 ms => Hold::Free;
    a_shorter_pause_does_not_cut_a_longer_one: |s| {
        s.pauses(&server(), BORN, ms(2_000), at(0));
        s.pauses(&server(), BORN, ms(100), at(10));
    }, born BORN, at 1_000 ms => Hold::For(ms(1_000));
    a_pause_is_bounded: |s| { s.pauses(&server(), BORN, Duration::MAX, at(0)); },
        born BORN, at 301_000 ms => Hold::Free;
    one_that_leaves_stays_out: |s| { s.leaves(&server(), BORN, at(0)); },
        born BORN, at 500_000 ms => Hold::Leaving;
    a_pause_does_not_bring_it_back: |s| {
        s.leaves(&server(), BORN, at(0));
        s.pauses(&server(), BORN, ms(10), at(5));
    }, born BORN, at 100 ms => Hold::Leaving;
    a_new_life_is_free: |s| { s.leaves(&server(), BORN, at(0)); },
        born WallTime(2_000), at 10 ms => Hold::Free;
    a_new_life_says_its_own: |s| {
        s.leaves(&server(), BORN, at(0));
        s.pauses(&server(), WallTime(2_000), ms(100), at(5));
    }, born WallTime(2_000), at 10 ms => Hold::For(ms(95));
}

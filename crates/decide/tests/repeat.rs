//! What follows an attempt that brought no answer: a request that may run once never runs twice,
//! and "not run" is said only when it is true.

use apricothall_decide::repeat::{End, History, Next};
use proptest::prelude::*;

fn history(repeatable: bool, allowed: u32) -> History {
    History {
        repeatable,
        allowed,
        ..History::default()
    }
}

macro_rules! follows {
    ($($case:ident: repeatable $repeatable:literal, allowed $allowed:literal, [$($end:ident),*] => $next:expr;)*) => {
        $(#[test] fn $case() {
            let mut history = history($repeatable, $allowed);
            let next: Vec<_> = [$(End::$end),*].into_iter().map(|e| history.record_end(e)).collect();
            assert_eq!(next.last(), Some(&$next));
        })*
    };
}

follows! {
    no_connection_is_no_attempt: repeatable false, allowed 1, [Unsent, Unsent] => Next::Again { budgeted: false };
    a_refusal_uses_the_only_attempt: repeatable false, allowed 1, [Refused] => Next::NotRun;
    a_refusal_is_followed_by_another_server: repeatable false, allowed 2, [Refused] => Next::Again { budgeted: true };
    a_lost_booking_is_not_sent_again: repeatable false, allowed 3, [Lost] => Next::Unknown;
    a_lost_read_is_sent_again: repeatable true, allowed 2, [Lost] => Next::Again { budgeted: true };
    after_a_lost_read_a_refusal_does_not_say_not_run: repeatable true, allowed 2, [Lost, Refused] => Next::Unknown;
    a_failure_by_the_server_has_run: repeatable true, allowed 1, [Failed] => Next::Unknown;
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        Just(End::Unsent),
        Just(End::Refused),
        Just(End::Lost),
        Just(End::Failed)
    ]
}

proptest! {
    #[test]
    fn not_run_is_true_and_once_is_once(
        ends in proptest::collection::vec(end(), 1..8),
        repeatable: bool,
        allowed in 1..4_u32,
    ) {
        let mut history = history(repeatable, allowed);
        let mut ran = 0;
        let mut sent = 0;
        for end in ends {
            ran += u32::from(matches!(end, End::Lost | End::Failed));
            sent += u32::from(end != End::Unsent);
            let next = history.record_end(end);
            prop_assert!(next != Next::NotRun || ran == 0);
            prop_assert!(repeatable || ran <= 1);
            prop_assert!(sent <= allowed);
            if !matches!(next, Next::Again { .. }) {
                break;
            }
        }
    }
}

//! Handling of attempts without an answer: a non-repeatable request never runs twice, and `NotRun`
//! is reported only if the request did not run.

use apricothall_decide::repeat::{End, History, Next};
use proptest::prelude::*;

fn history(repeatable: bool, allowed: u32) -> History {
    History {
        repeatable,
        allowed,
        ..History::default()
    }
}

macro_rules! next_actions {
    ($($case:ident: repeatable $repeatable:literal, allowed $allowed:literal, [$($end:ident),*] => $next:expr;)*) => {
        $(#[test] fn $case() {
            let mut history = history($repeatable, $allowed);
            let next: Vec<_> = [$(End::$end),*].into_iter().map(|e| history.record_end(e)).collect();
            assert_eq!(next.last(), Some(&$next));
        })*
    };
}

next_actions! {
    failed_connection_is_not_an_attempt: repeatable false, allowed 1, [Unsent, Unsent] => Next::Again { budgeted: false };
    refusal_uses_the_only_attempt: repeatable false, allowed 1, [Refused] => Next::NotRun;
    refusal_is_retried_on_another_server: repeatable false, allowed 2, [Refused] => Next::Again { budgeted: true };
    lost_non_repeatable_request_is_not_retried: repeatable false, allowed 3, [Lost] => Next::Unknown;
    lost_repeatable_request_is_retried: repeatable true, allowed 2, [Lost] => Next::Again { budgeted: true };
    refusal_after_a_lost_attempt_is_not_reported_as_not_run: repeatable true, allowed 2, [Lost, Refused] => Next::Unknown;
    failed_request_may_have_run: repeatable true, allowed 1, [Failed] => Next::Unknown;
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
    fn not_run_is_correct_and_non_repeatable_runs_once(
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

//! Tests when a call is repeated on another connection, and when it is given up.

use std::time::Duration;

use apricothall_decide::call_repeats::{CallRepeats, Next, Patience, Received};
use apricothall_types::Timestamp;

const PATIENCE: Patience = Patience {
    hold: Duration::from_secs(1),
    idle: Duration::from_millis(500),
    again: Duration::from_millis(1_200),
    total: Duration::from_secs(8),
};

/// What is received in a wait: bytes of this call and of others, and whether a call that was sent
/// later is answered.
const NOTHING: (u64, u64, bool) = (0, 0, false);
const OTHERS: (u64, u64, bool) = (0, 100, false);
const LATER: (u64, u64, bool) = (0, 100, true);
const OWN: (u64, u64, bool) = (100, 0, false);

macro_rules! calls {
    ($($(#[doc = $guards:literal])* $case:ident: [$($received:ident),*] => [$($next:ident),*];)*) => {
        $($(#[doc = $guards])* #[test] fn $case() {
            let mut now = Timestamp::from_millis(1_000);
            let mut seen = Received { own: 0, all: 7, answered: now };
            let mut call = CallRepeats::new(PATIENCE, seen, now);
            let mut found = Vec::new();
            for (own, others, later) in [$($received),*] {
                now = now + Duration::from_millis(1);
                seen.own += own;
                seen.all += own + others;
                seen.answered = if later { now } else { seen.answered };
                now = now + call.wait();
                found.push(call.next(seen, now));
            }
            assert_eq!(found, [$(Next::$next),*]);
        })*
    };
}

calls! {
    /// Guards against a silent connection that is waited for while others are answered.
    a_silent_connection_beside_others_is_replaced: [LATER] => [Repeat];
    /// Guards against two connections that fall silent one after the other.
    two_silent_connections_are_replaced: [LATER, OTHERS, LATER] => [Repeat, Wait, Repeat];
    /// Guards against a busy link on which each late answer is given up or read anew.
    a_call_behind_others_is_waited_for: [OTHERS, OTHERS, OTHERS, OTHERS, OTHERS] => [Wait, Wait, Wait, Wait, Wait];
    /// Guards against repetitions that fall silent in turn, while calls that were sent later are answered.
    a_call_that_others_overtake_is_repeated_on: [LATER, LATER, LATER, LATER] => [Repeat, Repeat, Repeat, Repeat];
    /// Guards against a second copy of a large answer.
    an_answer_that_arrives_is_not_requested_again: [OWN, OWN, OWN] => [Wait, Wait, Wait];
    /// Guards against a silent server that is waited for until the total time has passed.
    a_silent_server_is_given_up: [NOTHING, NOTHING] => [Repeat, GiveUp];
    a_server_that_falls_silent_amid_an_answer_is_given_up: [OWN, NOTHING, NOTHING] => [Wait, Repeat, GiveUp];
    a_server_that_falls_silent_after_a_repetition_is_given_up: [LATER, OTHERS, NOTHING] => [Repeat, Wait, GiveUp];
}

#[test]
fn only_the_first_call_may_be_held_back() {
    let now = Timestamp::from_millis(1_000);
    let mut call = CallRepeats::new(PATIENCE, Received::default(), now);
    assert_eq!(call.wait(), Duration::from_millis(1_500));
    assert_eq!(call.next(Received::default(), now), Next::Repeat);
    assert_eq!(call.wait(), Duration::from_millis(1_200));
    assert_eq!(call.limit(), Duration::from_secs(9));
}

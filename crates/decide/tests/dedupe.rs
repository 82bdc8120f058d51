//! Register of calls, tickets, and routing of calls that may not be repeated.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::configs::DedupeConfig;
use apricothall_decide::dedupe::{
    Binding, CallKey, Choice, ClockReading, Home, HomeStatus, Next, Order, Reason, Refusal,
    Register, RegisterDecision, SentBytes, Ticket, after_failure, choose, fingerprint,
};
use apricothall_types::{Bytes, Catalogue, CatalogueEntry, Digest, Incarnation, Interval};
use apricothall_types::{MemberState, Outcome, RequestId, Timestamp, WallTime};
use proptest::prelude::*;

fn home(incarnation: u64) -> Home {
    Home {
        id: "vm-1".parse().expect("valid id"),
        incarnation: Incarnation(incarnation),
    }
}

fn clock(millis: u64) -> ClockReading {
    ClockReading {
        now: Timestamp::from_millis(millis),
        wall: WallTime(millis),
    }
}

fn order(key: u8, body: u8) -> Order {
    Order {
        home: home(1),
        key: CallKey(Digest([key; 32])),
        fingerprint: Digest([body; 32]),
        request: RequestId(1),
        deadline: Timestamp::from_millis(500),
        expires: WallTime(1_000),
    }
}

fn register(max_calls: usize, max_tombstones: usize, answer_memory: u64) -> Register {
    let config = DedupeConfig {
        horizon: Interval::millis(1_000),
        max_calls,
        max_tombstones,
        answer_memory: Bytes(answer_memory),
    };
    Register::new(home(1), config)
}

fn answer(size: usize) -> Arc<[u8]> {
    vec![7; size].into()
}

/// Each case: name, preceding steps, next order and its time, and the expected decision.
macro_rules! decisions {
    ($($case:ident: |$r:ident| $steps:block, $order:expr, $at:expr => $expected:pat,)*) => {
        $(#[test] fn $case() {
            let mut $r = register(2, 1, 10);
            $steps
            let found = $r.admit(&$order, clock($at));
            assert!(matches!(found, $expected), "{found:?}");
        })*
    };
}

fn start(r: &mut Register) {
    assert_eq!(r.admit(&order(1, 1), clock(0)), RegisterDecision::Run);
}

decisions! {
    unseen_key_runs: |r| {}, order(1, 1), 0 => RegisterDecision::Run,
    retry_attaches: |r| { start(&mut r); }, order(1, 1), 0 => RegisterDecision::Attach(RequestId(1)),
    reused_key_is_refused: |r| { start(&mut r); }, order(1, 2), 0 => RegisterDecision::Refuse(Refusal::Reused),
    answer_is_replayed: |r| { start(&mut r); r.finished(order(1, 1).key, answer(3)); },
        order(1, 1), 600 => RegisterDecision::Replay(_),
    large_answer_is_dropped: |r| { start(&mut r); r.finished(order(1, 1).key, answer(11)); },
        order(1, 1), 0 => RegisterDecision::Ran,
    lost_server_is_never_retried: |r| { start(&mut r); r.lost(order(1, 1).key); },
        order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Lost),
    unsent_call_has_tombstone: |r| { start(&mut r); r.unsent(order(1, 1).key); },
        order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Tombstone),
    late_result_does_not_undo_loss: |r| {
            start(&mut r); r.lost(order(1, 1).key); r.unsent(order(1, 1).key);
            r.finished(order(1, 1).key, answer(1));
        }, order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Lost),
    query_puts_tombstone: |r| { r.query(&order(1, 1), clock(0)); },
        order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Tombstone),
    query_does_not_stop_running_call: |r| { start(&mut r); r.query(&order(1, 1), clock(0)); },
        order(1, 1), 0 => RegisterDecision::Attach(_),
    order_after_deadline_is_not_run: |r| {}, order(1, 1), 500 => RegisterDecision::Refuse(Refusal::DeadlinePassed),
    order_after_deadline_leaves_tombstone: |r| { r.admit(&order(1, 1), clock(500)); },
        order(1, 1), 0 => RegisterDecision::Refuse(Refusal::DeadlinePassed),
    full_register_refuses_new_key: |r| {
            r.admit(&order(2, 1), clock(0)); r.admit(&order(3, 1), clock(0));
        }, order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Full(_)),
    no_memory_for_tombstone: |r| {
            r.admit(&order(2, 1), clock(0)); r.admit(&order(3, 1), clock(0));
            r.admit(&order(4, 1), clock(0));
        }, order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Saturated(_)),
    expired_key_stays_refused_when_wall_clock_steps_back: |r| {
            start(&mut r); r.admit(&order(2, 1), clock(1_001));
        }, order(1, 1), 0 => RegisterDecision::Refuse(Refusal::Expired),
    key_beyond_horizon_is_refused: |r| {},
        Order { expires: WallTime(1_001), ..order(1, 1) }, 0 => RegisterDecision::Refuse(Refusal::Expired),
    earlier_incarnation_is_refused: |r| {},
        Order { home: home(0), ..order(1, 1) }, 0 => RegisterDecision::Refuse(Refusal::OtherHome),
}

/// Each case is an order sent at 0 with 10 s left: the time at which it is read, and the time left
/// then. The skew is 1 s.
macro_rules! deadlines {
    ($($case:ident: $read:expr => $left:expr;)*) => {
        $(#[test] fn $case() {
            let second = Duration::from_secs(1);
            let read = clock($read);
            let deadline = read.deadline(10 * second, WallTime(10_000), second);
            assert_eq!(deadline, read.now + Duration::from_millis($left));
        })*
    };
}

deadlines! {
    order_read_immediately_has_its_full_time: 0 => 10_000;
    order_read_later_has_less_time: 5_000 => 6_000;
    order_read_within_the_skew_has_the_rest_of_it: 10_400 => 600;
    order_buffered_while_suspended_has_no_time_left: 90_000 => 0;
}

#[test]
fn fingerprint_separates_fields() {
    let caller = "c".parse().expect("valid id");
    assert_ne!(
        fingerprint(&caller, "POST", "/ab", b"c"),
        fingerprint(&caller, "POST", "/a", b"bc")
    );
}

fn ticket(incarnation: u64) -> Ticket {
    Ticket {
        home: home(incarnation),
        name: "booking".parse().expect("valid name"),
        expires: WallTime(1_000),
    }
}

#[test]
fn ticket_round_trips() {
    assert_eq!(ticket(3).to_string(), "t1~vm-1~3~booking~1000");
    assert_eq!(ticket(3).to_string().parse(), Ok(ticket(3)));
}

macro_rules! invalid_tickets {
    ($($case:ident: $text:expr;)*) => {
        $(#[test] fn $case() { assert!($text.parse::<Ticket>().is_err()); })*
    };
}

invalid_tickets! {
    empty_ticket: "";
    ticket_of_other_format: "t2~vm-1~3~booking~1000";
    ticket_with_extra_field: "t1~vm-1~3~booking~1000~";
    ticket_in_non_canonical_form: "t1~vm-1~03~booking~1000";
    ticket_with_signed_number: "t1~vm-1~+3~booking~1000";
    ticket_with_bad_id: "t1~vm 1~3~booking~1000";
    ticket_outside_ascii: "t1~vm-þ~3~booking~1000";
    oversized_ticket: format!("t1~{}~3~{}~1000", "a".repeat(128), "b".repeat(200));
}

fn entry(repeatable: bool) -> CatalogueEntry {
    let text = format!(
        "[[entries]]\nname = \"booking\"\nkind = \"service\"\nowner = \"o\"\nreplicas = 2\n\
         repeatable = {repeatable}\npool = [\"vm-1\", \"vm-2\"]\n"
    );
    Catalogue::parse(&text).expect("valid").entries.remove(0)
}

/// Each case: key, ticket, known state of `vm-1`, and the expected choice.
macro_rules! choices {
    ($($case:ident: $key:expr, $ticket:expr, $seen:expr => $expected:pat,)*) => {
        $(#[test] fn $case() {
            let key: Option<String> = $key;
            let key = key.map(|k| k.parse().expect("valid key"));
            let ticket: Option<Ticket> = $ticket;
            let found = choose(&entry(false), key.as_ref(), ticket.as_ref(), |id| {
                let seen: Option<(u64, MemberState)> = $seen;
                seen.filter(|_| id.as_str() == "vm-1").map(|(i, s)| (Incarnation(i), s))
            });
            assert!(matches!(found, $expected), "{found:?}");
        })*
    };
}

fn key_of(incarnation: u64) -> String {
    ticket(incarnation).prefix() + "1"
}

use MemberState::{Alive, Gone, Leaving};

choices! {
    ticket_names_home: Some(key_of(3)), Some(ticket(3)), Some((3, Alive))
        => Choice::Run(_, Binding::Ticket),
    stale_view_tries_home: Some(key_of(3)), Some(ticket(3)), Some((2, Alive))
        => Choice::Run(Home { incarnation: Incarnation(3), .. }, _),
    leaving_home_is_only_queried: Some(key_of(3)), Some(ticket(3)), Some((3, Leaving)) => Choice::Ask(_),
    restarted_home_is_unknown: Some(key_of(3)), Some(ticket(3)), Some((4, Alive))
        => Choice::Refuse(Reason::HomeGone, Outcome::Unknown),
    gone_home_is_unknown: Some(key_of(3)), Some(ticket(3)), Some((3, Gone))
        => Choice::Refuse(Reason::HomeGone, Outcome::Unknown),
    unlisted_home_is_unknown: Some(key_of(3)), Some(ticket(3)), None
        => Choice::Refuse(Reason::HomeGone, Outcome::Unknown),
    key_of_other_ticket: Some(key_of(3)), Some(ticket(4)), Some((4, Alive))
        => Choice::Refuse(Reason::KeyMismatch, Outcome::Unknown),
    plain_key_with_ticket: Some("k".into()), Some(ticket(3)), Some((3, Alive))
        => Choice::Refuse(Reason::KeyMismatch, Outcome::Unknown),
    ticket_key_without_ticket: Some(key_of(3)), None, Some((3, Alive))
        => Choice::Refuse(Reason::TicketMissing, Outcome::Unknown),
    call_without_key: None, Some(ticket(3)), Some((3, Alive))
        => Choice::Refuse(Reason::KeyMissing, Outcome::NotRun),
    plain_key_goes_to_alive_agent: Some("k".into()), None, Some((3, Alive))
        => Choice::Run(_, Binding::Claims),
    plain_key_without_agent: Some("k".into()), None, Some((3, Leaving))
        => Choice::Refuse(Reason::NoAgent, Outcome::Unknown),
}

#[test]
fn repeatable_calls_need_no_home() {
    assert_eq!(choose(&entry(true), None, None, |_| None), Choice::Any);
}

macro_rules! failures {
    ($($case:ident: $binding:expr, $sent:expr, $home:expr, $now:expr => $expected:expr;)*) => {
        $(#[test] fn $case() {
            let deadline = Timestamp(5);
            let found = after_failure($binding, $sent, $home, deadline, Timestamp($now));
            assert_eq!(found, $expected);
        })*
    };
}

failures! {
    unkeyed_and_unsent: None, SentBytes::Nothing, HomeStatus::Gone, 9 => Next::Answer(Outcome::NotRun);
    unkeyed_and_sent: None, SentBytes::Some, HomeStatus::Same, 0 => Next::Answer(Outcome::Unknown);
    keyed_and_unsent: Some(Binding::Ticket), SentBytes::Nothing, HomeStatus::Same, 0 => Next::QueryHome;
    keyed_and_sent: Some(Binding::Ticket), SentBytes::Some, HomeStatus::Same, 4 => Next::QueryHome;
    keyed_at_deadline: Some(Binding::Ticket), SentBytes::Some, HomeStatus::Same, 5
        => Next::Answer(Outcome::Unknown);
    keyed_and_home_gone: Some(Binding::Claims), SentBytes::Nothing, HomeStatus::Gone, 0
        => Next::Answer(Outcome::Unknown);
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u8, u64),
    Ask(u8),
    Finish(u8, usize),
    Lose(u8),
    Unsent(u8),
    Wall(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8_u8, 0..20_u64).prop_map(|(k, d)| Step::Admit(k, d)),
        1 => (0..8_u8).prop_map(Step::Ask),
        2 => (0..8_u8, 0..12_usize).prop_map(|(k, n)| Step::Finish(k, n)),
        1 => (0..8_u8).prop_map(Step::Lose),
        1 => (0..8_u8).prop_map(Step::Unsent),
        1 => (0..1_200_u64).prop_map(Step::Wall),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Each key starts at most once, `not_run` is final, and memory stays bounded, even if the wall
    /// clock jumps.
    #[test]
    fn register_starts_each_key_once(steps in proptest::collection::vec(step(), 1..80)) {
        let mut register = register(3, 2, 20);
        let mut sets: [BTreeSet<u8>; 4] = Default::default();
        let [started, refused, unsent, ended] = &mut sets;
        let mut wall = 0;
        for (i, step) in (0..).zip(steps) {
            let at = ClockReading { now: Timestamp(i), wall: WallTime(wall) };
            let call = |key: u8| Order { expires: WallTime(200 + 100 * u64::from(key)), ..order(key, 1) };
            let (key, found) = match step {
                Step::Admit(key, left) => {
                    let order = Order { deadline: Timestamp(i + left), ..call(key) };
                    (key, register.admit(&order, at))
                }
                Step::Ask(key) => (key, register.query(&call(key), at)),
                Step::Finish(key, size) => {
                    register.finished(call(key).key, answer(size));
                    ended.extend(started.get(&key));
                    continue;
                }
                Step::Lose(key) => {
                    register.lost(call(key).key);
                    ended.extend(started.get(&key));
                    continue;
                }
                Step::Unsent(key) => {
                    register.unsent(call(key).key);
                    unsent.extend(started.get(&key).filter(|k| !ended.contains(k)));
                    continue;
                }
                Step::Wall(to) => {
                    wall = to;
                    continue;
                }
            };
            match found {
                RegisterDecision::Run => {
                    prop_assert!(started.insert(key), "key {key} started twice");
                    prop_assert!(!refused.contains(&key), "key {key} started after not_run");
                }
                RegisterDecision::Refuse(why) if why.outcome() == Outcome::NotRun => {
                    let ran = started.contains(&key) && !unsent.contains(&key);
                    prop_assert!(!ran, "key {key} reported as not_run after its start");
                    refused.insert(key);
                }
                _ => {}
            }
            prop_assert!(register.len() <= 5);
            prop_assert!(register.answer_bytes() <= 20);
        }
    }
}

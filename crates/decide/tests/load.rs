//! Load estimates of an engine under traffic patterns that caused wrong estimates.

mod published;

use std::time::Duration;

use apricothall_decide::load::{Entries, Load, Prompt, ServerRelation};
use apricothall_decide::placement::Distance;
use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_types::Timestamp;
use published::TIMING;

const NORMAL: Prompt = Prompt {
    tokens: 964.0,
    rank: Rank::ONLY,
};

const URGENT: Prompt = Prompt {
    rank: Rank::URGENT,
    ..NORMAL
};

/// Time for which a load report from another zone is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(2_600);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

const FAR: ServerRelation = ServerRelation {
    distance: Distance::Far,
    is_primary: false,
    sender_count: 7,
};

const PRIMARY: ServerRelation = ServerRelation {
    distance: Distance::Zone,
    is_primary: true,
    sender_count: 2,
};

/// Seven entries detect a freed engine by load reports that arrive every 1.2 s. Without
/// extrapolation each of them alone would fill all 16 slots before the next report.
#[test]
fn entries_do_not_overfill_a_freed_engine_between_reports() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(1_000), at(1_000) + REPORT_VALIDITY);
    let mut sent = 0;
    while load
        .forecast_engine(&TIMING, NORMAL, FAR, at(1_100))
        .has_free_slot
    {
        load.request_started(at(1_100));
        sent += 1;
    }
    assert!(
        sent * FAR.sender_count <= 16 + FAR.sender_count,
        "each of 7 entries sent {sent} requests"
    );
}

/// Own requests that a load report includes must not be counted a second time as requests of other
/// entries.
#[test]
fn report_does_not_count_own_requests_as_those_of_others() {
    let mut load = Load::default();
    for ms in 0..4 {
        load.request_started(at(900 + ms));
    }
    load.record_report(4, 1.0, at(1_000), at(2_000));
    assert_eq!(
        load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(1_100))
            .occupied,
        4
    );
}

/// When an own request ends after a report, the count of requests of other entries must not change.
#[test]
fn requests_of_others_come_from_the_report() {
    let mut load = Load::default();
    load.record_report(10, 1.0, at(1_000), at(2_000));
    load.request_started(at(1_500));
    load.request_ended();
    assert_eq!(
        load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(1_950))
            .occupied,
        11
    );
}

/// Prefill of ten prompts that arrive within 100 ms delays all running streams. The predicted pause
/// must rise to several hundred ms and fall again once the prompts are processed.
#[test]
fn prompt_burst_raises_the_predicted_pause() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(1_000), at(2_000));
    for ms in 0..10 {
        load.add_prompt(&TIMING, NORMAL, PRIMARY, at(1_000 + ms * 10));
        load.request_started(at(1_000 + ms * 10));
    }
    let now = load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(1_100));
    let later = load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(1_600));
    assert!(now.pause > Duration::from_millis(300), "{:?}", now.pause);
    assert!(
        later.pause < Duration::from_millis(120),
        "{:?}",
        later.pause
    );
}

/// If an engine answers three times slower than predicted, the predictions must follow.
#[test]
fn predictions_adapt_to_a_slow_engine() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(0), at(60_000));
    let before = load
        .forecast_engine(&TIMING, NORMAL, PRIMARY, at(1))
        .latency;
    for _ in 0..30 {
        let predicted = load
            .forecast_engine(&TIMING, NORMAL, PRIMARY, at(1))
            .latency;
        load.record_latency(before * 3, predicted, at(1));
    }
    let after = load
        .forecast_engine(&TIMING, NORMAL, PRIMARY, at(1))
        .latency;
    assert!(
        after > before * 2,
        "latency prediction changed from {before:?} to {after:?}"
    );
}

/// Without a valid report the other entries are assumed to send as many requests as this one.
/// Expected latency of the next request to a plain service.
fn expected(load: &Load, now: Timestamp) -> Duration {
    load.forecast_plain(4, now).latency
}

/// Guards against a server that gets no request again after slow first answers, so that nobody
/// learns that it has become fast (docs/incidents/limit.md).
#[test]
fn a_server_that_was_slow_is_measured_again() {
    let slow = Duration::from_millis(600);
    let mut load = Load::default();
    let usual = expected(&load, at(0));
    load.record_latency(slow, usual, at(0));
    assert_eq!(expected(&load, at(0)), slow);
    let later = at(20_000);
    assert!(expected(&load, later) < usual * 2);
    // One request measures it; the others wait for the answer.
    load.request_started(later);
    assert!(expected(&load, later) >= slow);
    load.request_ended();
    load.record_latency(usual, usual, later);
    assert!(expected(&load, later) < usual * 2);
}

/// Guards against a server that is taken for fast because nothing was sent to it for a while.
#[test]
fn a_server_that_is_still_slow_is_avoided_after_one_answer() {
    let slow = Duration::from_millis(600);
    let mut load = Load::default();
    let usual = expected(&load, at(0));
    load.record_latency(slow, usual, at(0));
    load.record_latency(slow, usual, at(20_000));
    assert!(expected(&load, at(20_000)) > slow / 2);
}

#[test]
fn missing_reports_do_not_hide_requests_of_others() {
    let mut load = Load::default();
    load.record_report(3, 1.0, at(0), at(500));
    load.request_started(at(600));
    load.request_started(at(601));
    assert_eq!(
        load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(700))
            .occupied,
        4
    );
}

#[test]
fn each_server_of_a_zone_has_one_primary_entry() {
    for at in 0..11 {
        let owners = (0..3).filter(|index| {
            let entries = Entries {
                zone: 3,
                index: *index,
                all: 8,
            };
            entries.is_primary_for(at)
        });
        assert_eq!(owners.count(), 1, "server {at}");
    }
}

/// At an engine with a long queue, an urgent request is started before the queued ones and waits
/// only for earlier urgent requests.
#[test]
fn urgent_requests_wait_only_for_each_other_at_a_full_engine() {
    let mut load = Load::default();
    load.record_report(46, 1.0, at(1_000), at(1_000) + REPORT_VALIDITY);
    for _ in 0..20 {
        load.add_prompt(&TIMING, NORMAL, PRIMARY, at(1_000));
    }
    let objective = Duration::from_millis(300);
    assert!(
        load.forecast_engine(&TIMING, NORMAL, PRIMARY, at(1_000))
            .latency
            > objective * 5
    );
    let alone = load
        .forecast_engine(&TIMING, URGENT, PRIMARY, at(1_000))
        .latency;
    assert!(alone < objective, "{alone:?}");
    let mut taken = 0;
    while load
        .forecast_engine(&TIMING, URGENT, PRIMARY, at(1_000))
        .latency
        < objective
    {
        load.add_prompt(&TIMING, URGENT, PRIMARY, at(1_000));
        taken += 1;
    }
    assert!(
        (1..6).contains(&taken),
        "{taken} urgent requests within the objective"
    );
}

/// The ranks of three priorities.
fn three_ranks() -> [Rank; 3] {
    let target = Duration::from_millis(300);
    let routes = ServicePriorities::new(&[(1, target), (2, target), (3, target)]);
    [1, 2, 3].map(|priority| routes.rank(priority, &[]))
}

/// Guards against an order of admission that is the reverse of the priorities: of three priorities,
/// the middle one with a short objective was predicted to wait behind the queue that the lowest one
/// with a long objective was admitted to.
#[test]
fn the_middle_priority_does_not_wait_behind_the_lowest() {
    let [highest, middle, lowest] = three_ranks().map(|rank| Prompt { rank, ..NORMAL });
    let mut load = Load::default();
    load.record_report(30, 1.0, at(1_000), at(1_000) + REPORT_VALIDITY);
    for _ in 0..10 {
        load.add_prompt(&TIMING, lowest, PRIMARY, at(1_000));
    }
    let latency = |load: &Load, prompt| {
        load.forecast_engine(&TIMING, prompt, PRIMARY, at(1_000))
            .latency
    };
    let objective = Duration::from_millis(300);
    let last = latency(&load, lowest);
    assert!(last > objective * 3, "{last:?}");
    assert!(latency(&load, middle) < objective);
    assert_eq!(latency(&load, lowest), latency(&load, NORMAL));
    // Requests of its own and of higher ranks are ahead of it.
    let mut before = latency(&load, middle);
    for prompt in [middle, highest, middle] {
        load.add_prompt(&TIMING, prompt, PRIMARY, at(1_000));
        let after = latency(&load, middle);
        assert!(after > before, "{after:?} after {before:?}");
        before = after;
    }
    assert!(before > objective && before < last, "{before:?}");
}

/// The highest of three ranks is predicted as the highest of two was, and the lowest as requests
/// without ranks were.
#[test]
fn only_the_middle_ranks_have_a_forecast_of_their_own() {
    let [highest, _, lowest] = three_ranks().map(|rank| Prompt { rank, ..NORMAL });
    let (mut ranked, mut plain) = (Load::default(), Load::default());
    for (load, prompts) in [
        (&mut ranked, [highest, lowest]),
        (&mut plain, [URGENT, NORMAL]),
    ] {
        load.record_report(40, 1.0, at(1_000), at(1_000) + REPORT_VALIDITY);
        for prompt in prompts.repeat(4) {
            load.add_prompt(&TIMING, prompt, PRIMARY, at(1_000));
        }
    }
    for (prompt, plain_prompt) in [(highest, URGENT), (lowest, NORMAL)] {
        assert_eq!(
            ranked.forecast_engine(&TIMING, prompt, PRIMARY, at(1_050)),
            plain.forecast_engine(&TIMING, plain_prompt, PRIMARY, at(1_050))
        );
    }
}

/// Guards against requests that stay in the estimate of the queue after the engine ran them.
#[test]
fn the_engine_works_off_the_requests_of_a_rank() {
    let [_, middle, _] = three_ranks().map(|rank| Prompt { rank, ..NORMAL });
    let mut load = Load::default();
    load.record_report(40, 1.0, at(1_000), at(1_000) + REPORT_VALIDITY);
    let idle = load.forecast_engine(&TIMING, middle, PRIMARY, at(1_000));
    for _ in 0..5 {
        load.add_prompt(&TIMING, middle, PRIMARY, at(1_000));
    }
    let full = load.forecast_engine(&TIMING, middle, PRIMARY, at(1_000));
    assert!(full.latency > idle.latency * 2);
    let later = load.forecast_engine(&TIMING, middle, PRIMARY, at(2_000));
    assert_eq!(later.latency, idle.latency);
}

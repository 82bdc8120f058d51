//! Load of an engine as an entry estimates it, under the patterns that misled it.

use std::time::Duration;

use apricothall_decide::load::{Entries, Load, Prompt, ServerRelation};
use apricothall_decide::placement::Distance;
use apricothall_decide::timing::Timing;
use apricothall_types::Timestamp;

const TIMING: Timing = Timing {
    slots: 16,
    step: 6.73,
    per_request: 0.0219,
    per_context: 0.0068,
    reading: 30_600.0,
    per_pairs: 0.647,
    stride: 6,
    prompt: 964.0,
    answer: 119.0,
};

const USUAL: Prompt = Prompt {
    tokens: 964.0,
    urgent: false,
};

const URGENT: Prompt = Prompt {
    urgent: true,
    ..USUAL
};

/// Time for which a note of another zone holds.
const HOLDS: Duration = Duration::from_millis(2_600);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

const FAR: ServerRelation = ServerRelation {
    distance: Distance::Far,
    is_primary: false,
    sender_count: 7,
};

const OWN: ServerRelation = ServerRelation {
    distance: Distance::Zone,
    is_primary: true,
    sender_count: 2,
};

/// Seven entries see an engine that has just become free, by notes that come every 1.2 s. Each
/// must stop long before it has filled all 16 places by itself.
#[test]
fn entries_do_not_all_fill_one_freed_engine_between_two_notes() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(1_000), at(1_000) + HOLDS);
    let mut sent = 0;
    while load
        .forecast_engine(&TIMING, USUAL, FAR, at(1_100))
        .has_free_slot
    {
        load.request_started(at(1_100));
        sent += 1;
    }
    assert!(
        sent * FAR.sender_count <= 16 + FAR.sender_count,
        "{sent} sent by each of 7"
    );
}

/// Requests sent before a note and not yet in it are not counted twice when it comes.
#[test]
fn a_note_does_not_count_own_requests_as_those_of_others() {
    let mut load = Load::default();
    for ms in 0..4 {
        load.request_started(at(900 + ms));
    }
    load.record_report(4, 1.0, at(1_000), at(2_000));
    assert_eq!(
        load.forecast_engine(&TIMING, USUAL, OWN, at(1_100))
            .occupied,
        4
    );
}

/// Own requests that end later do not turn into requests of others.
#[test]
fn requests_of_others_are_those_of_the_note() {
    let mut load = Load::default();
    load.record_report(10, 1.0, at(1_000), at(2_000));
    load.request_started(at(1_500));
    load.request_ended();
    assert_eq!(
        load.forecast_engine(&TIMING, USUAL, OWN, at(1_950))
            .occupied,
        11
    );
}

/// Ten prompts within a tenth of a second hold up all that are being written: the eleventh is
/// expected to cause a pause of several hundred ms.
#[test]
fn a_burst_of_prompts_shows_as_a_pause() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(1_000), at(2_000));
    for ms in 0..10 {
        load.add_prompt(&TIMING, USUAL, OWN, at(1_000 + ms * 10));
        load.request_started(at(1_000 + ms * 10));
    }
    let now = load.forecast_engine(&TIMING, USUAL, OWN, at(1_100));
    let later = load.forecast_engine(&TIMING, USUAL, OWN, at(1_600));
    assert!(now.pause > Duration::from_millis(300), "{:?}", now.pause);
    assert!(
        later.pause < Duration::from_millis(120),
        "{:?}",
        later.pause
    );
}

/// An engine that answers three times slower than predicted is soon expected to.
#[test]
fn a_slow_engine_is_learned_from_its_answers() {
    let mut load = Load::default();
    load.record_report(0, 1.0, at(0), at(60_000));
    let before = load.forecast_engine(&TIMING, USUAL, OWN, at(1)).latency;
    for _ in 0..30 {
        let predicted = load.forecast_engine(&TIMING, USUAL, OWN, at(1)).latency;
        load.record_latency(before * 3, predicted);
    }
    let after = load.forecast_engine(&TIMING, USUAL, OWN, at(1)).latency;
    assert!(after > before * 2, "{before:?} became {after:?}");
}

/// Without a fresh note others are taken to send as much.
#[test]
fn silence_of_the_agent_does_not_hide_others() {
    let mut load = Load::default();
    load.record_report(3, 1.0, at(0), at(500));
    load.request_started(at(600));
    load.request_started(at(601));
    assert_eq!(
        load.forecast_engine(&TIMING, USUAL, OWN, at(700)).occupied,
        4
    );
}

#[test]
fn each_server_of_a_zone_has_one_main_entry() {
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

/// An engine with a long queue: a short summary of a hazard is taken before all that wait, and as
/// more of them come each waits for the urgent ones before it.
#[test]
fn the_most_urgent_wait_only_for_each_other_at_a_full_engine() {
    let mut load = Load::default();
    load.record_report(46, 1.0, at(1_000), at(1_000) + HOLDS);
    for _ in 0..20 {
        load.add_prompt(&TIMING, USUAL, OWN, at(1_000));
    }
    let aim = Duration::from_millis(300);
    assert!(load.forecast_engine(&TIMING, USUAL, OWN, at(1_000)).latency > aim * 5);
    let alone = load
        .forecast_engine(&TIMING, URGENT, OWN, at(1_000))
        .latency;
    assert!(alone < aim, "{alone:?}");
    let mut taken = 0;
    while load
        .forecast_engine(&TIMING, URGENT, OWN, at(1_000))
        .latency
        < aim
    {
        load.add_prompt(&TIMING, URGENT, OWN, at(1_000));
        taken += 1;
    }
    assert!((1..6).contains(&taken), "{taken} urgent ones in one aim");
}

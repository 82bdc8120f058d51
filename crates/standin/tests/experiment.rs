//! The decisions under load patterns, and the emulator that they meet.

use std::time::Duration;

use apricothall_decide::placement::PlacementConfig;
use apricothall_standin::emulator::{Emulator, EmulatorEvent, Job, TIMING};
use apricothall_standin::experiment::{Experiment, Outcome, Pattern, RequestKind, simulate};

fn experiment(pattern: Pattern, rate: f64) -> Experiment {
    let kind = |name: &str, share, prompt, answer, objective| RequestKind {
        name: name.into(),
        share,
        prompt,
        answer,
        objective: Duration::from_millis(objective),
    };
    Experiment {
        timing: TIMING,
        kinds: vec![
            kind("long", 0.6, 1_050.0, 144.0, 400),
            kind("short", 0.4, 600.0, 72.0, 300),
        ],
        engines: 10,
        entries: 4,
        rate,
        pattern,
        length: 24_000,
        placement: PlacementConfig::default(),
        seed: 7,
    }
}

fn sum(outcomes: &[Outcome], part: fn(&Outcome) -> u32) -> u32 {
    outcomes.iter().map(part).sum()
}

/// Twenty passes of six tokens make 120 tokens.
#[test]
fn an_engine_alone_with_a_request_needs_its_passes() {
    let mut engine = Emulator::new(TIMING);
    engine.push(Job {
        id: 0,
        prompt: 900.0,
        answer: 120.0,
    });
    let (mut first, mut end) = (0.0, 0.0);
    for now in 0..3_000_u32 {
        let now = f64::from(now);
        engine.step(now, |_, what| match what {
            EmulatorEvent::FirstToken => first = now,
            EmulatorEvent::Completed { .. } => end = now,
        });
    }
    let pass = TIMING.decode_ms(1);
    let read = TIMING.prefill_ms(900.0);
    assert!((first - read - pass).abs() < 2.0, "{first}");
    assert!((end - read - pass * 20.0).abs() < 22.0, "{end}");
}

#[test]
fn the_same_seed_plays_the_same() {
    let one = simulate(&experiment(Pattern::Burst, 90.0));
    assert_eq!(one, simulate(&experiment(Pattern::Burst, 90.0)));
}

/// Ten engines end about 120 requests a second.
#[test]
fn a_calm_load_is_served_in_time_and_nobody_is_refused() {
    let outcomes = simulate(&experiment(Pattern::Calm, 75.0));
    assert_eq!(sum(&outcomes, |o| o.refused), 0, "{outcomes:?}");
    for outcome in &outcomes {
        assert!(outcome.score() > 0.85, "{outcome:?}");
    }
}

macro_rules! minimum_score {
    ($($case:ident: $pattern:ident at $rate:literal => score of $least:literal at least;)*) => {
        $(#[test] fn $case() {
            let outcomes = simulate(&experiment(Pattern::$pattern, $rate));
            let total = f64::from(sum(&outcomes, |o| o.total));
            let score: f64 = outcomes.iter().map(|o| o.score() * f64::from(o.total)).sum();
            assert!(score / total >= $least, "{:.3}: {outcomes:?}", score / total);
        })*
    };
}

// An engine ends 12 requests a second. What is asked beyond that, or lost in a crash, is out of
// reach: 120 of 2,160, none, 28 of 1,680 and 80 of 1,680. The least is nine tenths of the rest.
minimum_score! {
    a_burst_of_twice_the_load: Burst at 80.0 => score of 0.85 at least;
    a_third_of_the_engines_slow: Slow at 70.0 => score of 0.9 at least;
    a_third_of_the_engines_lost: Lost at 70.0 => score of 0.88 at least;
    half_of_the_engines_arriving_late: Arriving at 70.0 => score of 0.86 at least;
}

/// Neither kind is starved while demand exceeds what engines give.
#[test]
fn too_much_of_everything_starves_no_kind() {
    let outcomes = simulate(&experiment(Pattern::Calm, 200.0));
    let served = |o: &Outcome| f64::from(o.timely + o.late) / f64::from(o.total);
    let (long, short) = (served(&outcomes[0]), served(&outcomes[1]));
    assert!(
        long > short * 0.5 && short > long * 0.5,
        "{long:.2} {short:.2}"
    );
}

macro_rules! timely_under_overload {
    ($($case:ident: $pattern:ident at $rate:literal;)*) => {
        $(#[test] fn $case() {
            let outcomes = simulate(&experiment(Pattern::$pattern, $rate));
            let timely = f64::from(sum(&outcomes, |o| o.timely));
            let served = timely + f64::from(sum(&outcomes, |o| o.late));
            assert!(timely >= served * 0.8, "{timely} of {served} in time: {outcomes:?}");
        })*
    };
}

// Engines that are full serve whom they still can in time. Callers who come back are late already;
// when they filled the engines, nearly all answers were late for as long as the load lasted.
timely_under_overload! {
    twice_the_load_for_long: Overload at 75.0;
    twice_the_load_for_long_with_a_fifth_of_the_engines_lost: Shortage at 75.0;
    twice_the_load_for_three_seconds: Burst at 75.0;
}

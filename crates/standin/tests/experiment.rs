//! Placement decisions under load patterns, and the engine emulator that the simulation uses.

use std::time::Duration;

use apricothall_decide::placement::PlacementConfig;
use apricothall_standin::emulator::{Emulator, EmulatorEvent, Job, TIMING};
use apricothall_standin::experiment::{Experiment, Outcome, Pattern, Ranks, RequestKind, simulate};

fn experiment(pattern: Pattern, rate: f64) -> Experiment {
    let kind = |name: &str, share, prompt, answer, objective| RequestKind {
        name: name.into(),
        share,
        prompt,
        answer,
        objective: Duration::from_millis(objective),
        priority: 0,
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
        ranks: Ranks::Configured,
        seed: 7,
    }
}

fn sum(outcomes: &[Outcome], part: fn(&Outcome) -> u32) -> u32 {
    outcomes.iter().map(part).sum()
}

/// The engine needs 20 passes of six tokens for the 120 tokens of the response.
#[test]
fn single_request_takes_the_expected_number_of_passes() {
    let mut engine = Emulator::new(TIMING);
    engine.push(Job {
        id: 0,
        prompt: 900.0,
        answer: 120.0,
        urgency: 0,
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
fn same_seed_gives_the_same_results() {
    let one = simulate(&experiment(Pattern::Burst, 90.0));
    assert_eq!(one, simulate(&experiment(Pattern::Burst, 90.0)));
}

/// Ten engines complete about 120 requests per second.
#[test]
fn constant_load_is_served_in_time_without_refusals() {
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

// An engine completes 12 requests per second. Requests beyond that rate or lost in a crash cannot
// be served: 120 of 2,160, none, 28 of 1,680 and 80 of 1,680. The minimum score is nine tenths of
// the rest.
minimum_score! {
    a_burst_of_twice_the_load: Burst at 80.0 => score of 0.85 at least;
    a_third_of_the_engines_slow: Slow at 70.0 => score of 0.9 at least;
    a_third_of_the_engines_lost: Lost at 70.0 => score of 0.88 at least;
    half_of_the_engines_arriving_late: Arriving at 70.0 => score of 0.86 at least;
}

/// Neither kind of request is starved while demand exceeds the capacity of the engines.
#[test]
fn overload_starves_no_kind() {
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

// Full engines must serve the requests that can still be timely. Retried requests are already late;
// when they filled the engines, nearly all responses were late for as long as the overload lasted.
timely_under_overload! {
    twice_the_load_for_long: Overload at 75.0;
    twice_the_load_for_long_with_a_fifth_of_the_engines_lost: Shortage at 75.0;
    twice_the_load_for_three_seconds: Burst at 75.0;
}

/// Shares of requests that were served, by descending priority, summed over five seeds. The lowest
/// of the three priorities has a long objective.
fn served_by_priority(pattern: Pattern, rate: f64, shares: [f64; 3], ranks: Ranks) -> [f64; 3] {
    let objectives = [300, 300, 1_500].map(Duration::from_millis);
    let kind = |index: usize| RequestKind {
        name: "kind".into(),
        share: shares[index],
        prompt: 964.0,
        answer: 119.0,
        objective: objectives[index],
        priority: [1, 2, 3][index],
    };
    let mut sums = [(0.0, 0.0); 3];
    for seed in 1..=5 {
        let outcomes = simulate(&Experiment {
            kinds: (0..3).map(kind).collect(),
            ranks,
            seed,
            ..experiment(pattern, rate)
        });
        for (sum, outcome) in sums.iter_mut().zip(&outcomes) {
            sum.0 += f64::from(outcome.timely + outcome.late);
            sum.1 += f64::from(outcome.total);
        }
    }
    sums.map(|(served, total)| served / total)
}

macro_rules! order_of_priorities {
    ($($case:ident: $pattern:ident at $rate:literal, shares $shares:expr;)*) => {
        $(#[test] fn $case() {
            let served =
                served_by_priority(Pattern::$pattern, $rate, $shares, Ranks::Configured);
            let [highest, middle, lowest] = served;
            assert!(middle <= highest + 0.05, "{served:?}");
            assert!(lowest <= middle.min(highest) + 0.05, "{served:?}");
        })*
    };
}

// Guards against a lower priority with a long objective that is served while a higher one with a
// short objective is refused.
order_of_priorities! {
    three_priorities_at_one_and_a_half_times_the_capacity: Calm at 180.0, shares [0.34, 0.33, 0.33];
    the_middle_priority_doubles_twice: Calm at 170.0, shares [0.2, 0.6, 0.2];
    the_lowest_priority_doubles_twice: Overload at 80.0, shares [0.2, 0.2, 0.6];
}

/// With two ranks, the simulation shows the fault that the ranks are for.
#[test]
fn two_ranks_serve_the_lowest_priority_before_the_middle_one() {
    let shares = [0.34, 0.33, 0.33];
    let [_, middle, lowest] = served_by_priority(Pattern::Calm, 180.0, shares, Ranks::Two);
    assert!(lowest > middle + 0.3, "{middle:.2} {lowest:.2}");
}

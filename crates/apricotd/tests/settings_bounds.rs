//! Entries whose settings change to a bound that is a fraction, or no usable number.
//!
//! The entries are real processes, the store and the servers are stand-ins.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "departures/world.rs"]
mod world;

use std::time::{Duration, Instant};

use world::World;

/// Time for a signal to take effect.
const EFFECT: Duration = Duration::from_secs(1);

/// Interval of checks by which a process notices a change without a signal, and some time.
const RELOAD: Duration = Duration::from_secs(6);

/// Warnings that a setting is not used, in the log of all processes of an entry.
fn warnings(world: &World, index: usize) -> usize {
    let log = world.entries.log(index);
    log.matches("a setting is not used as it stands").count()
}

/// Changes a bound, tells the entries, and stops and starts them in turn, under load. Returns how
/// often each entry has warned.
async fn run(case: &str, line: &str, by: &str) -> Vec<usize> {
    let mut world = World::start(case, &["a", "a"], 2).await;
    world.start_callers(0, 2);
    world.start_callers(1, 2);
    world.entries.change_settings(line, by);
    tokio::time::sleep(RELOAD).await;
    for index in 0..2 {
        world.entries.terminate(index).await;
        world.entries.wait_ready().await;
        tokio::time::sleep(EFFECT).await;
    }
    let before = world.requests.served();
    tokio::time::sleep(EFFECT).await;
    let served = world.requests.served() - before;
    let warned = (0..2).map(|index| warnings(&world, index)).collect();
    world.finish(&[]).await;
    assert!(served > 20, "only {served} served after the restarts");
    warned
}

/// Whether a process has a handler for a signal, by its number.
fn handles(process: u32, signal: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask >> (signal - 1) & 1 == 1)
}

/// Guards against a process that ends as its settings change while it starts: the signal has a handler
/// before anything else.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_the_settings_during_the_start_ends_no_process() {
    const HANG_UP: u32 = 1;
    const TERMINATE: u32 = 15;
    let case = "a_change_of_the_settings_during_the_start_ends_no_process";
    let mut world = World::start(case, &["a", "a"], 1).await;
    for _ in 0..20 {
        world.entries.kill(1).await;
        let process = world.entries.process_id(1);
        let seen = Instant::now();
        while !handles(process, TERMINATE) {
            assert!(seen.elapsed() < RELOAD, "it does not start");
        }
        assert!(handles(process, HANG_UP), "a change would end the process");
    }
    world.stop().await;
}

macro_rules! changes {
    ($($(#[doc = $guards:literal])* $case:ident: $line:literal => $by:literal, $warned:expr;)*) => {
        $($(#[doc = $guards])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            let warned = run(stringify!($case), $line, $by).await;
            assert_eq!(warned, $warned);
        })*
    };
}

changes! {
    /// Guards against entries that never start again, as a bound is a fraction (review/10).
    a_bound_is_a_fraction: "revokeMs = 5000" => "revokeMs = 4500.5", [0, 0];
    /// Guards against the same where the bound is no number. Each process warns once, however often
    /// it reads the file.
    a_bound_is_not_a_number: "revokeMs = 5000" => "revokeMs = nan", [2, 2];
    /// Guards against the same where a bound is missing.
    a_bound_is_missing: "graceS = 8" => "", [2, 2];
}

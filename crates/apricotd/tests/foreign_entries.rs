//! Entries of another writer in the store, with the addresses of servers, while entries are killed.
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

use std::time::Duration;

use world::World;

/// Entries, of which the last ones only follow the readers of the store.
const ENTRIES: usize = 5;

/// Time for which an entry serves after a change.
const SERVED_TIME: Duration = Duration::from_secs(2);

/// Least number of requests that all callers together must get served in that time.
const MIN_SERVED: u32 = 50;

/// Entries of another writer in [`thousands_of_entries_leave_memory_and_callers_alone`].
const MANY: usize = 5_000;

/// Memory that a daemon may take for control, in kB.
const MEMORY_KB: u64 = 128 * 1_024;

/// Guards against an entry whose memory another writer fills, and that serves nobody meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_entries_leave_memory_and_callers_alone() {
    let case = "thousands_of_entries_leave_memory_and_callers_alone";
    let mut world = World::start(case, &["a", "a"], 2).await;
    for index in 0..2 {
        world.start_callers(index, 2);
    }
    let before = world.entries.peak_memory(0);
    for number in 0..MANY {
        let (_, address) = world.servers[number % 2];
        let entry = format!(
            r#"{{"service":"elsewhere-{number}","address":"{address}","zone":"a","slots":8,"state":"ready","born":9}}"#
        );
        world.store.put(&format!("servers/x-{number}"), &entry);
    }
    let during = served(&world).await;
    world.entries.kill(1).await;
    world.entries.wait_ready().await;
    let after = served(&world).await;
    let peaks = [0, 1].map(|index| world.entries.peak_memory(index));
    println!("{before} kB before, {peaks:?} kB after; {during} and {after} served");
    let mut violations = Vec::new();
    if during.min(after) < MIN_SERVED {
        violations.push(format!("{during} and {after} served"));
    }
    if peaks.iter().any(|peak| *peak > MEMORY_KB) {
        violations.push(format!("{peaks:?} kB"));
    }
    world.finish(&violations).await;
}

/// Requests that are served in [`SERVED_TIME`].
async fn served(world: &World) -> u32 {
    let before = world.requests.served();
    tokio::time::sleep(SERVED_TIME).await;
    world.requests.served() - before
}

/// Guards against servers that no entry uses, as entries of a service that nobody names have their
/// addresses: at entries that watch the store, that follow others, and that start anew.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_no_service_take_no_server_away() {
    let case = "entries_of_no_service_take_no_server_away";
    let mut world = World::start(case, &["a"; ENTRIES], 2).await;
    for index in 0..ENTRIES {
        world.start_callers(index, 1);
    }
    world.write_foreign_entries("elsewhere");
    let mut violations = Vec::new();
    let changed = served(&world).await;
    if changed < MIN_SERVED {
        violations.push(format!("{changed} served after the change"));
    }
    for index in 0..ENTRIES {
        world.entries.kill(index).await;
    }
    world.entries.wait_ready().await;
    let restarted = served(&world).await;
    if restarted < MIN_SERVED {
        violations.push(format!("{restarted} served after the restart"));
    }
    println!("{changed} served after the change, {restarted} after the restart");
    let failed = world.requests.failed.lock().expect("no panic").clone();
    let refused = failed.iter().filter(|(_, what)| what.contains("Ok(503)"));
    println!(
        "{} of {} failures are refusals",
        refused.count(),
        failed.len()
    );
    world.finish(&violations).await;
}

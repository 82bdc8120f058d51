//! Entries of one zone while the store holds a configuration that nobody can read.
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

use standin::KEY;
use world::World;

/// Entries, of which the last ones only follow the readers of the store.
const ENTRIES: usize = 5;

/// `revokeMs` of the entries.
const REVOKED: Duration = Duration::from_secs(5);

/// Time over which calls to the store are counted.
const COUNTED: Duration = Duration::from_secs(5);

/// Calls beyond those of calm times with which entries notice the change: one for each of them, and
/// for each that reads the store.
const NOTICES: usize = 2 * ENTRIES;

/// Time for requests in progress to end.
const SLACK: Duration = Duration::from_millis(300);

/// Number of answers of the store in [`COUNTED`].
async fn count_calls(world: &World) -> usize {
    let before = world.store.sent().answers;
    tokio::time::sleep(COUNTED).await;
    world.store.sent().answers - before
}

/// Guards against a key that stays in use, and against entries that all ask the store again and
/// again, as the configuration that takes the key away cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_ends_without_a_storm_of_reads() {
    let case = "a_key_ends_without_a_storm_of_reads";
    let mut world = World::start(case, &["a"; ENTRIES], 2).await;
    for index in 0..ENTRIES {
        world.start_callers(index, 1);
    }
    let calm = count_calls(&world).await;
    world.store.put("op/config", r#"{"version":2,"tenants":7}"#);
    tokio::time::sleep(REVOKED + SLACK).await;
    let revoked = Instant::now();
    let served = world.requests.served();
    let calls = count_calls(&world).await;
    let late = world.requests.served() - served;
    println!("{calm} calls while calm, {calls} after the change");
    assert_eq!(
        late, 0,
        "requests were served with a key that may be revoked"
    );
    assert!(calls <= calm + NOTICES, "{calls} calls, {calm} while calm");
    world.store.configure(&format!("\"{KEY}\""), 3);
    while world.requests.served() == served {
        assert!(revoked.elapsed() < REVOKED * 3, "not served again");
        tokio::time::sleep(SLACK).await;
    }
    world.finish(&[]).await;
}

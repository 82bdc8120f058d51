//! Servers that name a limit, before entries that are processes of their own.
//!
//! `cargo test -p apricotd --test server_limits` runs fixed cases.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[path = "server_limits/world.rs"]
mod world;

use std::time::Duration;

use world::World;

/// Time for which callers send after the servers have named their limits.
const LOAD_TIME: Duration = Duration::from_secs(12);

macro_rules! limits {
    ($($(#[$doc:meta])* $case:ident: $zones:expr, $limits:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            let mut world = World::start(stringify!($case), &$zones, $limits.len(), 3).await;
            world.start_callers();
            world.name_limits(&$limits);
            tokio::time::sleep(LOAD_TIME).await;
            world.finish().await;
        })*
    };
}

limits! {
    /// Guards against the incident LIMIT (docs/incidents/limit.md): no entry read the limits that
    /// servers name, and each sent as if it were the only one.
    servers_get_no_more_than_their_limits_from_eight_entries:
        ["a", "a", "a", "a", "a", "b", "b", "b"], ["1.6", "1"];
}

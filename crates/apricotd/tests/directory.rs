//! Entries that are gone: the others no longer name them to callers.
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

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricothall_clients::http_client::{HttpClient, get};
use world::World;

/// Time after its end from which an entry must not be named.
const LIMIT: Duration = Duration::from_secs(7);

/// For how long the others are asked after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Interval of the questions.
const INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an entry sends messages after another one stood still, or before it restarts.
const CONTACT: Duration = Duration::from_millis(1_500);

/// Entry that is gone, and one that is disturbed.
const GONE: usize = 0;
const DISTURBED: usize = 1;

/// Path at which an entry names entries.
const PATH: &str = "/api/resolve";

/// How an entry goes, and what happens to another one.
#[derive(Clone, Copy, PartialEq)]
enum Departure {
    /// It is killed.
    Killed,
    /// It is stopped as an operator does.
    Stopped,
    /// It is killed just after another one stood still, which goes on after [`LIMIT`].
    KilledBehindAPause,
    /// It is killed, and another one is killed and restarted.
    KilledBeforeARestart,
}

/// Whether the entry with this directory names `address`; `None` if it does not answer.
async fn names(client: &HttpClient, directory: SocketAddr, address: SocketAddr) -> Option<bool> {
    let request = get(directory, PATH).expect("a request");
    let answer = client
        .call(request, Duration::from_millis(500), 1 << 16)
        .await;
    let body = answer.ok()?.body;
    let text = String::from_utf8_lossy(&body).into_owned();
    Some(text.contains(&format!("\"{address}\"")))
}

async fn run(case: &str, zones: &[&'static str], departure: Departure) {
    let mut world = World::start(case, zones, 1).await;
    world.start_callers(2, 4);
    let client = HttpClient::without_pool(None, Duration::from_millis(500));
    let gone = world.entries.caller_addresses()[GONE];
    for index in 0..zones.len() {
        let directory = world.entries.directory_address(index);
        let named = names(&client, directory, gone).await;
        assert_eq!(named, Some(true), "entry {index} does not know the others");
    }
    if departure == Departure::KilledBehindAPause {
        world.entries.freeze(DISTURBED);
        tokio::time::sleep(CONTACT).await;
    }
    match departure {
        Departure::Stopped => {
            world.entries.stop(GONE, LIMIT).await;
        }
        _ => world.entries.remove(GONE).await,
    }
    let end = Instant::now();
    if departure == Departure::KilledBeforeARestart {
        tokio::time::sleep(CONTACT).await;
        world.entries.kill(DISTURBED).await;
    }
    tokio::time::sleep(LIMIT.saturating_sub(end.elapsed())).await;
    world.entries.thaw_all();
    let (mut late, mut answers) = (Vec::new(), 0);
    while end.elapsed() < LIMIT + OBSERVATION_TIME {
        for index in 1..zones.len() {
            let directory = world.entries.directory_address(index);
            let asked = end.elapsed();
            let named = names(&client, directory, gone).await;
            answers += usize::from(named.is_some());
            if named == Some(true) {
                late.push(format!("entry {index} names it {asked:?} after its end"));
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(answers > 20, "only {answers} answers");
    let count = late.len();
    let violations: Vec<_> = late
        .last()
        .map(|last| format!("{count} times, at last: {last}"))
        .into_iter()
        .collect();
    world.finish(&violations).await;
}

macro_rules! departures {
    ($($(#[doc = $guards:literal])* $case:ident: $zones:expr, $departure:ident;)*) => {
        $($(#[doc = $guards])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            run(stringify!($case), &$zones, Departure::$departure).await;
        })*
    };
}

departures! {
    /// Guards against callers that are sent to an entry which is gone.
    a_killed_entry_is_not_named: ["a", "a", "a", "b"], Killed;
    a_stopped_entry_is_not_named: ["a", "a", "a", "b"], Stopped;
    /// Guards against an entry that stood still and takes messages which waited for it for new.
    an_entry_killed_during_a_pause_of_another_is_not_named: ["a", "a", "a"], KilledBehindAPause;
    an_entry_of_another_region_killed_during_a_pause_is_not_named: ["b", "a", "a"], KilledBehindAPause;
    /// Guards against an entry that learns of one that is gone by the addresses that others know.
    a_killed_entry_is_not_named_by_one_that_restarts: ["a", "a", "a", "b"], KilledBeforeARestart;
}

//! Cold servers before entries that are processes of their own.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricothall_clients::http_client::HttpClient;
use entries::Entries;
use standin::{Action, KEY, Script, ServerLog, Store, answer, caller_request, listen, serve};
use tokio::task::JoinSet;

/// Requests per second that a cold server takes.
const LIMIT: f64 = 17.0;

/// Requests that the platform tolerates in any second: 17 times 1.5, and 5.
const TOLERATED: usize = 30;

/// Window over which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a server is cold.
const COLD_TIME: Duration = Duration::from_secs(8);

/// Time at the start of a cold time in which senders have no tokens yet.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time after the cold time in which the limit rises and is lifted.
const RISE_TIME: Duration = Duration::from_secs(2);

/// Fault-free time at the start, within which entries discover each other and use their shares.
const WARM_UP: Duration = Duration::from_secs(7);

/// Number of concurrent callers at each entry.
const CALLERS: usize = 3;

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Service time of a server.
const SERVICE_TIME: Duration = Duration::from_millis(40);

const SERVER_SCRIPT: Script =
    |request, _| Action::SendDelayed(vec![(SERVICE_TIME, answer(request, "200 OK", "fine"))]);

async fn start_server() -> (SocketAddr, ServerLog) {
    let (listener, address) = listen().await;
    let seen = ServerLog::default();
    tokio::spawn(serve(listener, SERVER_SCRIPT, seen.clone()));
    (address, seen)
}

/// Sends requests to an entry in a loop.
async fn call(at: SocketAddr, name: String) {
    let client = HttpClient::without_pool(None, Duration::from_secs(1));
    for number in 0.. {
        let path = format!("/read/{name}-{number}");
        let request = caller_request(at, &format!("{name}-{number}"), &path, KEY);
        // What a cold server does not take may be refused.
        let _ = client.call(request, CALLER_TIMEOUT, MAX_ANSWER_BYTES).await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Most arrivals in any window that begins in `from..until`.
fn most_in_a_window(times: &[Instant], from: Instant, until: Instant) -> usize {
    let starts = times.iter().filter(|t| (from..until).contains(*t));
    let counts = starts.map(|start| {
        let end = (*start + WINDOW).min(until);
        times.iter().filter(|t| (*start..end).contains(*t)).count()
    });
    counts.max().unwrap_or(0)
}

fn rate(times: &[Instant], from: Instant, until: Instant) -> f64 {
    let count = times.iter().filter(|t| (from..until).contains(*t)).count();
    f64::from(u32::try_from(count).expect("few")) / until.duration_since(from).as_secs_f64()
}

/// Guards against servers that have just started, or become cold again, and get what warm ones do.
#[tokio::test(flavor = "multi_thread")]
async fn cold_servers_get_no_more_than_their_limit_from_eight_entries() {
    let store = Store::default();
    store.configure_cold_limit(&format!("\"{KEY}\""), 1, LIMIT);
    let (listener, address) = listen().await;
    tokio::spawn(store.clone().serve(listener));
    for index in 0..2 {
        let (warm, _) = start_server().await;
        store.put_cold_server(&format!("i-warm-{index}"), warm, 1, Duration::ZERO);
    }
    let zones = ["a", "a", "a", "a", "a", "b", "b", "b"];
    let log_dir = std::env::temp_dir().join(format!("cold-servers-{}", std::process::id()));
    let mut entries = Entries::start_in(&zones, address, log_dir);
    entries.wait_ready().await;
    let mut callers = JoinSet::new();
    for (index, at) in entries.caller_addresses().into_iter().enumerate() {
        for caller in 0..CALLERS {
            callers.spawn(call(at, format!("{index}-{caller}")));
        }
    }
    tokio::time::sleep(WARM_UP).await;
    let (cold, seen) = start_server().await;
    let mut problems = Vec::new();
    for (case, remaining) in [COLD_TIME, COLD_TIME + Duration::from_millis(1)]
        .iter()
        .enumerate()
    {
        let from = Instant::now();
        store.put_cold_server("i-cold", cold, 2, *remaining);
        // A server that becomes cold again gets more until all entries have learned of it.
        let told = from
            + if case == 0 {
                Duration::ZERO
            } else {
                SETTLE_TIME
            };
        tokio::time::sleep(COLD_TIME + RISE_TIME).await;
        let (times, until) = (seen.times(), from + COLD_TIME);
        let most = most_in_a_window(&times, told, until);
        let used = rate(&times, from + SETTLE_TIME, until);
        let warm = rate(&times, until + RISE_TIME / 2, until + RISE_TIME);
        println!("case {case}: at most {most} in a second, {used:.1} per second, then {warm:.1}");
        if most > TOLERATED || used < LIMIT / 2.0 || warm < LIMIT * 1.5 {
            problems.push((case, most, used, warm));
        }
    }
    callers.shutdown().await;
    let logs: Vec<_> = (0..zones.len()).map(|i| entries.log(i)).collect();
    for line in ["server is cold", "server is no longer cold", "Cold(Entry)"] {
        if !logs.iter().all(|log| log.contains(line)) {
            problems.push((usize::MAX, 0, 0.0, 0.0));
            println!("an entry did not log {line:?}");
        }
    }
    if !problems.is_empty() {
        println!("logs in {}", entries.keep_logs().display());
    }
    entries.close().await;
    assert!(problems.is_empty(), "{problems:?}");
}

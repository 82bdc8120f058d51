//! Servers that leave, or lapse, while the store does not answer some entries, or none.
//!
//! Entries are real processes, the store and the servers stand-ins.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::HttpClient;
use entries::Entries;
use http::StatusCode;
use standin::{Act, Conduct, KEY, Script, Seen, Store, answer, caller_request, listen, serve};
use tokio::task::JoinHandle;

/// Servers.
const SERVERS: usize = 3;

/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(20);

/// Longest wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(4);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Time in which all entries in touch with the store stop sending to a server that has left, as the
/// platform states it.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which callers go on after that.
const AFTER: Duration = Duration::from_millis(1_500);

/// Time for which all is well before anything happens. Entries have found their turns by then.
const BEFORE: Duration = Duration::from_secs(3);

/// Callers at each entry that is asked, enough to keep all servers busy.
const CALLERS: usize = 16;

/// Time that a server takes.
const WORK: Duration = Duration::from_millis(60);

const WORKS: Script = |request, _| Act::Slowly(vec![(WORK, answer(request, "200 OK", "fine"))]);

/// Requests of callers.
#[derive(Default)]
struct Asked {
    served: AtomicU32,
    failed: Mutex<Vec<(Instant, String)>>,
}

struct World {
    store: Store,
    entries: Entries,
    servers: Vec<(Seen, SocketAddr)>,
    asked: Arc<Asked>,
    callers: Vec<JoinHandle<()>>,
}

impl World {
    async fn start(case: &str, zones: &[&'static str]) -> Self {
        let store = Store::default();
        store.configure(&format!("\"{KEY}\""), 1);
        let (listener, address) = listen().await;
        tokio::spawn(store.clone().serve(listener));
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            let (listener, address) = listen().await;
            let seen = Seen::default();
            tokio::spawn(serve(listener, WORKS, seen.clone()));
            servers.push((seen, address));
        }
        let folder = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
        let entries = Entries::start_in(zones, address, folder);
        let world = Self {
            store,
            entries,
            servers,
            asked: Arc::default(),
            callers: Vec::new(),
        };
        for index in 0..SERVERS {
            world.list(index);
        }
        world.entries.ready().await;
        tokio::time::sleep(BEFORE).await;
        world
    }

    /// Writes the entry of a server.
    fn list(&self, index: usize) {
        let (_, address) = self.servers[index];
        self.store
            .put_server(&format!("i-{index}"), address, "ready");
    }

    /// Removes the entry of a server.
    fn unlist(&self, index: usize) {
        self.store.remove_server(&format!("i-{index}"));
    }

    /// Lets callers ask the entry `index` again and again.
    fn ask(&mut self, index: usize) {
        for caller in 0..CALLERS {
            self.call(index, caller);
        }
    }

    fn call(&mut self, index: usize, caller: usize) {
        let at = self.entries.callers()[index];
        let asked = self.asked.clone();
        let client = HttpClient::without_pool(None, Duration::from_secs(1));
        self.callers.push(tokio::spawn(async move {
            for number in 0.. {
                let path = format!("/read/{caller}-{number}");
                let request =
                    caller_request(at, &format!("q{index}-{caller}-{number}"), &path, KEY);
                let answer = client.call(request, CALLER_WAIT, ANSWER_BYTES).await;
                match answer {
                    Ok(answer) if answer.status == StatusCode::OK => {
                        asked.served.fetch_add(1, Ordering::Relaxed);
                    }
                    other => {
                        let what = format!("entry {index}: {:?}", other.map(|a| a.status));
                        let mut failed = asked.failed.lock().expect("no panic");
                        failed.push((Instant::now(), what));
                    }
                }
                tokio::time::sleep(PACE).await;
            }
        }));
    }

    /// Ends all; keeps the logs if there is something to explain.
    async fn close(mut self, faults: &[String]) {
        for caller in &self.callers {
            caller.abort();
        }
        let served = self.asked.served.load(Ordering::Relaxed);
        let kept = (!faults.is_empty()).then(|| self.entries.keep_logs());
        self.entries.close().await;
        assert!(faults.is_empty(), "{faults:?}; logs in {kept:?}");
        assert!(served > 100, "served {served}");
    }
}

/// A server leaves in peace just as the store turns to `conduct` toward the entries `away`. Those
/// in `asked` send it nothing later than [`DRAIN`] after the store acked that.
async fn play(
    case: &str,
    zones: &[&'static str],
    away: &[usize],
    conduct: Conduct,
    asked: &[usize],
) {
    let mut world = World::start(case, zones).await;
    for entry in asked {
        world.ask(*entry);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in away {
        let ip = world.entries.ip(*entry);
        world.store.conduct_toward(ip, conduct);
    }
    world.unlist(0);
    let left_at = Instant::now();
    tokio::time::sleep(DRAIN + AFTER).await;
    let (left, _) = &world.servers[0];
    assert!(!left.times().is_empty(), "it got requests before");
    let late = left
        .times()
        .into_iter()
        .map(|at| at.duration_since(left_at));
    let late: Vec<_> = late.filter(|late| *late > DRAIN).collect();
    let fault = late.last().map(|last| {
        let count = late.len();
        format!("{count} requests at a server that left, the last after {last:?}")
    });
    let faults: Vec<_> = fault.into_iter().collect();
    world.close(&faults).await;
}

macro_rules! departures {
    ($($(#[$doc:meta])* $case:ident: $zones:expr, $conduct:ident toward $away:expr, asked $asked:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            play(stringify!($case), &$zones, &$away, Conduct::$conduct, &$asked).await;
        })*
    };
}

departures! {
    /// Guards against DRAIN: an entry that takes over from readers which the store turns away took a
    /// removal that the store had acked in peace for a lapse in an outage, and held the server 2 s more.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_readers_turned_away:
        ["a", "a", "a"], Refuses toward [0, 1], asked [2];
    /// Guards against the same where only one of two readers is turned away.
    a_server_that_left_gets_nothing_from_an_entry_that_takes_over_from_one_reader:
        ["a", "a", "a"], Refuses toward [1], asked [0, 2];
    /// Guards against late news: readers that hear nothing from the store went unnoticed for longer
    /// than servers may still get requests.
    a_server_that_left_gets_nothing_where_the_readers_of_a_zone_fall_silent:
        ["a", "a", "a"], Silent toward [0, 1], asked [2];
    /// Guards against late news in a zone that lost the store, while another zone knows.
    a_server_that_left_gets_nothing_from_a_zone_that_hears_of_it_from_another:
        ["a", "a", "b", "b"], Silent toward [2, 3], asked [2, 3];
}

/// Guards against an empty list of servers after an outage of the store: entries of living servers
/// lapse in it and are back a moment after it, and callers see nothing of that.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_lapse_in_an_outage_of_the_store_keep_their_requests() {
    /// An entry lapses after three heartbeats of 1.2 s, the first of which may be before the outage.
    /// Callers' keys hold for 5 s without the store.
    const OUTAGE: Duration = Duration::from_secs(3);
    /// Time after the outage at which living servers have written their entries again.
    const BACK: Duration = Duration::from_millis(1_600);
    let mut world = World::start("servers_that_lapse", &["a", "a", "a"]).await;
    for entry in 0..3 {
        world.ask(entry);
    }
    let begun = Instant::now();
    world.store.conduct(Conduct::Refuses);
    tokio::time::sleep(OUTAGE).await;
    for server in 0..SERVERS {
        world.unlist(server);
    }
    world.store.conduct(Conduct::Answers);
    tokio::time::sleep(BACK).await;
    for server in 0..SERVERS {
        world.list(server);
    }
    tokio::time::sleep(AFTER).await;
    let failed = world.asked.failed.lock().expect("no panic").clone();
    let fault = failed.first().map(|(at, what)| {
        let after = at.duration_since(begun);
        format!(
            "{} requests failed, the first {after:?} after the outage began: {what}",
            failed.len()
        )
    });
    let faults: Vec<_> = fault.into_iter().collect();
    world.close(&faults).await;
}

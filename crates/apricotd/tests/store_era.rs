//! A store that comes back from an older copy, while servers and keys come and go.
//!
//! Entries are real processes, the store and the servers are stand-ins.
//! `cargo test -p apricotd --test store_era`

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

use apricothall_clients::http_client::HttpClient;
use standin::{KEY, StoreBehavior, caller_request};
use tokio::time::sleep;
use world::World;

/// Zones of the entries; the last of zone `a` follows the others.
const ZONES: [&str; 5] = ["a", "a", "a", "a", "b"];

/// Number of servers, and of callers at each entry.
const SERVERS: usize = 5;
const CALLERS: usize = 4;

/// Servers by what happens to them: one leaves in the seconds that the store loses, one after it has
/// come back, and one starts in the lost seconds.
const LEFT_BEFORE: usize = 0;
const LEAVES_AFTER: usize = 1;
const STARTED_BEFORE: usize = 4;

/// Keys that are revoked in the lost seconds, and after the store has come back.
const REVOKED_BEFORE: &str = "revoked-before";
const REVOKED_AFTER: &str = "revoked-after";

/// Number of changes that nobody uses in the lost seconds, so that the revisions of the new era stay
/// below those given out before.
const IDLE_CHANGES: u32 = 60;

/// Time for which the store is away, and time after it until operators and servers write again.
const AWAY: Duration = Duration::from_secs(1);
const BEFORE_REWRITE: Duration = Duration::from_millis(500);

/// Time after which the store drops the entry of a server that is silent.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// Time within which entries must stop sending to a server that has left.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time within which entries must refuse a key that was taken away.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);

/// Time within which an entry denies a key for good. Until then it may refuse the request with a time
/// to come back, while others have not confirmed its configuration lately.
const DENY_LIMIT: Duration = Duration::from_secs(2);

/// Interval at which such a request comes back.
const DENY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which requests are sent after the last bound.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Disruption of one entry while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    Killed(usize),
    Frozen(usize),
    /// The store answers the entry no more.
    Cut(usize),
}

impl Trouble {
    /// Entry of which nothing is asked, as its process had no time to learn what the others know.
    fn excused(self) -> Option<usize> {
        match self {
            Self::Killed(entry) => Some(entry),
            Self::None | Self::Frozen(_) | Self::Cut(_) => None,
        }
    }
}

macro_rules! drills {
    ($($(#[doc = $guards:literal])* $case:ident: $trouble:expr;)*) => {
        $($(#[doc = $guards])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            Drill::run(stringify!($case), $trouble).await;
        })*
    };
}

drills! {
    /// Guards against review/3: lists and versions with lower revisions were ignored for ever.
    all_entries_read_on: Trouble::None;
    /// Guards against a process that starts in the gap and tells others what the copy holds.
    a_reader_is_restarted: Trouble::Killed(0);
    /// Guards against a watch of the last era that is read on.
    a_reader_is_frozen: Trouble::Frozen(0);
    /// Guards against an entry that hears of the new era from peers alone, and ignores it.
    a_reader_hears_only_peers: Trouble::Cut(1);
    /// Guards against a zone whose only reader knows just the last era.
    a_zone_hears_only_another: Trouble::Cut(4);
}

struct Drill {
    world: World,
    trouble: Trouble,
    violations: Vec<String>,
}

impl Drill {
    async fn run(case: &str, trouble: Trouble) {
        let mut world = World::start(case, &ZONES, SERVERS).await;
        configure(&world, 2, &[KEY, REVOKED_BEFORE, REVOKED_AFTER]);
        world.store.remove_server(&format!("i-{STARTED_BEFORE}"));
        sleep(DRAIN_LIMIT).await;
        for entry in 0..ZONES.len() {
            world.start_callers(entry, CALLERS);
        }
        let drill = Self {
            world,
            trouble,
            violations: Vec::new(),
        };
        drill.play().await;
    }

    async fn play(mut self) {
        let copy = self.world.store.revision();
        let left = self.change_before().await;
        self.come_back(copy).await;
        self.write_again().await;
        sleep(EXPIRY).await;
        self.world.deregister(LEFT_BEFORE);
        let (leaves, revoked) = self.change_after();
        self.check_key(REVOKED_BEFORE).await;
        sleep(REVOKE_LIMIT.saturating_sub(revoked.elapsed())).await;
        self.check_key(REVOKED_AFTER).await;
        sleep(OBSERVATION_TIME).await;
        self.check_departure(LEFT_BEFORE, left);
        self.check_departure(LEAVES_AFTER, leaves);
        self.check_use(STARTED_BEFORE, leaves);
        self.check_callers();
        self.world.finish(&self.violations).await;
    }

    /// Changes that the store will lose. Returns when a server has left.
    async fn change_before(&self) -> Instant {
        let store = &self.world.store;
        store.put_server("i-started", self.address(STARTED_BEFORE), "ready");
        for number in 0..IDLE_CHANGES {
            store.put("op/idle", &number.to_string());
            store.remove_server("i-idle");
        }
        store.put_server(
            &format!("i-{LEFT_BEFORE}"),
            self.address(LEFT_BEFORE),
            "draining",
        );
        let left = Instant::now();
        configure(&self.world, 3, &[KEY, REVOKED_AFTER]);
        sleep(Duration::from_secs(1)).await;
        self.world.deregister(LEFT_BEFORE);
        sleep(DRAIN_LIMIT).await;
        left
    }

    /// The store is away and comes back from the copy.
    async fn come_back(&mut self, copy: u64) {
        let (store, entries) = (&self.world.store, &mut self.world.entries);
        store.set_behavior(StoreBehavior::Refuses);
        match self.trouble {
            Trouble::None | Trouble::Killed(_) => {}
            Trouble::Frozen(entry) => {
                entries.freeze(entry);
            }
            Trouble::Cut(entry) => {
                store.set_behavior_for(entries.ip(entry), StoreBehavior::Refuses);
            }
        }
        sleep(AWAY).await;
        store.rewind(copy);
        store.set_behavior(StoreBehavior::Answers);
        if let Trouble::Killed(entry) = self.trouble {
            entries.kill(entry).await;
        }
        sleep(BEFORE_REWRITE).await;
        entries.thaw_all();
    }

    /// Servers and the operator write again what the store has lost.
    async fn write_again(&self) {
        let address = self.address(STARTED_BEFORE);
        self.world.store.put_server("i-started", address, "ready");
        sleep(BEFORE_REWRITE).await;
        configure(&self.world, 3, &[KEY, REVOKED_AFTER]);
    }

    /// Changes after the drill. Returns when a server leaves, and when a key is revoked.
    fn change_after(&self) -> (Instant, Instant) {
        let address = self.address(LEAVES_AFTER);
        let id = format!("i-{LEAVES_AFTER}");
        self.world.store.put_server(&id, address, "draining");
        let leaves = Instant::now();
        configure(&self.world, 4, &[KEY]);
        (leaves, Instant::now())
    }

    fn address(&self, server: usize) -> std::net::SocketAddr {
        self.world.servers[server].1
    }

    /// No entry serves a key that was revoked longer ago than its limit, and each denies it for good
    /// as soon as its configuration is recent enough for that.
    async fn check_key(&mut self, key: &str) {
        let client = HttpClient::without_pool(None, Duration::from_secs(1));
        let addresses = self.world.entries.caller_addresses();
        let until = Instant::now() + DENY_LIMIT;
        for (entry, at) in addresses.into_iter().enumerate() {
            let status = loop {
                let request = caller_request(at, &format!("{entry}-key-{key}"), "/read/key", key);
                let answer = client.call(request, Duration::from_secs(4), 1 << 20).await;
                let status = answer.map(|a| a.status.as_u16());
                let is_deferred = matches!(status, Ok(503));
                if !is_deferred || Instant::now() >= until {
                    break status;
                }
                sleep(DENY_INTERVAL).await;
            };
            if !matches!(status, Ok(401 | 403)) {
                let text = format!("entry {entry} answers {status:?} to the key {key}");
                self.violations.push(text);
            }
        }
    }

    /// A server that left at `left` gets no late request of an entry that ran all the while.
    fn check_departure(&mut self, server: usize, left: Instant) {
        let (seen, _) = &self.world.servers[server];
        let excused = self.trouble.excused().map(|entry| format!("{entry}-"));
        let requests = seen.requests().into_iter().zip(seen.times());
        let late = requests.filter(|(request, at)| {
            let excused = excused.as_ref();
            *at > left + DRAIN_LIMIT && !excused.is_some_and(|e| request.attempt().starts_with(e))
        });
        let late: Vec<_> = late.map(|(_, at)| at - left).collect();
        if let Some(last) = late.last() {
            let count = late.len();
            let text = format!("{count} requests reached server {server}, the last after {last:?}");
            self.violations.push(text);
        }
    }

    /// A server gets requests after `from`.
    fn check_use(&mut self, server: usize, from: Instant) {
        let (seen, _) = &self.world.servers[server];
        if !seen.times().into_iter().any(|at| at > from) {
            self.violations.push(format!("server {server} is not used"));
        }
    }

    /// All requests were served, but those at an entry that was killed or frozen.
    fn check_callers(&mut self) {
        let excused = match self.trouble {
            Trouble::Killed(entry) | Trouble::Frozen(entry) => format!("entry {entry}:"),
            Trouble::None | Trouble::Cut(_) => "none".to_owned(),
        };
        let failed = self.world.requests.failed.lock().expect("no panic").clone();
        let counted = failed
            .iter()
            .filter(|(_, what)| !what.starts_with(&excused));
        let counted: Vec<_> = counted.collect();
        if let Some((_, first)) = counted.first() {
            let text = format!("{} requests failed, first {first}", counted.len());
            self.violations.push(text);
        }
    }
}

fn configure(world: &World, version: u32, keys: &[&str]) {
    let quoted: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    world.store.configure(&quoted.join(","), version);
}

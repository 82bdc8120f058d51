//! Entries under continuous load, with their store and servers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::HttpClient;
use http::StatusCode;
use tokio::task::JoinHandle;

use crate::entries::Entries;
use crate::standin::{
    Action, KEY, Script, ServerLog, Store, answer, caller_request, listen, serve,
};

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Fault-free time at the start, within which entries have elected their readers of the store.
const WARM_UP: Duration = Duration::from_secs(3);

/// Service time of a server.
const SERVICE_TIME: Duration = Duration::from_millis(60);

const SERVER_SCRIPT: Script =
    |request, _| Action::SendDelayed(vec![(SERVICE_TIME, answer(request, "200 OK", "fine"))]);

/// Results of the callers' requests.
#[derive(Default)]
pub struct Requests {
    served: AtomicU32,
    /// Time and result of each request that was not served.
    pub failed: Mutex<Vec<(Instant, String)>>,
}

impl Requests {
    /// Number of requests that were served.
    pub fn served(&self) -> u32 {
        self.served.load(Ordering::Relaxed)
    }
}

/// Processes, stand-ins and callers of one run.
pub struct World {
    /// The store, to which operators and servers publish.
    pub store: Store,
    pub entries: Entries,
    /// What each server has received, and its address.
    pub servers: Vec<(ServerLog, SocketAddr)>,
    pub requests: Arc<Requests>,
    callers: Vec<JoinHandle<()>>,
}

impl World {
    /// Starts `servers` and an entry in each of `zones`.
    pub async fn start(case: &str, zones: &[&'static str], servers: usize) -> Self {
        let store = Store::default();
        store.configure(&format!("\"{KEY}\""), 1);
        let (listener, address) = listen().await;
        tokio::spawn(store.clone().serve(listener));
        let count = servers;
        let mut servers = Vec::new();
        for _ in 0..count {
            let (listener, address) = listen().await;
            let seen = ServerLog::default();
            tokio::spawn(serve(listener, SERVER_SCRIPT, seen.clone()));
            servers.push((seen, address));
        }
        let log_dir = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
        let entries = Entries::start_in(zones, address, log_dir);
        let world = Self {
            store,
            entries,
            servers,
            requests: Arc::default(),
            callers: Vec::new(),
        };
        for index in 0..count {
            world.register(index);
        }
        world.entries.wait_ready().await;
        tokio::time::sleep(WARM_UP).await;
        world
    }

    /// Registers a server in the store.
    pub fn register(&self, index: usize) {
        let (_, address) = self.servers[index];
        self.store
            .put_server(&format!("i-{index}"), address, "ready");
    }

    /// Deregisters a server from the store.
    pub fn deregister(&self, index: usize) {
        self.store.remove_server(&format!("i-{index}"));
    }

    /// Writes another writer's entry for each server: of a `service` that no configuration names, with
    /// the server's address and a later start.
    pub fn write_foreign_entries(&self, service: &str) {
        for (index, (_, address)) in self.servers.iter().enumerate() {
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"a","slots":8,"state":"ready","born":9}}"#
            );
            self.store.put(&format!("servers/x-{index}"), &entry);
        }
    }

    /// Starts `callers` that send requests to the entry `index` in a loop. Attempt ids begin with
    /// the index of the entry.
    pub fn start_callers(&mut self, index: usize, callers: usize) {
        for caller in 0..callers {
            self.start_caller(index, caller);
        }
    }

    fn start_caller(&mut self, index: usize, caller: usize) {
        let at = self.entries.caller_addresses()[index];
        let requests = self.requests.clone();
        let client = HttpClient::without_pool(None, Duration::from_secs(1));
        self.callers.push(tokio::spawn(async move {
            for number in 0.. {
                let path = format!("/read/{caller}-{number}");
                let request = caller_request(at, &format!("{index}-{caller}-{number}"), &path, KEY);
                let answer = client.call(request, CALLER_TIMEOUT, MAX_ANSWER_BYTES).await;
                match answer {
                    Ok(answer) if answer.status == StatusCode::OK => {
                        requests.served.fetch_add(1, Ordering::Relaxed);
                    }
                    other => {
                        let what = format!("entry {index}: {:?}", other.map(|a| a.status));
                        let mut failed = requests.failed.lock().expect("no panic");
                        failed.push((Instant::now(), what));
                    }
                }
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }));
    }

    /// Stops everything and fails if `violations` is not empty; keeps the logs in that case.
    pub async fn finish(mut self, violations: &[String]) {
        let served = self.requests.served();
        let log_dir = (!violations.is_empty()).then(|| self.entries.keep_logs());
        self.stop().await;
        assert!(violations.is_empty(), "{violations:?}; logs in {log_dir:?}");
        assert!(served > 100, "only {served} requests were served");
    }

    /// Stops callers and entries.
    pub async fn stop(self) {
        for caller in &self.callers {
            caller.abort();
        }
        self.entries.close().await;
    }
}

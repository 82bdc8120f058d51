//! Entries that are asked all the time, their store and their servers.

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

/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(20);

/// Longest wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(4);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Time for which all is well before anything happens. Entries have found their turns by then.
const BEFORE: Duration = Duration::from_secs(3);

/// Time that a server takes.
const WORK: Duration = Duration::from_millis(60);

const WORKS: Script =
    |request, _| Action::SendDelayed(vec![(WORK, answer(request, "200 OK", "fine"))]);

/// Requests of callers.
#[derive(Default)]
pub struct Asked {
    served: AtomicU32,
    /// Those that were not served, with their ends.
    pub failed: Mutex<Vec<(Instant, String)>>,
}

/// All of one play.
pub struct World {
    /// What operators and servers publish.
    pub store: Store,
    /// The entries.
    pub entries: Entries,
    /// What each server has seen, and where it listens.
    pub servers: Vec<(ServerLog, SocketAddr)>,
    /// Requests of callers.
    pub asked: Arc<Asked>,
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
        for index in 0..count {
            world.list(index);
        }
        world.entries.ready().await;
        tokio::time::sleep(BEFORE).await;
        world
    }

    /// Writes the entry of a server.
    pub fn list(&self, index: usize) {
        let (_, address) = self.servers[index];
        self.store
            .put_server(&format!("i-{index}"), address, "ready");
    }

    /// Removes the entry of a server.
    pub fn unlist(&self, index: usize) {
        self.store.remove_server(&format!("i-{index}"));
    }

    /// Lets `callers` ask the entry `index` again and again. Their attempts begin with its number.
    pub fn ask(&mut self, index: usize, callers: usize) {
        for caller in 0..callers {
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
                let request = caller_request(at, &format!("{index}-{caller}-{number}"), &path, KEY);
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
    pub async fn close(mut self, faults: &[String]) {
        let served = self.asked.served.load(Ordering::Relaxed);
        let kept = (!faults.is_empty()).then(|| self.entries.keep_logs());
        self.end().await;
        assert!(faults.is_empty(), "{faults:?}; logs in {kept:?}");
        assert!(served > 100, "served {served}");
    }

    /// Ends all.
    pub async fn end(self) {
        for caller in &self.callers {
            caller.abort();
        }
        self.entries.close().await;
    }
}

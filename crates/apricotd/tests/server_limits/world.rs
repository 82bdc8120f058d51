//! Entries under continuous load before servers with and without limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use apricothall_clients::http_client::HttpClient;
use http::StatusCode;
use tokio::task::JoinHandle;

use crate::entries::Entries;
use crate::standin::{KEY, LimitedServer, Store, caller_request, listen};

/// Number of concurrent callers at each entry.
const CALLERS: usize = 3;

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Fault-free time at the start, within which entries discover each other.
const WARM_UP: Duration = Duration::from_secs(6);

/// Processes, stand-ins and callers of one run.
pub struct World {
    /// The entries.
    pub entries: Entries,
    /// Servers that name limits.
    pub limited: Vec<LimitedServer>,
    served: Arc<AtomicU32>,
    callers: Vec<JoinHandle<()>>,
}

impl World {
    /// Starts an entry in each of `zones`, and servers of which the first `limited` may name a
    /// limit and `others` never do.
    pub async fn start(case: &str, zones: &[&'static str], limited: usize, others: usize) -> Self {
        let store = Store::default();
        store.configure(&format!("\"{KEY}\""), 1);
        let (listener, address) = listen().await;
        tokio::spawn(store.clone().serve(listener));
        let mut servers = Vec::new();
        for index in 0..limited + others {
            servers.push(LimitedServer::start(&format!("i-{index}"), &store).await);
        }
        servers.truncate(limited);
        let log_dir = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
        let entries = Entries::start_in(zones, address, log_dir);
        entries.wait_ready().await;
        tokio::time::sleep(WARM_UP).await;
        Self {
            entries,
            limited: servers,
            served: Arc::default(),
            callers: Vec::new(),
        }
    }

    /// Lets each limited server name its limit in all answers.
    pub fn name_limits(&self, limits: &[&str]) {
        for (server, limit) in self.limited.iter().zip(limits) {
            server.name_limit(limit);
        }
    }

    /// Starts callers that send requests to each entry in a loop.
    pub fn start_callers(&mut self) {
        for entry in 0..self.entries.caller_addresses().len() {
            for caller in 0..CALLERS {
                self.start_caller(entry, caller);
            }
        }
    }

    fn start_caller(&mut self, entry: usize, caller: usize) {
        let at = self.entries.caller_addresses()[entry];
        let served = self.served.clone();
        let client = HttpClient::without_pool(None, Duration::from_secs(1));
        self.callers.push(tokio::spawn(async move {
            for number in 0.. {
                let path = format!("/read/{caller}-{number}");
                let request = caller_request(at, &format!("{entry}-{caller}-{number}"), &path, KEY);
                let answer = client.call(request, CALLER_TIMEOUT, MAX_ANSWER_BYTES).await;
                let is_served = answer.is_ok_and(|a| a.status == StatusCode::OK);
                served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }));
    }

    /// Stops everything and fails if a server got more than its limit; keeps the logs in that case.
    pub async fn finish(mut self) {
        for caller in &self.callers {
            caller.abort();
        }
        let violations: Vec<_> = self
            .limited
            .iter()
            .flat_map(LimitedServer::violations)
            .collect();
        let served = self.served.load(Ordering::Relaxed);
        let log_dir = (!violations.is_empty()).then(|| self.entries.keep_logs());
        self.entries.close().await;
        let first = violations.first();
        assert!(
            first.is_none(),
            "{} windows, the first {first:?}; logs in {log_dir:?}",
            violations.len()
        );
        assert!(served > 100, "only {served} requests were served");
    }
}

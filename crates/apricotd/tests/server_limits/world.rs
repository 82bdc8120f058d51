//! Entries under continuous load before servers with and without limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::HttpClient;
use http::StatusCode;
use tokio::task::JoinHandle;

use crate::entries::Entries;
use crate::standin::{
    Action, KEY, LimitMonitor, Script, ServerLog, Store, answer, caller_request, listen, serve,
};

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

/// Part of a limit that must be used while there is demand.
const MIN_USE: f64 = 0.7;

/// Minimum number of served requests of a run.
const MIN_SERVED: u32 = 100;

/// Service time of a server.
const SERVICE_TIME: Duration = Duration::from_millis(40);

const SERVER_SCRIPT: Script =
    |request, _| Action::SendDelayed(vec![(SERVICE_TIME, answer(request, "200 OK", "fine"))]);

/// Processes, stand-ins and callers of one run.
pub struct World {
    /// The entries.
    pub entries: Entries,
    /// Limits of the servers that name one.
    pub limited: Vec<LimitMonitor>,
    frozen: Vec<usize>,
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
            let (listener, address) = listen().await;
            let seen = ServerLog::default();
            servers.push(seen.limit.clone());
            tokio::spawn(serve(listener, SERVER_SCRIPT, seen));
            store.put_server(&format!("i-{index}"), address, "ready");
        }
        servers.truncate(limited);
        let log_dir = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
        let entries = Entries::start_in(zones, address, log_dir);
        entries.wait_ready().await;
        tokio::time::sleep(WARM_UP).await;
        Self {
            entries,
            limited: servers,
            frozen: Vec::new(),
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

    /// Servers that got much less than their limit since `from`. A limit below one request a second
    /// allows too few to tell.
    pub fn unused_limits(&self, limits: &[&str], from: Instant) -> Vec<String> {
        let seconds = from.elapsed().as_secs_f64();
        let mut unused = Vec::new();
        for (server, text) in self.limited.iter().zip(limits) {
            let limit: f64 = text.parse().expect("a rate");
            let arrived = u32::try_from(server.arrived_since(from)).expect("few");
            println!("{arrived} requests in {seconds} s with a limit of {text}");
            if limit >= 1.0 && f64::from(arrived) < MIN_USE * limit * seconds {
                unused.push(format!(
                    "{arrived} requests in {seconds} s with a limit of {limit}, by entry {:?}",
                    server.arrivals_by_entry(from)
                ));
            }
        }
        unused
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

    /// Kills an entry and restarts it.
    pub async fn kill(&mut self, entry: usize) -> String {
        let step = self.entries.kill(entry).await;
        self.excuse(entry, true);
        step
    }

    /// Stops an entry as an operator does, and restarts it.
    pub async fn terminate(&mut self, entry: usize) -> String {
        let step = self.entries.terminate(entry).await;
        self.excuse(entry, true);
        step
    }

    /// Suspends the process of an entry.
    pub fn freeze(&mut self, entry: usize) -> String {
        self.frozen.push(entry);
        self.entries.freeze(entry)
    }

    /// Resumes all suspended entries.
    pub fn thaw(&mut self) -> String {
        for entry in std::mem::take(&mut self.frozen) {
            self.excuse(entry, false);
        }
        self.entries.thaw_all()
    }

    fn excuse(&self, entry: usize, restarted: bool) {
        let ip = self.entries.ip(entry).to_string();
        for limit in &self.limited {
            limit.excuse(&ip, restarted);
        }
    }

    /// Stops everything and returns `unused` limits and the windows in which a server got too many
    /// requests; keeps the logs if there are any.
    pub async fn close(mut self, unused: Vec<String>) -> Vec<String> {
        for caller in &self.callers {
            caller.abort();
        }
        let mut violations = unused;
        for (index, limit) in self.limited.iter().enumerate() {
            let found = limit.violations();
            let first = found
                .first()
                .map(|f| format!("i-{index}: {} windows, the first: {f}", found.len()));
            violations.extend(first);
        }
        let served = self.served.load(Ordering::Relaxed);
        if served < MIN_SERVED {
            violations.push(format!("only {served} requests were served"));
        }
        if !violations.is_empty() {
            violations.push(format!("logs in {}", self.entries.keep_logs().display()));
        }
        self.entries.close().await;
        violations
    }
}

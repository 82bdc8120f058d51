//! Processes and stand-ins of a run, and the faults applied to them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use apricothall_standin::network::{Fault, Host, LinkShaping, Network, Port, Rule, Side};
use apricothall_standin::proxy::{Proxy, Target};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use crate::check::Checks;
use crate::entries::Entries;
use crate::standin::{
    Action, KEY, Request, ServerLog, Store, answer, events, listen, refusal, serve,
};

/// Number of entries.
pub const ENTRIES: usize = 4;

/// Number of backend servers.
pub const SERVERS: usize = 4;

/// Fault-free time before the end of a run.
const FAULT_FREE_TIME: Duration = Duration::from_secs(4);

/// Upper bound on the length of a run.
const MAX_RUN_TIME: Duration = Duration::from_mins(10);

/// Number of events of a complete stream.
pub const EVENTS: u32 = 8;

fn hash_id(id: &str) -> u32 {
    id.bytes().fold(7, |sum, b| (sum * 31 + u32::from(b)) % 997)
}

/// Whether servers refuse the request with this id without running it.
pub fn is_refused(id: &str) -> bool {
    hash_id(id) % 23 == 3
}

/// Server script: depending on the id, an answer is complete, refused, an error or truncated.
fn server_script(request: &Request, _: usize) -> Action {
    let id = request.attempt();
    let hash = hash_id(id);
    if request.line.starts_with("GET /draft/") {
        return answer_draft(request, hash);
    }
    let whole = answer(request, "200 OK", &format!("done {id}"));
    match hash % 23 {
        0 => Action::SendThenClose(whole.replace("done", "do")),
        1 => Action::SendThenClose(String::new()),
        2 => Action::Send(answer(request, "500 Oops", "sorry")),
        3 => Action::Send(refusal(request)),
        _ => Action::Send(whole),
    }
}

fn answer_draft(request: &Request, hash: u32) -> Action {
    match request.last_event() {
        None if hash.is_multiple_of(5) => {
            Action::SendThenClose(events(request, 1, 3, false) + "20\r\nid: 4\ndata: hal")
        }
        last => Action::Send(events(request, last.unwrap_or(0) + 1, EVENTS, true)),
    }
}

/// All processes and stand-ins of one run.
pub struct World {
    entries: Entries,
    store: Store,
    network: Network,
    proxies: Vec<Proxy>,
    tasks: Vec<JoinHandle<()>>,
    instances: Vec<u32>,
    version: u32,
    /// What each server has received.
    pub seen: Vec<ServerLog>,
}

fn host(id: &str) -> Host {
    Host {
        id: id.into(),
        region: "r".parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        client: false,
    }
}

impl World {
    /// Starts everything and waits until the entries are ready.
    pub async fn start(seed: u64) -> Self {
        let network = Network::new(LinkShaping::default(), seed);
        let store = Store::default();
        let (listener, upstream) = listen().await;
        let mut tasks = vec![tokio::spawn(store.clone().serve(listener))];
        let mut proxies = vec![proxy(&network, "store", upstream).await];
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let (listener, upstream) = listen().await;
            let received = ServerLog::default();
            servers.push(received.clone());
            tasks.push(tokio::spawn(serve(listener, server_script, received)));
            proxies.push(proxy(&network, &format!("server-{index}"), upstream).await);
        }
        let log_dir = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let entries = Entries::start(ENTRIES, proxies[0].address(), log_dir);
        let mut world = Self {
            entries,
            store,
            network,
            proxies,
            tasks,
            instances: vec![0; SERVERS],
            version: 0,
            seen: servers,
        };
        world.configure(&format!("\"{KEY}\",\"spare\""));
        for server in 0..SERVERS {
            world.register(server, "ready");
        }
        world.entries.wait_ready().await;
        world
    }

    /// Addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.caller_addresses()
    }

    fn configure(&mut self, keys: &str) {
        self.version += 1;
        self.store.configure(keys, self.version);
    }

    /// Registers the current instance of a server.
    fn register(&self, server: usize, state: &str) {
        let instance = self.instances[server];
        let address = self.proxies[server + 1].address();
        self.store
            .put_server(&format!("i-{server}-{instance}"), address, state);
    }

    /// Kills an entry and restarts it.
    pub async fn kill_entry(&mut self, index: usize) -> String {
        let step = self.entries.kill(index).await;
        self.excuse(index, true);
        step
    }

    /// Stops an entry as an operator does, and restarts it.
    pub async fn terminate_entry(&mut self, index: usize) -> String {
        let step = self.entries.terminate(index).await;
        self.excuse(index, true);
        step
    }

    /// Suspends the process of an entry.
    pub fn freeze_entry(&mut self, index: usize, checks: &Checks) -> String {
        checks.exempt(self.entries.ip(index));
        self.entries.freeze(index)
    }

    /// Resumes all suspended entries.
    pub fn thaw_entries(&mut self) -> String {
        for entry in 0..ENTRIES {
            if self.entries.is_frozen(entry) {
                self.excuse(entry, false);
            }
        }
        self.entries.thaw_all()
    }

    /// Injects a random fault on the link to a server.
    pub fn inject_server_fault(&self, server: usize, rng: &mut ChaCha8Rng) -> String {
        let (fault, step) = self.inject_fault(&format!("server-{server}"), rng);
        if !matches!(fault, Fault::Delay { .. }) {
            self.seen[server].limit.excuse_all(MAX_RUN_TIME);
        }
        step
    }

    /// Injects a random fault on the link to the store.
    pub fn inject_store_fault(&self, rng: &mut ChaCha8Rng) -> String {
        self.inject_fault("store", rng).1
    }

    fn inject_fault(&self, id: &str, rng: &mut ChaCha8Rng) -> (Fault, String) {
        let delay = Fault::Delay {
            base: Duration::from_millis(rng.random_range(5..200)),
            jitter: Duration::from_millis(100),
        };
        let faults = [delay, Fault::Stall, Fault::Cut, Fault::Reset, Fault::Refuse];
        let fault = faults.choose(rng).expect("some").clone();
        let (there, back) = (Side::Any, Side::vm(id));
        let text = format!("{id}: {fault:?}");
        // A random direction, so that half of the faults affect answers only.
        let (from, to) = if rng.random_bool(0.5) {
            (there, back)
        } else {
            (back, there)
        };
        let rule = Rule::new(from, to, fault.clone());
        self.network.inject(rule);
        (fault, text)
    }

    /// Lets a server name a limit in its answers.
    pub fn name_limit(&self, server: usize, rng: &mut ChaCha8Rng) -> String {
        let limit = f64::from(rng.random_range(200..4_000)) / 1_000.0;
        self.seen[server].limit.name_limit(&limit.to_string());
        format!("server {server} names a limit of {limit}")
    }

    /// Lets a server name no limit any longer.
    pub fn lift_limit(&self, server: usize) -> String {
        self.seen[server].limit.lift_limit();
        format!("server {server} names no limit")
    }

    /// Excuses an entry that was restarted or frozen from the limits of servers.
    fn excuse(&self, entry: usize, restarted: bool) {
        let ip = self.entries.ip(entry).to_string();
        for seen in &self.seen {
            seen.limit.excuse(&ip, restarted);
        }
    }

    /// Removes all network faults.
    pub fn heal_network(&self) -> String {
        self.network.heal();
        for seen in &self.seen {
            seen.limit.excuse_all(Duration::ZERO);
        }
        "network healed".into()
    }

    /// Marks a server as draining.
    pub fn drain_server(&self, server: usize) -> String {
        self.register(server, "draining");
        format!("server {server} draining")
    }

    /// Replaces a server by a new instance at the same address.
    pub fn replace_server(&mut self, server: usize) -> String {
        self.register(server, "gone");
        self.seen[server].limit.restart();
        self.instances[server] += 1;
        self.register(server, "ready");
        format!("server {server} replaced by a new instance")
    }

    /// Revokes the key that callers use.
    pub fn revoke_key(&mut self, checks: &Checks) -> String {
        if !checks.switch_key() {
            return "the key is already revoked".into();
        }
        self.configure("\"spare\"");
        "key revoked".into()
    }

    /// Ends all faults and waits until the entries are ready.
    pub async fn recover(&mut self) {
        self.thaw_entries();
        self.heal_network();
        for server in 0..SERVERS {
            self.lift_limit(server);
            self.register(server, "ready");
        }
        tokio::time::sleep(FAULT_FREE_TIME).await;
        self.entries.wait_ready().await;
    }

    /// Keeps the logs and returns their path.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.entries.keep_logs()
    }

    /// Stops the processes that this run started.
    pub async fn close(self) {
        self.entries.close().await;
        for proxy in self.proxies {
            proxy.close().await;
        }
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn proxy(network: &Network, id: &str, upstream: SocketAddr) -> Proxy {
    let target = Target {
        listen: SocketAddr::new(upstream.ip(), 0),
        upstream,
        host: host(id),
        port: Port::Platform,
    };
    Proxy::start(network, target).await.expect("a proxy")
}

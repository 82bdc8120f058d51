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
use crate::standin::{Act, KEY, Request, Seen, Store, answer, events, listen, refusal, serve};

/// Number of entries.
pub const ENTRIES: usize = 4;

/// Number of backend servers.
pub const SERVERS: usize = 4;

/// Fault-free time before the end of a run.
const SETTLE: Duration = Duration::from_secs(4);

/// Number of events of a complete stream.
pub const EVENTS: u32 = 8;

fn luck(id: &str) -> u32 {
    id.bytes().fold(7, |sum, b| (sum * 31 + u32::from(b)) % 997)
}

/// Whether servers refuse the request with this id without running it.
pub fn refuses(id: &str) -> bool {
    luck(id) % 23 == 3
}

/// Server script: depending on the id, an answer is complete, refused, an error or truncated.
fn script(request: &Request, _: usize) -> Act {
    let id = request.attempt();
    let luck = luck(id);
    if request.line.starts_with("GET /draft/") {
        return draft(request, luck);
    }
    let whole = answer(request, "200 OK", &format!("done {id}"));
    match luck % 23 {
        0 => Act::Cut(whole.replace("done", "do")),
        1 => Act::Cut(String::new()),
        2 => Act::Send(answer(request, "500 Oops", "sorry")),
        3 => Act::Send(refusal(request)),
        _ => Act::Send(whole),
    }
}

fn draft(request: &Request, luck: u32) -> Act {
    match request.last_event() {
        None if luck.is_multiple_of(5) => {
            Act::Cut(events(request, 1, 3, false) + "20\r\nid: 4\ndata: hal")
        }
        last => Act::Send(events(request, last.unwrap_or(0) + 1, EVENTS, true)),
    }
}

/// All processes and stand-ins of one run.
pub struct World {
    entries: Entries,
    store: Store,
    network: Network,
    proxies: Vec<Proxy>,
    tasks: Vec<JoinHandle<()>>,
    lives: Vec<u32>,
    version: u32,
    /// What each server has received.
    pub seen: Vec<Seen>,
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
        let (listener, behind) = listen().await;
        let mut tasks = vec![tokio::spawn(store.clone().serve(listener))];
        let mut proxies = vec![proxy(&network, "store", behind).await];
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let (listener, behind) = listen().await;
            let watched = Seen::default();
            servers.push(watched.clone());
            tasks.push(tokio::spawn(serve(listener, script, watched)));
            proxies.push(proxy(&network, &format!("server-{index}"), behind).await);
        }
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let entries = Entries::start(ENTRIES, proxies[0].address(), folder);
        let mut world = Self {
            entries,
            store,
            network,
            proxies,
            tasks,
            lives: vec![0; SERVERS],
            version: 0,
            seen: servers,
        };
        world.configure(&format!("\"{KEY}\",\"spare\""));
        for server in 0..SERVERS {
            world.list(server, "ready");
        }
        world.entries.ready().await;
        world
    }

    /// Addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.callers()
    }

    fn configure(&mut self, keys: &str) {
        self.version += 1;
        self.store.configure(keys, self.version);
    }

    /// Registers the current instance of a server.
    fn list(&self, server: usize, state: &str) {
        let life = self.lives[server];
        let address = self.proxies[server + 1].address();
        self.store
            .put_server(&format!("i-{server}-{life}"), address, state);
    }

    /// Kills an entry and restarts it.
    pub async fn kill(&mut self, index: usize) -> String {
        self.entries.kill(index).await
    }

    /// Stops an entry as an operator does, and restarts it.
    pub async fn terminate(&mut self, index: usize) -> String {
        self.entries.terminate(index).await
    }

    /// Suspends the process of an entry.
    pub fn freeze(&mut self, index: usize, checks: &Checks) -> String {
        checks.excuse(self.entries.ip(index));
        self.entries.freeze(index)
    }

    /// Resumes all suspended entries.
    pub fn thaw_all(&mut self) -> String {
        self.entries.thaw_all()
    }

    /// Injects a random fault on the link to a server.
    pub fn harm_server(&self, server: usize, rng: &mut ChaCha8Rng) -> String {
        self.harm(&format!("server-{server}"), rng)
    }

    /// Injects a random fault on the link to the store.
    pub fn harm_store(&self, rng: &mut ChaCha8Rng) -> String {
        self.harm("store", rng)
    }

    fn harm(&self, id: &str, rng: &mut ChaCha8Rng) -> String {
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
        let rule = Rule::new(from, to, fault);
        self.network.inject(rule);
        text
    }

    /// Removes all network faults.
    pub fn heal(&self) -> String {
        self.network.heal();
        "network healed".into()
    }

    /// Marks a server as draining.
    pub fn drain(&self, server: usize) -> String {
        self.list(server, "draining");
        format!("server {server} draining")
    }

    /// Replaces a server by a new instance at the same address.
    pub fn replace(&mut self, server: usize) -> String {
        self.list(server, "gone");
        self.lives[server] += 1;
        self.list(server, "ready");
        format!("server {server} replaced by a new instance")
    }

    /// Revokes the key that callers use.
    pub fn revoke(&mut self, checks: &Checks) -> String {
        if !checks.use_spare() {
            return "the key is already revoked".into();
        }
        self.configure("\"spare\"");
        "key revoked".into()
    }

    /// Ends all faults and waits until the entries are ready.
    pub async fn settle(&mut self) {
        self.thaw_all();
        self.network.heal();
        for server in 0..SERVERS {
            self.list(server, "ready");
        }
        tokio::time::sleep(SETTLE).await;
        self.entries.ready().await;
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

async fn proxy(network: &Network, id: &str, behind: SocketAddr) -> Proxy {
    let target = Target {
        listen: SocketAddr::new(behind.ip(), 0),
        upstream: behind,
        host: host(id),
        port: Port::Platform,
    };
    Proxy::start(network, target).await.expect("a proxy")
}

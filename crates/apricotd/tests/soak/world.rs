//! The processes, the stand-ins between them, and what is done to them.

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

/// Entries.
pub const ENTRIES: usize = 4;

/// Backend servers.
pub const SERVERS: usize = 4;

/// Time for which faults are gone before the end of a play.
const SETTLE: Duration = Duration::from_secs(4);

/// Events of a whole stream.
pub const EVENTS: u32 = 8;

fn luck(id: &str) -> u32 {
    id.bytes().fold(7, |sum, b| (sum * 31 + u32::from(b)) % 997)
}

/// Whether servers refuse the request with this id without having run it.
pub fn refuses(id: &str) -> bool {
    luck(id) % 23 == 3
}

/// A server: most answers are whole, some are refused, fail or break off, by the request's id.
fn script(request: &Request, _: usize) -> Action {
    let id = request.attempt();
    let luck = luck(id);
    if request.line.starts_with("GET /draft/") {
        return draft(request, luck);
    }
    let whole = answer(request, "200 OK", &format!("done {id}"));
    match luck % 23 {
        0 => Action::SendThenClose(whole.replace("done", "do")),
        1 => Action::SendThenClose(String::new()),
        2 => Action::Send(answer(request, "500 Oops", "sorry")),
        3 => Action::Send(refusal(request)),
        _ => Action::Send(whole),
    }
}

fn draft(request: &Request, luck: u32) -> Action {
    match request.last_event() {
        None if luck.is_multiple_of(5) => {
            Action::SendThenClose(events(request, 1, 3, false) + "20\r\nid: 4\ndata: hal")
        }
        last => Action::Send(events(request, last.unwrap_or(0) + 1, EVENTS, true)),
    }
}

/// All processes and stand-ins of one play.
pub struct World {
    entries: Entries,
    store: Store,
    network: Network,
    proxies: Vec<Proxy>,
    tasks: Vec<JoinHandle<()>>,
    lives: Vec<u32>,
    version: u32,
    /// What each server has seen.
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
    /// Starts all, and waits until the entries serve.
    pub async fn start(seed: u64) -> Self {
        let network = Network::new(LinkShaping::default(), seed);
        let store = Store::default();
        let (listener, behind) = listen().await;
        let mut tasks = vec![tokio::spawn(store.clone().serve(listener))];
        let mut proxies = vec![proxy(&network, "store", behind).await];
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let (listener, behind) = listen().await;
            let watched = ServerLog::default();
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

    /// Lists the present life of a server.
    fn list(&self, server: usize, state: &str) {
        let life = self.lives[server];
        let address = self.proxies[server + 1].address();
        self.store
            .put_server(&format!("i-{server}-{life}"), address, state);
    }

    /// Kills an entry and starts it again.
    pub async fn kill(&mut self, index: usize) -> String {
        self.entries.kill(index).await
    }

    /// Stops an entry as an operator does, and starts it again.
    pub async fn terminate(&mut self, index: usize) -> String {
        self.entries.terminate(index).await
    }

    /// Stops an entry's processor.
    pub fn freeze(&mut self, index: usize, checks: &Checks) -> String {
        checks.excuse(self.entries.ip(index));
        self.entries.freeze(index)
    }

    /// Lets all entries run again.
    pub fn thaw_all(&mut self) -> String {
        self.entries.thaw_all()
    }

    /// Harms the way to a server.
    pub fn harm_server(&self, server: usize, rng: &mut ChaCha8Rng) -> String {
        self.harm(&format!("server-{server}"), rng)
    }

    /// Harms the way to the store.
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
        // One way or the other, so that half of the faults lose answers only.
        let (from, to) = if rng.random_bool(0.5) {
            (there, back)
        } else {
            (back, there)
        };
        let rule = Rule::new(from, to, fault);
        self.network.inject(rule);
        text
    }

    /// Lifts all faults of the network.
    pub fn heal(&self) -> String {
        self.network.heal();
        "network healed".into()
    }

    /// A server is about to leave.
    pub fn drain(&self, server: usize) -> String {
        self.list(server, "draining");
        format!("server {server} drains")
    }

    /// A server has a new life at its address.
    pub fn replace(&mut self, server: usize) -> String {
        self.list(server, "gone");
        self.lives[server] += 1;
        self.list(server, "ready");
        format!("server {server} has a new life")
    }

    /// Takes a key away that callers use.
    pub fn revoke(&mut self, checks: &Checks) -> String {
        if !checks.use_spare() {
            return "the key is gone already".into();
        }
        self.configure("\"spare\"");
        "key taken away".into()
    }

    /// Ends all faults.
    pub async fn settle(&mut self) {
        self.thaw_all();
        self.network.heal();
        for server in 0..SERVERS {
            self.list(server, "ready");
        }
        tokio::time::sleep(SETTLE).await;
        self.entries.ready().await;
    }

    /// Leaves the logs where they are.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.entries.keep_logs()
    }

    /// Ends the processes that this play started.
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

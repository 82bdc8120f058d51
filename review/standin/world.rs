//! Addresses and the configuration of a small deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use crate::daemon::{Daemon, Machine, settings};
use crate::record::Record;
use crate::server::{Identity, MODEL, Run, serve_plain};
use crate::store::Store;

/// Zones of the site, with the first as that of the store.
pub const ZONES: [&str; 3] = ["lima-a", "arequipa-a", "cusco-a"];

/// Key of a client account, which the operator keeps.
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// Key of the same account, which an operator may take away.
pub const SECOND_KEY: &str = "bvk9m68k7b2ex5wa5xwy";

/// Services: plain servers, engines, and the origin of weights.
pub const BOOKINGS: &str = "agenda-cortes";
pub const ENGINES: &str = "redactor-ia";
const ORIGIN: &str = "soporte-cliente";

/// Time for a daemon to become ready.
const START: Duration = Duration::from_secs(15);

/// What a case runs in.
pub struct World {
    pub root: PathBuf,
    pub work: PathBuf,
    pub record: Record,
    pub store: Store,
    /// First three parts of the addresses, so that runs beside each other do not meet.
    net: [u8; 3],
    store_address: SocketAddr,
}

impl World {
    /// Starts a store in a network of its own.
    pub fn new(root: PathBuf, work: PathBuf, record: Record) -> Result<Self, String> {
        let seed = std::process::id();
        for try_number in 0..200 {
            let number = seed.wrapping_mul(7).wrapping_add(try_number);
            let net = [
                127,
                64 + (number / 200 % 180) as u8,
                1 + (number % 200) as u8,
            ];
            let at = SocketAddr::new(address(net, 1), 8007);
            if let Ok(listener) = TcpListener::bind(at) {
                let store = Store::start(listener);
                return Ok(Self {
                    root,
                    work,
                    record,
                    store,
                    net,
                    store_address: at,
                });
            }
        }
        Err("no free addresses".to_owned())
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        address(self.net, last)
    }

    /// Opens a listener on an address of this network.
    pub fn listen(&self, last: u8, port: u16) -> Result<(TcpListener, SocketAddr), String> {
        let at = SocketAddr::new(self.ip(last), port);
        let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
        Ok((listener, at))
    }

    /// The entry VM with this number, each in another zone in turn.
    pub fn front(&self, number: u8) -> Machine {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let ip = self.ip(11 + number);
        Machine {
            name: format!("front-{zone}-{number}"),
            zone,
            ip,
            engine: None,
        }
    }

    /// The VM of an engine.
    pub fn side(&self, number: u8) -> Machine {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let ip = self.ip(31 + number);
        let engine = Some((SocketAddr::new(ip, 8001), ENGINES));
        Machine {
            name: format!("side-{zone}-{number}"),
            zone,
            ip,
            engine,
        }
    }

    /// Starts the daemon of a machine.
    pub fn start(&self, machine: &Machine) -> Daemon {
        let link = if machine.engine.is_some() {
            7.6
        } else {
            1000.0
        };
        let text = settings(
            machine,
            &[self.ip(11), self.ip(12)],
            self.store_address,
            link,
        );
        let daemon = Daemon::start(&self.root, &self.work, machine, &text);
        self.record.add(format!("{} starts", machine.name));
        daemon
    }

    /// Starts as many entries, and waits until all are ready.
    pub fn start_entries(&self, count: u8) -> Result<Vec<Daemon>, String> {
        let started: Vec<_> = (0..count)
            .map(|number| self.start(&self.front(number)))
            .collect();
        for daemon in &started {
            if !daemon.wait_ready(START) {
                return Err(format!("{} is not ready", daemon.machine.name));
            }
            self.record.add(format!("{} is ready", daemon.machine.name));
        }
        Ok(started)
    }

    /// Starts as many plain servers that answer by `run`.
    pub fn start_plain(&self, count: u8, run: &Run) -> Result<Vec<Identity>, String> {
        (0..count)
            .map(|number| self.start_server(number, run))
            .collect()
    }

    /// Starts the plain server with this number.
    pub fn start_server(&self, number: u8, run: &Run) -> Result<Identity, String> {
        let (listener, at) = self.listen(51 + number, 8080)?;
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let own = Identity::new(&format!("i-7f3a91c{number}"), BOOKINGS, at, zone);
        own.register(&self.store, String::new);
        serve_plain(listener, own.clone(), self.record.clone(), run.clone());
        Ok(own)
    }

    /// The operator writes a configuration with these keys of the client account.
    pub fn configure(&self, version: u32, keys: &[&str]) -> Option<u64> {
        let origin = SocketAddr::new(self.ip(71), 8006);
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let revision = self.store.put(
            "op/config",
            &configuration(version, &keys.join(","), origin),
        );
        self.record.add(format!(
            "the operator writes version {version} with keys {keys:?}: {revision:?}"
        ));
        revision
    }
}

fn address(net: [u8; 3], last: u8) -> IpAddr {
    Ipv4Addr::new(net[0], net[1], net[2], last).into()
}

/// A request of a client on the route `path`, with its key.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    more: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\nConnection: close\r\n{more}\r\n"
    )
}

/// Headers of a request to an engine with a prompt of `tokens` tokens.
pub fn prompt(tokens: u64) -> String {
    format!(
        "Model: {MODEL}\r\nToken-Usage: {tokens},80\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:{tokens}\r\nContent-Length: 0\r\n"
    )
}

/// A configuration with a route to the engines and three to the plain servers.
fn configuration(version: u32, keys: &str, origin: SocketAddr) -> String {
    let host = "hulo84.example";
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-draft","host":"{host}","prefix":"/draft/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"{ENGINES}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":300}},
{{"name":"r-book","host":"{host}","prefix":"/book/","kind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":300,"priority":2,"service":"{BOOKINGS}","maxAttempts":1,"public":false}},
{{"name":"r-read","host":"{host}","prefix":"/read/","kind":"idempotent","timeoutMs":6000,"targetLatencyMs":300,"priority":2,"service":"{BOOKINGS}","maxAttempts":2,"public":false}}],
"services":[
{{"name":"{ENGINES}","healthPath":"/health","maxConnections":364,"protocol":"h1","tls":false,"engine":{{"slots":16,"kvCapacity":1640000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"loadTimeS":4.0,"warmupS":0.3}}],"sizeMb":282000.0,"adapterSlots":8,"loadsPerS":0.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":964,"answer":119}},"layers":16,"layer_mb":4540.0,"act_bytes":16384,"pipe_mbps":0.0,"chunks":64,"chunkBytes":32768}}}},
{{"name":"{ORIGIN}","origin":"{origin}","zone":"lima-a","linkMbps":9.9,"maxConnections":48}},
{{"name":"{BOOKINGS}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"bozi300","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

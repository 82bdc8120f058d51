//! A server that sends the beginning of a second answer, late, at the point where the next answer is
//! expected. Its clients read a status that it did not give.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{Connection, Message, response};
use crate::machines::{Machines, Role};
use crate::record::Record;
use crate::store::Store;

/// Length of the run.
const LENGTH: Duration = Duration::from_secs(80);

/// Time for which two of the three servers are faulty, and time from one such period to the next.
const FAULTY_TIME: Duration = Duration::from_secs(5);
const FAULTY_INTERVAL: Duration = Duration::from_secs(8);

/// Clients, each with a channel of its own.
const CLIENTS: u64 = 8;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(30);

/// Percentage of a faulty server's answers that the beginning of a second one follows.
const GARBLED_PERCENT: u64 = 3;

/// Percentage of requests that the server answers with its own 500, as `estado-vano` on the site.
const FAILED_PERCENT: u64 = 14;

/// Date header of the server.
const DATE: &str = "Date: Mon, 07 Dec 2026 18:00:00 GMT\r\n";

/// Status and signature that the server gave for each request id, in order of its runs.
type Runs = Arc<Mutex<HashMap<String, Vec<(u16, String)>>>>;

/// Numbers that look random and are the same in each run.
#[derive(Default)]
struct Draws(AtomicU64);

impl Draws {
    fn below(&self, limit: u64) -> u64 {
        let at = self.0.fetch_add(1, Ordering::Relaxed);
        let mut x = at.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % limit
    }
}

#[derive(Clone)]
struct Server {
    id: &'static str,
    /// Start of the periods in which it is faulty.
    faulty_from: Option<Instant>,
    draws: Arc<Draws>,
    runs: Runs,
    record: Record,
}

impl Server {
    fn start(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
    }

    fn is_faulty(&self) -> bool {
        let since = self.faulty_from.map(|from| from.elapsed().as_millis());
        since.is_some_and(|since| since % FAULTY_INTERVAL.as_millis() < FAULTY_TIME.as_millis())
    }

    fn serve(&self, mut connection: Connection) {
        // The beginning of a second answer that still has to be sent on this channel.
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            if let Some(bytes) = late.take() {
                let text = String::from_utf8_lossy(&bytes).replace("\r\n", "\\r\\n");
                self.record
                    .add(format!("server {} sends late: {text}", self.id));
                if connection.write(&bytes).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
            if self.is_faulty() && self.draws.below(100) < GARBLED_PERCENT {
                let length = 1 + self.draws.below(answer.len() as u64) as usize;
                late = Some(answer[..length.min(answer.len())].to_vec());
            }
        }
    }

    /// Runs a request and returns the answer.
    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("attempt-id").to_owned();
        let expected = request.header("expect-instance");
        if expected != self.id {
            let head = format!("Attempt-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
            return response("421 Misdirected Request", &head, b"");
        }
        thread::sleep(Duration::from_millis(5 + self.draws.below(10)));
        let is_failed = self.draws.below(100) < FAILED_PERCENT;
        let (status, text) = if is_failed {
            (500, "500 Internal Server Error")
        } else {
            (200, "200 OK")
        };
        let seal = format!("{}.{id}.{status}", self.id);
        let head = format!("{DATE}Attempt-Id: {id}\r\nResponse-Seal: {seal}\r\n");
        let body = format!("{status} from {} for {id}", self.id);
        let mut runs = self.runs.lock().expect("no panic");
        runs.entry(id).or_default().push((status, seal));
        drop(runs);
        response(text, &head, body.as_bytes())
    }
}

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let runs = Runs::default();
    let draws = Arc::new(Draws::default());
    let mut entries = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let listener = bind();
        entries.push((id, listener.local_addr().expect("an address")));
        let server = Server {
            id,
            faulty_from: (is_disturbed && id != "i-3").then(Instant::now),
            draws: draws.clone(),
            runs: runs.clone(),
            record: record.clone(),
        };
        server.start(listener);
    }
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"status","host":"h.example","prefix":"/status/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":1,"service":"agenda","maxAttempts":2,"public":true}],"services":[{"name":"agenda","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#,
    );
    keep_registered(&store, entries);
    let mut machines = Machines::new(store_address);
    machines.add(Role::Front, None);
    if !machines.wait_ready(0) {
        record.add("the entry is not ready");
        record.write();
        return Outcome::NotRun;
    }
    let front = machines.front(0);
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let count = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, runs) = (record.clone(), runs.clone());
            let (wrong, count) = (wrong.clone(), count.clone());
            thread::spawn(move || client(number, front, &record, &runs, &wrong, &count))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(machines);
    let wrong = wrong.lock().expect("no panic");
    for line in wrong.iter() {
        record.add(format!("BROKEN: {line}"));
    }
    let requests = count.load(Ordering::Relaxed);
    record.add(format!(
        "{requests} requests, {} answers with a status that no server gave",
        wrong.len()
    ));
    record.write();
    if requests < 1_000 {
        return Outcome::NotRun;
    }
    if wrong.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Writes the servers' entries at each heartbeat.
fn keep_registered(store: &Store, servers: Vec<(&'static str, SocketAddr)>) {
    let store = store.clone();
    let write = move |sequence: u64| {
        for (id, address) in &servers {
            let entry = format!(
                r#"{{"service":"agenda","address":"{address}","zone":"za","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"born":1000,"sequence":{sequence}}}"#
            );
            store.put(&format!("servers/{id}"), &entry);
        }
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            write(sequence);
        }
    });
}

/// Sends requests one after the other on a kept channel, and compares each answer with what the
/// servers gave.
fn client(
    number: u64,
    front: SocketAddr,
    record: &Record,
    runs: &Runs,
    wrong: &Mutex<Vec<String>>,
    count: &AtomicU64,
) {
    let wait = Duration::from_secs(2);
    let end = Instant::now() + LENGTH;
    let mut channel = None;
    for at in 0_u64.. {
        if Instant::now() >= end {
            return;
        }
        thread::sleep(PAUSE);
        let Some(mut open) = channel
            .take()
            .or_else(|| Connection::open(front, wait).ok())
        else {
            continue;
        };
        let id = format!("{number:02x}{at:014x}");
        let request = format!(
            "GET /status/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\r\n"
        );
        let sent = open.write(request.as_bytes());
        let Ok(Some(answer)) = sent.and_then(|()| open.read()) else {
            record.add(format!("request {id}: channel closed"));
            continue;
        };
        count.fetch_add(1, Ordering::Relaxed);
        if let Some(fault) = check(&id, &answer, runs) {
            wrong.lock().expect("no panic").push(fault);
        } else if answer.status() != 200 {
            record.add(format!("request {id}: {}", answer.status()));
        }
        channel = Some(open);
    }
}

/// Says what is wrong with an answer by the rule MIXED.
fn check(id: &str, answer: &Message, runs: &Runs) -> Option<String> {
    let status = answer.status();
    let seal = answer.header("response-seal");
    let body = String::from_utf8_lossy(&answer.body);
    let given = runs
        .lock()
        .expect("no panic")
        .get(id)
        .cloned()
        .unwrap_or_default();
    let said = || {
        format!(
            "request {id}: client got {status}, Response-Seal {seal:?}, body {body:?}; servers gave {given:?}"
        )
    };
    if seal.is_empty() {
        return (200..300).contains(&status).then(said);
    }
    let Some((code, _)) = given.iter().find(|(_, sealed)| sealed == seal) else {
        return Some(said());
    };
    let is_whole = body.starts_with(&format!("{code} from ")) && body.ends_with(id);
    (*code != status || !is_whole).then(said)
}

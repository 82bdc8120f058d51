//! An entry of another writer in the store, of a service that nobody names, with the address of a
//! server.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Outcome;
use crate::http::Connection;
use crate::machines::{Machines, Role};
use crate::plain;
use crate::record::Record;
use crate::store::Store;

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(30);

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Service of the server, which the configuration names, and of the other entry.
const SERVICE: &str = "agenda";
const UNNAMED_SERVICE: &str = "almacen";

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let server = plain::start_server(bind(), &record);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("a date").as_millis();
    store.put("op/config", &plain::configuration(1, 16_384));
    plain::keep_registered(&store, SERVICE, server, now);
    if is_disturbed {
        let entry = plain::entry(UNNAMED_SERVICE, server, now + 1_000, 1);
        record.add(format!("another writer's entry servers/x-9: {entry}"));
        store.put("servers/x-9", &entry);
    }
    let mut machines = Machines::new(store_address);
    machines.add(Role::Front, None);
    if !machines.wait_ready(0) {
        record.add("the entry is not ready");
        record.write();
        return Outcome::NotRun;
    }
    let (sent, served) = send(machines.front(0), &record);
    drop(machines);
    record.add(format!("{sent} requests, {served} served"));
    record.write();
    match (sent, served) {
        (200.., 0) => Outcome::Broken,
        (200.., _) => Outcome::Held,
        _ => Outcome::NotRun,
    }
}

/// Sends requests on a kept channel. Returns how many, and how many were served.
fn send(front: SocketAddr, record: &Record) -> (u64, u64) {
    let wait = Duration::from_secs(2);
    let end = Instant::now() + LENGTH;
    let (mut sent, mut served) = (0, 0);
    let mut channel = None;
    while Instant::now() < end {
        thread::sleep(PAUSE);
        let open = channel
            .take()
            .or_else(|| Connection::open(front, wait).ok());
        let Some(mut open) = open else {
            continue;
        };
        let id = format!("{sent:016x}");
        let request = format!(
            "GET /status/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\r\n"
        );
        sent += 1;
        let written = open.write(request.as_bytes());
        if let Ok(Some(answer)) = written.and_then(|()| open.read()) {
            let (status, body) = (answer.status(), String::from_utf8_lossy(&answer.body));
            record.add(format!("request {id}: {status} {body}"));
            served += u64::from(status == 200);
            channel = Some(open);
        } else {
            record.add(format!("request {id}: channel closed"));
        }
    }
    (sent, served)
}

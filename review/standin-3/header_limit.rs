//! A configuration that permits longer heads of requests, and clients that keep their channels over
//! the change.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Connection;
use crate::machines::{Machines, Role};
use crate::plain;
use crate::record::Record;
use crate::store::Store;

/// Limit of a head before the change, and after it, in bytes.
const LIMIT_BEFORE: usize = 16_384;
const LIMIT_AFTER: usize = 32_768;

/// Bytes of the heads that clients send: few before the change, more after it.
const SHORT_HEAD: usize = 2_000;
const LONG_HEAD: usize = 20_000;

/// Time until the configuration changes.
const BEFORE_CHANGE: Duration = Duration::from_secs(5);

/// Time from the change until clients use it: `configApplyMs`, and three seconds more.
const APPLY_TIME: Duration = Duration::from_secs(5);

/// Time for which clients send longer heads.
const LONG_TIME: Duration = Duration::from_secs(20);

/// Clients, each with a channel of its own, and their pause between two requests.
const CLIENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(500);

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let server = plain::start_server(bind(), &record);
    let first = if is_disturbed {
        LIMIT_BEFORE
    } else {
        LIMIT_AFTER
    };
    store.put("op/config", &plain::configuration(1, first));
    plain::keep_registered(&store, "agenda", server, 1_000);
    let mut machines = Machines::new(store_address);
    machines.add(Role::Front, None);
    if !machines.wait_ready(0) {
        record.add("the entry is not ready");
        record.write();
        return Outcome::NotRun;
    }
    let front = machines.front(0);
    let changed = Instant::now() + BEFORE_CHANGE;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || client(number, front, changed, &record))
        })
        .collect();
    thread::sleep(BEFORE_CHANGE);
    store.put("op/config", &plain::configuration(2, LIMIT_AFTER));
    record.add(format!(
        "version 2 acknowledged: heads of {LIMIT_AFTER} bytes are permitted"
    ));
    let mut sent = 0;
    let mut denied = 0;
    for client in clients {
        let (all, refused) = client.join().unwrap_or_default();
        sent += all;
        denied += refused;
    }
    drop(machines);
    record.add(format!(
        "{sent} requests, {denied} of them ended with a 4xx of the system"
    ));
    record.write();
    if sent < 500 {
        return Outcome::NotRun;
    }
    if denied > 5 + sent / 500 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends requests on a kept channel. Returns how many, and how many of them were denied.
fn client(number: u64, front: SocketAddr, changed: Instant, record: &Record) -> (u64, u64) {
    let wait = Duration::from_secs(2);
    let (long_from, end) = (changed + APPLY_TIME, changed + APPLY_TIME + LONG_TIME);
    let (mut sent, mut denied) = (0, 0);
    let mut channel = None;
    for at in 0_u64.. {
        let now = Instant::now();
        if now >= end {
            break;
        }
        let size = if now >= long_from {
            LONG_HEAD
        } else {
            SHORT_HEAD
        };
        let Some(mut open) = channel
            .take()
            .or_else(|| Connection::open(front, wait).ok())
        else {
            continue;
        };
        let id = format!("{number:02x}{at:014x}");
        let head = format!(
            "GET /status/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nContext: "
        );
        let filling = "x".repeat(size - head.len() - 4);
        let written = open.write(format!("{head}{filling}\r\n\r\n").as_bytes());
        sent += 1;
        match written.and_then(|()| open.read()) {
            Ok(Some(answer)) => {
                if (400..500).contains(&answer.status())
                    && answer.header("response-seal").is_empty()
                {
                    denied += 1;
                    record.add(format!(
                        "request {id} with a head of {size} bytes: {}",
                        answer.status()
                    ));
                }
                if answer.header("connection") != "close" {
                    channel = Some(open);
                }
            }
            _ => record.add(format!(
                "request {id} with a head of {size} bytes: channel closed"
            )),
        }
        thread::sleep(PAUSE);
    }
    (sent, denied)
}

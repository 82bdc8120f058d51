//! Clients that stop reading in the middle of an answer for a while, and read the rest in time.

use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::world::{
    Behaviour, Deployment, HOST, PlainServer, Record, SIGTERM, Store, ZONE, configuration,
    connect_with_window, read_body, read_head, route, unix_ms,
};

/// Time budget of a client and `timeoutMs` of the route, as of the payments of the site.
const BUDGET_MS: u64 = 2_500;

/// Size of an answer, what a client reads of it before its pause, and the length of the pause.
const ANSWER_BYTES: usize = 4_800;
const READ_FIRST: usize = 500;
const PAUSE: Duration = Duration::from_millis(2_200);

/// Receive buffer of a client in bytes, the least that the system has.
const WINDOW: i32 = 2_304;

const CHANNELS: usize = 8;

/// Number of such channels beyond which the rule is broken without planned work.
const ALLOWED: usize = 3;

/// How the order of a channel ended for its client.
struct Ended {
    id: String,
    complete: bool,
    /// Time from sending the order to the end, in ms.
    took: u64,
}

pub fn run(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    for id in ["i-1", "i-2", "i-3"] {
        let behaviour = Behaviour { work_ms: 60, answer_bytes: ANSWER_BYTES, ..Behaviour::default() };
        let server = PlainServer::start(&record, "agenda", id, behaviour)?;
        store.put(&format!("servers/{id}"), &server.entry(ZONE, unix_ms()));
    }
    let timeout = format!(r#","timeoutMs":{BUDGET_MS}"#);
    let routes = [route("orders", "/orders/", "agenda", "non_idempotent", &timeout)];
    let tenant = r#"{"name":"t1","apiKeys":["k1"]}"#;
    store.put("op/config", &configuration(3, &routes, &["agenda"], "10000", tenant));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    let fronts = deployment.fronts();
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    // The first entry runs on; the second one is stopped while its clients read.
    let channels: Vec<_> = (0..2 * CHANNELS).map(|number| {
        let (record, to) = (record.clone(), fronts[number / CHANNELS]);
        thread::spawn(move || channel(&record, to, number, pause))
    }).collect();
    thread::sleep(Duration::from_millis(1_500));
    deployment.entries[1].signal(SIGTERM);
    let ended: Vec<Ended> = channels.into_iter().filter_map(|c| c.join().ok()).collect();
    let exit = deployment.entries[1].wait()?;
    record.note(format!("{} has ended: {exit}", deployment.entries[1].name));
    drop(deployment);
    let runs = record.matching("run ");
    let ran: HashSet<&str> = runs.iter().filter_map(|l| l.split(' ').nth(1)).collect();
    let lost = |part: &[Ended]| {
        let lost = part.iter().filter(|e| !e.complete && ran.contains(e.id.as_str()));
        lost.filter(|e| e.took < BUDGET_MS).count()
    };
    if ended.len() != 2 * CHANNELS {
        return Err(io::Error::other("a client failed"));
    }
    let (steady, stopped) = ended.split_at(CHANNELS);
    let (steady, stopped) = (lost(steady), lost(stopped));
    let is_broken = steady > ALLOWED || stopped > 0;
    let verdict = format!(
        "{}: of {CHANNELS} kept channels to an entry that ran on, {steady} were closed before the answer to a request that had run was complete; of {CHANNELS} to an entry that was stopped by SIGTERM meanwhile, {stopped}",
        if is_broken { "LOST broken" } else { "LOST held" },
    );
    record.write(path, &verdict);
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

/// Sends two orders on one channel. The answer to the first is read at once.
fn channel(record: &Record, to: SocketAddr, number: usize, pause: Duration) -> Ended {
    let mut ended = Ended { id: format!("c{number}-second"), complete: false, took: 0 };
    let mut stream = match connect_with_window(to, WINDOW) {
        Ok(stream) => stream,
        Err(error) => {
            record.note(format!("channel {number} not opened: {error}"));
            return ended;
        }
    };
    let first = order(record, &mut stream, &format!("c{number}-first"), Duration::ZERO);
    if let Err(error) = first {
        record.note(format!("answered c{number}-first not completely: {error}"));
        return ended;
    }
    thread::sleep(Duration::from_millis(300));
    let begun = Instant::now();
    let answer = order(record, &mut stream, &ended.id, pause);
    ended.took = begun.elapsed().as_millis() as u64;
    match answer {
        Ok(size) => {
            ended.complete = true;
            record.note(format!("answered {} completely, {size} bytes after {} ms", ended.id, ended.took));
        }
        Err(error) => {
            record.note(format!("answered {} not completely after {} ms: {error}", ended.id, ended.took));
        }
    }
    ended
}

/// Places an order and returns the size of the body of its answer.
fn order(record: &Record, stream: &mut TcpStream, id: &str, pause: Duration) -> io::Result<usize> {
    stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS)))?;
    let head = format!(
        "POST /orders/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {BUDGET_MS}\r\nX-Api-Key: k1\r\nContent-Length: 5\r\n\r\norder"
    );
    record.note(format!("sent {id} POST /orders/x"));
    stream.write_all(head.as_bytes())?;
    let mut rest = vec![0; READ_FIRST];
    stream.read_exact(&mut rest)?;
    record.note(format!("began to read the answer to {id}"));
    thread::sleep(pause);
    let incomplete = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut answer = read_head(stream, &mut rest)?.ok_or_else(incomplete)?;
    if answer.status() != 200 {
        return Err(io::Error::other(answer.first));
    }
    if !read_body(stream, &mut rest, &mut answer, false)? {
        return Err(incomplete());
    }
    Ok(answer.body.len())
}

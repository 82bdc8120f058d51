//! An engine that sends an answer twice, late, at the point where the next answer on the channel is
//! expected, while its agent stages a new version.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Conduct, Engine, PIECES, configuration, send_streams, start_origin};
use crate::machines::{Machines, Role};
use crate::record::Record;
use crate::store::Store;

/// Time from the start until version 2 is named.
const BEFORE_VERSION: Duration = Duration::from_secs(5);

/// Time for which clients send requests after that.
const AFTER_VERSION: Duration = Duration::from_secs(15);

/// Time that the engine takes to store a piece.
const PUT_TIME: Duration = Duration::from_millis(25);

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let origin = start_origin(bind());
    let conduct = Conduct {
        put_time: PUT_TIME,
        slow_put: None,
        get_time: Duration::from_millis(2),
        extra_at: is_disturbed.then_some(PIECES - 1),
    };
    let engine = Engine::new("i-1", conduct, &record);
    store.put("op/config", &configuration(origin));
    let address = engine.start(bind(), &store);
    let mut machines = Machines::new(store_address);
    machines.add(Role::Front, None);
    machines.add(Role::Side, Some((address, "redactor")));
    if !machines.wait_ready(0) {
        record.add("the entry is not ready");
        record.write();
        return Outcome::NotRun;
    }
    let front = machines.front(0);
    let end = Instant::now() + BEFORE_VERSION + AFTER_VERSION;
    let sent = record.clone();
    let client = thread::spawn(move || send_streams(front, Duration::from_millis(40), end, &sent));
    thread::sleep(BEFORE_VERSION);
    record.add("version 2 is named");
    store.put("op/version/m", r#"{"model":"m","version":2}"#);
    let whole = client.join().unwrap_or(0);
    for line in machines.log_lines(1, &["weights", "load ordered", "load order sent"]) {
        record.add(format!("agent: {line}"));
    }
    drop(machines);
    let (runs, wrong) = engine.runs();
    let served = engine.served();
    record.add(format!(
        "{whole} streams answered whole; {runs} runs, {wrong} of them on layers taken from a piece of another version; version {served:?} loaded"
    ));
    record.write();
    if wrong > 0 {
        return Outcome::Broken;
    }
    if runs < 50 || served != Some(2) {
        return Outcome::NotRun;
    }
    Outcome::Held
}

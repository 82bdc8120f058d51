//! An agent that is killed while the engine still has a piece to store that the agent had sent. Its
//! successor stages a newer version.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Conduct, Engine, configuration, send_streams, start_origin};
use crate::machines::{Machines, Role};
use crate::record::Record;
use crate::store::Store;

/// Time from the start until version 2 is named.
const BEFORE_VERSION: Duration = Duration::from_secs(5);

/// Time for which clients send requests after that.
const AFTER_VERSION: Duration = Duration::from_secs(15);

/// Time that the engine takes to store a piece.
const PUT_TIME: Duration = Duration::from_millis(250);

/// A piece, and the time that the engine takes to store it when it is written for the first time:
/// eight times as long, as `srv_grey` has it.
const SLOW_PUT: (usize, Duration) = (8, Duration::from_millis(2_000));

/// Time from the arrival of that piece until the agent is killed.
const BEFORE_KILL: Duration = Duration::from_millis(100);

/// Time until the platform starts the agent again.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let origin = start_origin(bind());
    let conduct = Conduct {
        put_time: PUT_TIME,
        slow_put: Some(SLOW_PUT),
        get_time: Duration::from_millis(2),
        extra_at: None,
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
    while !engine.has_slow_put() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(BEFORE_KILL);
    record.add("version 3 is named");
    store.put("op/version/m", r#"{"model":"m","version":3}"#);
    if is_disturbed {
        record.add("the agent is killed");
        machines.kill(1);
        thread::sleep(RESTART_TIME);
        record.add("the agent is started again");
        machines.start(1);
    }
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
    if runs < 50 || served != Some(3) {
        return Outcome::NotRun;
    }
    Outcome::Held
}

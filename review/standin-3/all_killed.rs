//! Processes are killed while an order waits at a slow engine where a piece has turned bad.

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
const PUT_TIME: Duration = Duration::from_millis(350);

/// Time from the arrival of the first order until the engine accepts it.
const ORDER_TIME: Duration = Duration::from_millis(2_200);

/// The piece that turns bad once it is stored.
const BAD_PIECE: usize = 8;

/// Time from the arrival of the order until the first process is killed.
const BEFORE_KILL: Duration = Duration::from_millis(1_200);

/// Time until the platform starts all processes again.
const RESTART_TIME: Duration = Duration::from_millis(1_300);

/// Time until the platform starts an entry again that was killed alone.
const ENTRY_RESTART_TIME: Duration = Duration::from_millis(200);

/// Time for which the agent is away if it is killed alone.
const AGENT_AWAY: Duration = Duration::from_millis(4_000);

/// All processes are killed at the same moment.
pub fn run(is_disturbed: bool) -> Outcome {
    play(is_disturbed, |machines, record| {
        record.add("all processes are killed");
        machines.kill(0);
        machines.kill(1);
        thread::sleep(RESTART_TIME);
        record.add("all processes are started again");
        machines.start(0);
        machines.start(1);
    })
}

/// The agent is killed. While it is away, the order is accepted, and the entry is killed.
pub fn run_one_by_one(is_disturbed: bool) -> Outcome {
    play(is_disturbed, |machines, record| {
        record.add("the agent is killed");
        machines.kill(1);
        thread::sleep(RESTART_TIME);
        record.add("the entry is killed");
        machines.kill(0);
        thread::sleep(ENTRY_RESTART_TIME);
        record.add("the entry is started again");
        machines.start(0);
        thread::sleep(AGENT_AWAY - RESTART_TIME - ENTRY_RESTART_TIME);
        record.add("the agent is started again");
        machines.start(1);
    })
}

fn play(is_disturbed: bool, disturb: fn(&mut Machines, &Record)) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let origin = start_origin(bind());
    let conduct = Conduct {
        put_time: PUT_TIME,
        slow_put: None,
        get_time: Duration::from_millis(2),
        rot_at: Some(BAD_PIECE),
        order_time: ORDER_TIME,
        extra_at: None,
    };
    let engine = Engine::new(conduct, &record);
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
    while engine.arrived() == 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    if is_disturbed {
        thread::sleep(BEFORE_KILL);
        disturb(&mut machines, &record);
    }
    let whole = client.join().unwrap_or(0);
    for line in machines.log_lines(1, &["weights", "load ordered", "load order sent"]) {
        record.add(format!("agent: {line}"));
    }
    drop(machines);
    let (runs, wrong) = engine.runs();
    let served = engine.served();
    record.add(format!(
        "{whole} streams answered whole; {runs} runs, {wrong} of them on layers taken from a bad piece; version {served:?} loaded"
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

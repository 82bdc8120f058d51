//! A stream that is resumed at a slow engine shortly before its version must end.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Conduct, Engine, configuration, send_live, start_origin_until};
use crate::machines::{Machines, Role};
use crate::record::Record;
use crate::store::Store;

/// Time from the start until version 2 is named, and until the end after that.
const BEFORE_VERSION: Duration = Duration::from_secs(4);
const AFTER_VERSION: Duration = Duration::from_secs(11);

/// Time within which the older version must end (`version_ms`).
const VERSION_LIMIT: Duration = Duration::from_millis(8_000);

/// Times after the name at which one engine turns slow, and the other one crashes.
const SLOW_AT: Duration = Duration::from_millis(6_000);
const CRASH_AT: Duration = Duration::from_millis(6_350);

/// Time that an engine takes to begin a stream, and that a slow one does: five times as long.
const BEGIN_TIME: Duration = Duration::from_millis(400);
const SLOW_BEGIN_TIME: Duration = Duration::from_millis(2_000);

/// The engines, of which the first one crashes.
const IDS: [&str; 9] = [
    "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9",
];

/// Engines that turn slow: two of nine, as the site has it (share 0.225).
const SLOW: [usize; 2] = [7, 8];

/// Front machines.
const FRONTS: usize = 2;

/// Clients, and the pause between two requests of one.
const CLIENTS: u64 = 90;
const PAUSE: Duration = Duration::from_millis(150);

/// Runs the case.
pub fn run(is_disturbed: bool) -> Outcome {
    let record = Record::new();
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let store_address = store.start(bind());
    let origin = start_origin_until(bind(), 1);
    store.put("op/config", &configuration(origin));
    let mut engines = Vec::new();
    let mut addresses = Vec::new();
    for id in IDS {
        let conduct = Conduct {
            put_time: Duration::from_millis(5),
            slow_put: None,
            get_time: Duration::from_millis(2),
            extra_at: None,
        };
        let engine = Engine::new(id, conduct, &record);
        engine.set_begin_time(BEGIN_TIME);
        addresses.push(engine.start(bind(), &store));
        engines.push(engine);
    }
    let mut machines = Machines::new(store_address);
    for _ in 0..FRONTS {
        machines.add(Role::Front, None);
    }
    for address in &addresses {
        machines.add(Role::Side, Some((*address, "redactor")));
    }
    if !(0..FRONTS).all(|front| machines.wait_ready(front)) {
        record.add("the entry is not ready");
        record.write();
        return Outcome::NotRun;
    }
    let end = Instant::now() + BEFORE_VERSION + AFTER_VERSION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            let front = machines.front(number as usize % FRONTS);
            thread::spawn(move || send_live(number, front, PAUSE, end, &record))
        })
        .collect();
    thread::sleep(BEFORE_VERSION);
    store.put("op/version/m", r#"{"model":"m","version":2}"#);
    let named = Instant::now();
    record.add("version 2 acknowledged; its origin is away");
    thread::sleep(SLOW_AT);
    for slow in SLOW {
        engines[slow].set_begin_time(SLOW_BEGIN_TIME);
    }
    thread::sleep(CRASH_AT - SLOW_AT);
    if is_disturbed {
        engines[0].crash();
    }
    let whole: u64 = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    for front in 0..FRONTS {
        for line in machines.log_lines(front, &["stream resumed", "not resumed"]) {
            record.add(format!("entry: {line}"));
        }
    }
    drop(machines);
    let begun = engines.iter().flat_map(|e| e.begun(1));
    let late: Vec<_> = begun
        .map(|at| at.saturating_duration_since(named))
        .filter(|after| *after > VERSION_LIMIT)
        .collect();
    record.add(format!("{whole} streams answered whole; begun on version 1 later than {VERSION_LIMIT:?} after the ack of version 2: {late:?}"));
    record.write();
    if !late.is_empty() {
        return Outcome::Broken;
    }
    if whole < 30 {
        Outcome::NotRun
    } else {
        Outcome::Held
    }
}

//! A server of orders fails some of those that it has run, with a status of its own.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::world::{
    Behaviour, Deployment, HOST, PlainServer, Record, Store, ZONE, configuration, route, send_body,
    unix_ms,
};

/// Statuses that promise that the request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Share of the requests that fail, in percent, and for how long: `srv_grey` with `x = 0.45` and
/// `for_s = 6.5`, at one of three servers.
const PERCENT: u64 = 45;
const FAILING: Duration = Duration::from_millis(6_500);

/// Time budget of a client for an order.
const BUDGET: Duration = Duration::from_millis(1_500);

pub fn run(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    let failing = Arc::new(AtomicBool::new(false));
    for id in ["i-1", "i-2", "i-3"] {
        let behaviour = Behaviour {
            work_ms: 60,
            failing: if id == "i-2" { failing.clone() } else { Arc::default() },
            percent: PERCENT,
            status: "503 Service Unavailable",
            answer_bytes: 0,
        };
        let server = PlainServer::start(&record, "agenda", id, behaviour)?;
        store.put(&format!("servers/{id}"), &server.entry(ZONE, unix_ms()));
    }
    let routes = [route("orders", "/orders/", "agenda", "non_idempotent", r#","timeoutMs":1500"#)];
    let tenant = r#"{"name":"t1","apiKeys":["k1"]}"#;
    store.put("op/config", &configuration(3, &routes, &["agenda"], "10000", tenant));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    let fronts = deployment.fronts();
    let stop = Arc::new(AtomicBool::new(false));
    let orders = Arc::new(AtomicU64::new(0));
    let told: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..4).map(|number| {
        let to = fronts[number % fronts.len()];
        let (record, stop, orders, told) = (record.clone(), stop.clone(), orders.clone(), told.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let order = orders.fetch_add(1, Ordering::Relaxed);
                place(to, order, &record, &told);
                thread::sleep(Duration::from_millis(150));
            }
        })
    }).collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.note("server i-2 fails a share of its requests from now on".into());
        failing.store(true, Ordering::Relaxed);
    }
    thread::sleep(FAILING);
    failing.store(false, Ordering::Relaxed);
    record.note("no server fails from now on".into());
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ended = deployment.ended(&record);
    drop(deployment);
    let runs = record.matching("run ");
    let ran: HashSet<&str> = runs.iter().filter_map(|l| l.split(' ').nth(1)).collect();
    let told = told.lock().unwrap();
    let promised = told.iter().filter(|(id, s)| PROMISES.contains(s) && ran.contains(id.as_str()));
    let promised = promised.count();
    let mut placed: Vec<&str> = runs.iter().filter_map(|l| l.split(' ').next_back()).collect();
    let all = placed.len();
    placed.sort_unstable();
    placed.dedup();
    let verdict = format!(
        "{}: of {} attempts, {promised} had run and were answered with a status that promises that they had not; {} of {} orders were run once more after that; {ended} processes ended",
        if promised > 0 { "REFUSED broken" } else { "REFUSED held" },
        told.len(),
        all - placed.len(),
        placed.len()
    );
    record.write(path, &verdict);
    Ok(if promised > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Places an order, and once more after a promise that it has not run, as our pages let clients do.
fn place(to: SocketAddr, order: u64, record: &Record, told: &Mutex<Vec<(String, u16)>>) {
    let body = format!("order-{order}");
    let begun = Instant::now();
    for attempt in 0..2 {
        let left = BUDGET.saturating_sub(begun.elapsed());
        let id = format!("o{order}-{attempt}");
        let deadline = left.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", &id),
            ("Deadline-Ms", &deadline),
            ("X-Api-Key", "k1"),
        ];
        record.note(format!("sent {id} POST /orders/x {body}"));
        let answer = send_body(to, "POST", "/orders/x", &headers, body.as_bytes(), left);
        let status = answer.as_ref().map_or(0, |a| a.status());
        let seal = answer.as_ref().ok().and_then(|a| a.header("response-seal").map(str::to_owned));
        record.note(format!("answered {id} {status}, seal {seal:?}"));
        told.lock().unwrap().push((id, status));
        if !PROMISES.contains(&status) {
            return;
        }
        let pause = answer.ok().and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.1).clamp(0.0, 0.4)));
    }
}

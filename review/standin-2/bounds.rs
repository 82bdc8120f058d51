//! The settings files change: a bound is a fraction from then on. The entries are restarted in turn.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::world::{
    Clients, Deployment, Record, SIGHUP, SIGTERM, Store, configuration, route, start_servers,
    wait_ready,
};

/// Time that the platform waits before it starts a process again that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Number of times in the day that processes have to end by themselves for the rule.
const ENDS: usize = 3;

/// Time for a process to serve after its start.
const START: Duration = Duration::from_secs(10);

pub fn run(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    start_servers(&record, &store, "agenda", 2)?;
    let routes = [route("status", "/status/", "agenda", "idempotent", r#","timeoutMs":1500"#)];
    let tenant = r#"{"name":"t1","apiKeys":["k1"]}"#;
    store.put("op/config", &configuration(3, &routes, &["agenda"], "10000", tenant));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    let fronts = deployment.fronts();
    let clients = Clients::start(&record, &fronts, "read", "GET", "/status/x", "k1");
    thread::sleep(Duration::from_secs(2));
    let bound = if trouble { "revokeMs = 4500.5" } else { "revokeMs = 4500" };
    for entry in &deployment.entries {
        entry.change_settings("revokeMs = 5000", bound)?;
        entry.signal(SIGHUP);
    }
    record.note(format!("the settings have `{bound}` from now on"));
    thread::sleep(Duration::from_secs(2));
    let ports = deployment.ports;
    let mut by_themselves = 0;
    for entry in &mut deployment.entries {
        entry.signal(SIGTERM);
        let status = entry.wait()?;
        record.note(format!("{} has ended after SIGTERM: {status}", entry.name));
        entry.restart()?;
        let until = Instant::now() + START;
        while Instant::now() < until && !wait_ready(&entry.ip, ports, RESTART_DELAY) {
            if let Some(status) = entry.ended() {
                record.note(format!("{} has ended by itself: {status}", entry.name));
                by_themselves += 1;
                entry.restart()?;
            }
        }
    }
    thread::sleep(Duration::from_secs(2));
    let after = record.ms() - 2_000;
    let attempts = clients.stop();
    drop(deployment);
    let last: Vec<_> = attempts.iter().filter(|a| a.ms > after).collect();
    let served = last.iter().filter(|a| a.status == 200).count();
    let is_broken = by_themselves >= ENDS;
    let verdict = format!(
        "{}: processes ended by themselves {by_themselves} times; {served} of {} requests had success in the last two seconds",
        if is_broken { "Fault" } else { "no fault" },
        last.len(),
    );
    record.write(path, &verdict);
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

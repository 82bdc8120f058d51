//! Configurations come in quick succession while the configuration is large.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::world::{Clients, Deployment, Record, Store, configuration, route, start_servers};

/// `configApplyMs` and `maxStretchMs` of the settings. The store is sound all the while, so that the
/// first would do.
const APPLY_MS: u64 = 2_000;
const STRETCH_MS: u64 = 5_000;

/// Size of the configuration in bytes, below `valueBytes` of the settings (1,048,576).
const SIZE: usize = 1_000_000;

/// Number of configurations in the series and the time between them: `config_storm` with
/// `for_s = 1.5` and `gap_s = 0.06`.
const SERIES: u64 = 25;
const GAP: Duration = Duration::from_millis(60);

const AFTER: Duration = Duration::from_secs(30);

/// A configuration of [`SIZE`] bytes, whose route `/moving/` leads to `service`.
fn large(version: u64, service: &str) -> String {
    let timeout = r#","timeoutMs":1500,"public":true"#;
    let mut routes = vec![route("moving", "/moving/", service, "idempotent", timeout)];
    let mut total = 1_000;
    while total < SIZE {
        let name = format!("idle-{}", routes.len());
        let idle = route(&name, &format!("/{name}/"), "first", "idempotent", timeout);
        total += idle.len() + 1;
        routes.push(idle);
    }
    let tenant = r#"{"name":"t1","apiKeys":["k1"]}"#;
    configuration(version, &routes, &["first", "second"], "10000", tenant)
}

pub fn run(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    start_servers(&record, &store, "first", 2)?;
    start_servers(&record, &store, "second", 2)?;
    store.put("op/config", &large(3, "first"));
    let mut deployment = Deployment::start(&record, store.clone(), 3)?;
    let fronts = deployment.fronts();
    let clients = Clients::start(&record, &fronts, "read", "GET", "/moving/x", "k1");
    thread::sleep(Duration::from_secs(3));
    let mut version = 3;
    if trouble {
        for _ in 1..SERIES {
            version += 7;
            store.put("op/config", &large(version, "first"));
            thread::sleep(GAP);
        }
    }
    let ack = store.put("op/config", &large(version + 7, "second"));
    record.note("the route leads to `second` from now on".into());
    thread::sleep(AFTER);
    let attempts = clients.stop();
    let ended = deployment.ended(&record);
    drop(deployment);
    let runs = record.matching("run ");
    let mut by: HashMap<&str, bool> = HashMap::new();
    for line in &runs {
        let id = line.split(' ').nth(1).unwrap_or_default();
        by.insert(id, line.contains(" of first "));
    }
    let bound = APPLY_MS + STRETCH_MS;
    let late: Vec<_> = attempts.iter().filter(|a| a.ms > ack + bound).collect();
    let stale: Vec<u64> = late
        .iter()
        .filter(|a| by.get(a.id.as_str()) == Some(&true))
        .map(|a| a.ms - ack)
        .collect();
    let verdict = format!(
        "{}: of {} requests sent later than {bound} ms after the ack, {} were run by the service of an older configuration, the last one sent {} ms after the ack; {ended} processes ended",
        if stale.is_empty() { "CONFIG held" } else { "CONFIG broken" },
        late.len(),
        stale.len(),
        stale.iter().max().unwrap_or(&0)
    );
    record.write(path, &verdict);
    Ok(if stale.is_empty() { Outcome::Held } else { Outcome::Broken })
}

//! The operator writes numbers that are not digits alone: a share of the traffic as a decimal fraction,
//! and a time with a decimal point.

use std::collections::HashSet;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::world::{Clients, Deployment, Record, Store, configuration, route, split_route, start_servers};

/// `revokeMs` and `configApplyMs` of the settings.
const REVOKE_MS: u64 = 5_000;
const APPLY_MS: u64 = 2_000;

/// Time in which clients go on after the change.
const AFTER: Duration = Duration::from_secs(20);

/// The idle time limit becomes 7,500 ms, written as `7500.0`, in a configuration that also takes a key
/// away.
pub fn revoked_key(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    start_servers(&record, &store, "agenda", 2)?;
    let routes = [route("status", "/status/", "agenda", "idempotent", r#","timeoutMs":1500"#)];
    let both = r#"{"name":"t1","apiKeys":["kept"]},{"name":"t2","apiKeys":["taken"]}"#;
    let one = r#"{"name":"t1","apiKeys":["kept"]},{"name":"t2","apiKeys":[]}"#;
    store.put("op/config", &configuration(3, &routes, &["agenda"], "10000", both));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    let fronts = deployment.fronts();
    let kept = Clients::start(&record, &fronts, "kept", "GET", "/status/x", "kept");
    let taken = Clients::start(&record, &fronts, "taken", "GET", "/status/x", "taken");
    thread::sleep(Duration::from_secs(3));
    let idle = if trouble { "7500.0" } else { "7500" };
    let ack = store.put("op/config", &configuration(10, &routes, &["agenda"], idle, one));
    record.note(format!("idleTimeoutMs is {idle} from now on, and the key `taken` is gone"));
    thread::sleep(AFTER);
    let kept = kept.stop();
    let late: Vec<_> = taken.stop().into_iter().filter(|a| a.ms > ack + REVOKE_MS).collect();
    let ended = deployment.ended(&record);
    drop(deployment);
    let ran = ran(&record);
    let revoked = late.iter().filter(|a| ran.contains(&a.id)).count();
    let served = kept.iter().filter(|a| a.status == 200).count();
    let verdict = format!(
        "{}: of {} requests sent with the key later than {REVOKE_MS} ms after it was taken away, {revoked} were run; {served} of {} requests with the other key had success; {ended} processes ended",
        if revoked > 0 { "CONFIG broken" } else { "CONFIG held" },
        late.len(),
        kept.len(),
    );
    record.write(path, &verdict);
    Ok(if revoked > 0 { Outcome::Broken } else { Outcome::Held })
}

/// The route for orders sends half a percent of them to another service. A shorter prefix leads to a
/// third one.
pub fn wrong_service(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    for service in ["agenda", "next", "portal"] {
        start_servers(&record, &store, service, 2)?;
    }
    let timeout = r#","timeoutMs":1500"#;
    let services = ["agenda", "next", "portal"];
    let tenant = r#"{"name":"t1","apiKeys":["k1"]}"#;
    let config = |version, share: &str, rest: &str| {
        let split = format!(
            r#"{timeout},"trafficSplit":[{{"service":"agenda","weight":{rest}}},{{"service":"next","weight":{share}}}]"#
        );
        let routes = [
            route("pages", "/desk/", "portal", "idempotent", timeout),
            split_route("orders", "/desk/orders/", "non_idempotent", &split),
        ];
        configuration(version, &routes, &services, "10000", tenant)
    };
    store.put("op/config", &config(3, "0", "100"));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    let fronts = deployment.fronts();
    let orders = Clients::start(&record, &fronts, "order", "POST", "/desk/orders/x", "k1");
    thread::sleep(Duration::from_secs(3));
    let (share, rest) = if trouble { ("0.5", "99.5") } else { ("1", "99") };
    let ack = store.put("op/config", &config(10, share, rest));
    record.note(format!("the orders are split {rest} to {share} from now on"));
    thread::sleep(AFTER);
    let orders = orders.stop();
    let ended = deployment.ended(&record);
    drop(deployment);
    let runs = record.matching("run ");
    let strayed: HashSet<&str> = runs
        .iter()
        .filter(|line| line.contains(" of portal "))
        .filter_map(|line| line.split(' ').nth(1))
        .collect();
    let late = orders.iter().filter(|a| a.ms > ack + APPLY_MS).count();
    let strayed = orders.iter().filter(|a| strayed.contains(a.id.as_str())).count();
    let verdict = format!(
        "{}: of {} orders ({late} sent later than {APPLY_MS} ms after the ack), {strayed} were run by a service to which no configuration sends them; {ended} processes ended",
        if strayed > 0 { "ROUTE broken" } else { "ROUTE held" },
        orders.len(),
    );
    record.write(path, &verdict);
    Ok(if strayed > 0 { Outcome::Broken } else { Outcome::Held })
}

fn ran(record: &Record) -> HashSet<String> {
    let runs = record.matching("run ");
    runs.iter().filter_map(|line| line.split(' ').nth(1)).map(str::to_owned).collect()
}

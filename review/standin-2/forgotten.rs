//! An engine accepts an order late, after a piece has turned bad, and then all processes are killed.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::engine::{Engine, MODEL, services, start_origin};
use crate::world::{
    Clients, Deployment, HOST, Record, SIGCONT, SIGKILL, SIGSTOP, Store, raw_configuration, signal,
    split_route,
};

/// `node_freeze` of the class `side` with `for_s = 4.0`.
const FREEZE: Duration = Duration::from_secs(4);

/// Time from the start of the freeze until a piece turns bad (`garble` with `how` rot; one of 64).
const BEFORE_ROT: Duration = Duration::from_millis(200);

/// Time from the end of the freeze until all processes are killed, and until they start again
/// (`kill_all` with `down_s = 1.0`).
const BEFORE_KILL: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_secs(1);

pub fn run(trouble: bool, path: &Path) -> io::Result<Outcome> {
    let record = Record::new();
    let store = Store::start(&record)?;
    let origin = start_origin()?;
    let agent_pid: Arc<Mutex<u32>> = Arc::default();
    let frozen = Arc::new(AtomicBool::new(false));
    let (pid, began) = (agent_pid.clone(), frozen.clone());
    let engine = Engine::start(&record, &store, move |engine| {
        if !trouble {
            return;
        }
        engine.freeze(FREEZE);
        signal(*pid.lock().unwrap(), SIGSTOP);
        began.store(true, Ordering::SeqCst);
        let engine = engine.clone();
        thread::spawn(move || {
            thread::sleep(BEFORE_ROT);
            engine.spoil(12);
        });
    })?;
    let more = r#","timeoutMs":6000,"service":"drafts","sticky":true,"resumable":true,"gapTargetMs":300,"public":true"#;
    let routes = [split_route("drafts", "/drafts/", "streaming", more)];
    store.put("op/config", &raw_configuration(3, &routes, &services(origin)));
    let mut deployment = Deployment::start(&record, store.clone(), 2)?;
    deployment.start_agent(&record, engine.address, "drafts")?;
    let agent = deployment.agents[0].pid();
    *agent_pid.lock().unwrap() = agent;
    let fronts = deployment.fronts();
    let clients = Clients::start_drafts(&record, &fronts, MODEL);
    thread::sleep(Duration::from_secs(3));
    store.put(&format!("op/version/{MODEL}"), &format!(r#"{{"model":"{MODEL}","version":2}}"#));
    if trouble {
        let mut waited = 0;
        while !frozen.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            waited += 1;
            if waited > 1_500 {
                return Err(io::Error::other("no order was sent"));
            }
        }
        thread::sleep(FREEZE);
        signal(agent, SIGCONT);
        record.note("the machine goes on".into());
        thread::sleep(BEFORE_KILL);
        record.note("all processes of the system are killed".into());
        for process in deployment.agents.iter().chain(&deployment.entries) {
            process.signal(SIGKILL);
        }
        thread::sleep(DOWN);
        for process in deployment.agents.iter_mut().chain(&mut deployment.entries) {
            process.restart()?;
        }
    }
    thread::sleep(Duration::from_secs(15));
    let attempts = clients.stop();
    deployment.ended(&record);
    drop(deployment);
    let runs = record.matching("run ");
    let second = runs.iter().filter(|line| line.contains("with version 2")).count();
    let spoilt = runs.iter().filter(|line| line.contains("SPOILT")).count();
    let served = attempts.iter().filter(|a| a.status == 200).count();
    if second == 0 {
        record.write(path, "version 2 was never served");
        return if trouble { Ok(Outcome::Held) } else { Err(io::Error::other("version 2 was never served")) };
    }
    let verdict = format!(
        "{}: of {second} streams of version 2, {spoilt} were made with a layer that was taken over 3 s after one of its pieces had turned bad; {served} of {} requests to {HOST} had success",
        if spoilt > 0 { "WHOLE broken" } else { "WHOLE held" },
        attempts.len(),
    );
    record.write(path, &verdict);
    Ok(if spoilt > 0 { Outcome::Broken } else { Outcome::Held })
}

//! An agent freezes while it stages pieces, and one that lies at the engine turns bad meanwhile.

use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{freeze, wake};
use crate::http::call;
use crate::server::{ENGINE_ZONE, Engine, Identity, MODEL, PIECES, serve_origin};
use crate::world::{ENGINES, KEY, World, prompt, request};

/// For how long the agent stands still.
const FREEZE: Duration = Duration::from_secs(4);

/// Time from the start of the freeze until a piece turns bad.
const BEFORE_ROT: Duration = Duration::from_millis(300);

/// Time that the engine takes to store a piece, beside its other work.
const PUT_TIME: Duration = Duration::from_millis(20);

/// For how long requests are sent after the new version was named.
const WATCHED: Duration = Duration::from_secs(20);

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    world.configure(7, &[KEY]);
    let side = world.side(0);
    let (listener, at) = world.listen(31, 8001)?;
    let (frozen, freezes) = mpsc::channel();
    let agent_id = Arc::new(AtomicI32::new(0));
    // Any place in the staging does.
    let freeze_after = 8 + std::process::id() % (PIECES - 16);
    let frozen_agent = agent_id.clone();
    let on_put = move |stored: u32| {
        if trouble && stored == freeze_after {
            freeze(frozen_agent.load(Ordering::Relaxed));
            let _ = frozen.send(stored);
        }
    };
    let own = Identity::new("i-7f3a91e0", ENGINES, at, ENGINE_ZONE);
    let engine = Engine::new(own, world.record.clone(), Some(1)).with_puts(PUT_TIME, on_put);
    engine.start(listener, &world.store);
    let (origin, _) = world.listen(71, 8006)?;
    serve_origin(origin, world.record.clone(), |_, text| text);
    let entries = world.start_entries(1)?;
    let agent = world.start(&side);
    agent_id.store(agent.id(), Ordering::Relaxed);
    let front = entries[0].machine.front();
    let mut number = 0;
    let mut send = || {
        number += 1;
        let id = format!("draft-{number}");
        let head = request("POST", "/draft/span/7", &id, KEY, 6_000, &prompt(900));
        let reply = call(front, &head, b"", Duration::from_secs(7), None).unwrap_or_default();
        world.record.add(format!(
            "answer {} to {id}, complete: {}, version {:?}",
            reply.status,
            reply.complete,
            reply.header("weight-versions")
        ));
        reply.status == 200 && reply.complete
    };
    thread::sleep(Duration::from_secs(2));
    if !send() {
        return Err("no request is served at the start".to_owned());
    }

    world.record.add("the operator names version 2");
    world.store.put(
        &format!("op/version/{MODEL}"),
        &format!(r#"{{"model":"{MODEL}","version":2}}"#),
    );
    let named = world.record.now();
    if trouble {
        let stored = freezes
            .recv_timeout(WATCHED)
            .map_err(|_| "the agent stages nothing")?;
        world.record.add(format!(
            "the agent freezes after {stored} pieces were stored"
        ));
        thread::sleep(BEFORE_ROT);
        engine.spoil(stored / 2);
        thread::sleep(FREEZE - BEFORE_ROT);
        wake(agent.id());
        world.record.add("the agent wakes");
    }
    let mut served = 0;
    while world.record.now() < named + WATCHED {
        served += u32::from(send() && engine.version() == Some(2));
        thread::sleep(Duration::from_millis(200));
    }
    if served == 0 {
        return Err("version 2 is never served".to_owned());
    }
    let broken = engine.broken.load(Ordering::Relaxed);
    let seen = format!(
        "{served} streams were served by version 2; made with a layer of a spoilt piece that had turned bad over 3 s before it was taken: {broken}"
    );
    Ok(Verdict {
        held: !broken,
        seen,
    })
}

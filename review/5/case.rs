//! The origin's first answer with the digests of the weights is corrupted in one digit.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::call;
use crate::server::{ENGINE_ZONE, Engine, Identity, serve_origin};
use crate::world::{ENGINES, KEY, World, prompt, request};

/// For how long requests are sent, one a second.
const WATCHED: Duration = Duration::from_secs(60);

/// Place in the text from which on a decimal digit of a digest is changed.
const SPOILT_FROM: usize = 400;

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    world.configure(7, &[KEY]);
    let side = world.side(0);
    let (listener, at) = world.listen(31, 8001)?;
    let own = Identity::new("i-7f3a91e0", ENGINES, at, ENGINE_ZONE);
    let engine = Engine::new(own, world.record.clone(), None);
    engine.start(listener, &world.store);
    let (origin, _) = world.listen(71, 8006)?;
    serve_origin(origin, world.record.clone(), move |count, text| {
        if trouble && count == 1 {
            spoil(&text)
        } else {
            text
        }
    });
    let _agent = world.start(&side);
    let entries = world.start_entries(1)?;
    let front = entries[0].machine.front();
    let started = world.record.now();
    let mut sent = 0;
    while world.record.now() < started + WATCHED {
        sent += 1;
        let id = format!("draft-{sent}");
        let head = request("POST", "/draft/span/7", &id, KEY, 6_000, &prompt(900));
        let reply = call(front, &head, b"", Duration::from_secs(7), None).unwrap_or_default();
        world.record.add(format!("answer {} to {id}", reply.status));
        thread::sleep(Duration::from_secs(1));
    }
    let served = engine.runs.load(Ordering::Relaxed);
    let seen = format!(
        "{served} of {sent} requests were served; version at the engine: {:?}",
        engine.version()
    );
    Ok(Verdict {
        held: served > 0,
        seen,
    })
}

/// Flips the lowest bit of one decimal digit of a digest.
fn spoil(text: &str) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let place = (SPOILT_FROM..bytes.len()).find(|at| bytes[*at].is_ascii_digit());
    if let Some(place) = place {
        bytes[place] ^= 1;
    }
    String::from_utf8(bytes).unwrap_or_else(|_| text.to_owned())
}

//! Requests whose prompt is far larger than an engine's memory come at the entries.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::call;
use crate::server::{ENGINE_ZONE, Engine, Identity};
use crate::world::{ENGINES, KEY, World, prompt, request};

/// Number of prompt tokens that the client states.
const HUGE: u64 = 1_000_000_000_000_000;
const USUAL: u64 = 900;

/// How often the client comes, the pause between, and the attempts each time.
const TIMES: u32 = 8;
const PAUSE: Duration = Duration::from_secs(5);
const ATTEMPTS: usize = 2;

/// Delay after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_secs(1);

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    world.configure(7, &[KEY]);
    for number in 0..2 {
        let (listener, at) = world.listen(31 + number, 8001)?;
        let own = Identity::new(&format!("i-7f3a91e{number}"), ENGINES, at, ENGINE_ZONE);
        Engine::new(own, world.record.clone(), Some(1)).start(listener, &world.store);
    }
    let mut entries = world.start_entries(3)?;
    let mut ends = vec![0_u32; entries.len()];
    let tokens = if trouble { HUGE } else { USUAL };
    thread::sleep(Duration::from_secs(3));
    for time in 0..TIMES {
        for attempt in 0..ATTEMPTS {
            let at = (time as usize + attempt) % entries.len();
            let id = format!("draft-{time}-{attempt}");
            let head = request("POST", "/draft/span/7", &id, KEY, 6_000, &prompt(tokens));
            let front = entries[at].machine.front();
            let reply = call(front, &head, b"", Duration::from_secs(7), None);
            let name = &entries[at].machine.name;
            match &reply {
                Ok(reply) => world
                    .record
                    .add(format!("answer {} to {id} from {name}", reply.status)),
                Err(error) => world
                    .record
                    .add(format!("no answer to {id} from {name}: {error}")),
            }
            if reply.is_ok() {
                break;
            }
        }
        thread::sleep(RESTART);
        for (daemon, count) in entries.iter_mut().zip(&mut ends) {
            if let Some(status) = daemon.ended() {
                *count += 1;
                world.record.add(format!(
                    "{} has ended by itself: {status}",
                    daemon.machine.name
                ));
                daemon.restart(&world.root);
            }
        }
        thread::sleep(PAUSE - RESTART);
    }
    let often = ends.iter().filter(|count| **count >= 3).count();
    let seen = format!("processes that ended by themselves, by machine: {ends:?}");
    Ok(Verdict {
        held: often < 2,
        seen,
    })
}

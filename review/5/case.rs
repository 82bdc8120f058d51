//! Requests whose prompt is far larger than an engine's memory come at the entries.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{answer, call};
use crate::server::{ENGINE_ZONE, Engine, Identity, Run, sealed};
use crate::world::{ENGINES, KEY, World, prompt, request};

/// Number of prompt tokens that the client states.
const HUGE: u64 = 1_000_000_000_000_000;
const USUAL: u64 = 900;

/// How often the client comes, the pause between, and the attempts each time.
const TIMES: u32 = 8;
const PAUSE: Duration = Duration::from_secs(5);
const ATTEMPTS: usize = 2;

/// Time that a server works on a booking of another client, and the head start of the booking.
const WORK: Duration = Duration::from_millis(600);
const BEFORE: Duration = Duration::from_millis(200);

/// Delay after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_secs(1);

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    world.configure(7, &[KEY]);
    for number in 0..2 {
        let (listener, at) = world.listen(31 + number, 8001)?;
        let own = Identity::new(&format!("i-7f3a91e{number}"), ENGINES, at, ENGINE_ZONE);
        Engine::new(own, world.record.clone(), Some(1)).start(listener, &world.store);
    }
    let run: Run = Arc::new(|request, stream| {
        thread::sleep(WORK);
        answer(stream, "200 OK", &sealed(request), b"booked")
    });
    world.start_plain(3, &run)?;
    let mut entries = world.start_entries(3)?;
    let mut ends = vec![0_u32; entries.len()];
    let tokens = if trouble { HUGE } else { USUAL };
    thread::sleep(Duration::from_secs(3));
    let mut lost = 0;
    for time in 0..TIMES {
        let front = entries[time as usize % entries.len()].machine.front();
        let record = world.record.clone();
        let booking = thread::spawn(move || {
            let id = format!("book-{time}");
            let more = "Content-Length: 0\r\n";
            let head = request("POST", "/book/span/7", &id, KEY, 6_000, more);
            let reply = call(front, &head, b"", Duration::from_secs(7), None);
            let status = reply.map_or(0, |r| r.status);
            record.add(format!("answer {status} to {id}"));
            status
        });
        thread::sleep(BEFORE);
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
        lost += u32::from(booking.join().unwrap_or(0) == 0);
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
    let seen = format!(
        "processes that ended by themselves, by machine: {ends:?}; bookings of others that got no answer: {lost} of {TIMES}"
    );
    Ok(Verdict {
        held: often < 2,
        seen,
    })
}

//! The open channels to the store go silent, and some seconds later a server leaves.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{answer, call};
use crate::server::{Run, sealed};
use crate::world::{KEY, World, request};

/// `contactMs` and `drainMs` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(2);

/// Time from the silence until a server leaves: all machines are in touch again.
const BEFORE_LEAVING: Duration = Duration::from_millis(3_200);

/// For how long requests are sent after that, and the pause of a client between two.
const WATCHED: Duration = Duration::from_secs(14);
const PAUSE: Duration = Duration::from_millis(20);

/// Number of servers, and of clients at each entry.
const SERVERS: u8 = 4;
const CLIENTS: usize = 4;

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(60);

/// A request that a server ran: the server, and when the client sent it.
type Runs = Arc<Mutex<Vec<(String, Duration)>>>;

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    let runs = Runs::default();
    let log = runs.clone();
    let run: Run = Arc::new(move |request, stream| {
        let sent = request
            .header("x-sent-ms")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let server = request
            .header("expect-instance")
            .unwrap_or_default()
            .to_owned();
        log.lock()
            .expect("no holder panics")
            .push((server, Duration::from_millis(sent)));
        thread::sleep(WORK);
        answer(stream, "200 OK", &sealed(request), b"span 7: clear")
    });
    world.configure(7, &[KEY]);
    let servers = world.start_plain(SERVERS, &run)?;
    let entries = world.start_entries(3)?;
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..entries.len() * CLIENTS)
        .map(|number| {
            let front = entries[number % entries.len()].machine.front();
            let (record, ended) = (world.record.clone(), ended.clone());
            thread::spawn(move || {
                for turn in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("read-{number}-{turn}");
                    let more = format!("X-Sent-Ms: {}\r\n", record.now().as_millis());
                    let head = request("GET", "/read/span/7", &id, KEY, 1_500, &more);
                    let reply = call(front, &head, b"", Duration::from_secs(3), None);
                    let status = reply.map_or(0, |r| r.status);
                    if status != 200 {
                        record.add(format!("answer {status} to {id}"));
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    // The last change of the store lies back for longer than a watch lasts.
    thread::sleep(CONTACT * 2);
    if trouble {
        world
            .record
            .add("the open channels to the store go silent; new ones work");
        world.store.silence_channels();
    }
    thread::sleep(BEFORE_LEAVING);

    let mut used: BTreeMap<String, usize> = BTreeMap::new();
    for (server, _) in runs.lock().expect("no holder panics").iter() {
        *used.entry(server.clone()).or_default() += 1;
    }
    let most = servers
        .iter()
        .max_by_key(|s| used.get(&s.id))
        .ok_or("no server")?;
    let revision = most.leave(&world.store);
    let acknowledged = world.record.now();
    world.record.add(format!(
        "{} reports that it leaves: acknowledged at revision {revision:?}",
        most.id
    ));
    thread::sleep(WATCHED);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().expect("no holder panics");
    let since = |sent: &Duration| sent.saturating_sub(acknowledged);
    let after = runs.iter().filter(|(_, sent)| since(sent) > DRAIN);
    let late: Vec<_> = after
        .clone()
        .filter(|(server, _)| *server == most.id)
        .collect();
    let last = late
        .iter()
        .map(|(_, sent)| since(sent))
        .max()
        .unwrap_or_default();
    let seen = format!(
        "{} of {} requests that were sent over drainMs after the ack reached the server that leaves, the last {:.1} s after it",
        late.len(),
        after.count(),
        last.as_secs_f64()
    );
    Ok(Verdict {
        held: late.is_empty(),
        seen,
    })
}

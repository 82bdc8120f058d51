//! A server that sends bytes without end, and callers that send large bodies or do not read, at an
//! entry whose memory is limited.
//!
//! The entry is a real process, the store and the servers are stand-ins.
//! `cargo test -p apricotd --test memory -- --nocapture` prints the memory that it took.

#[allow(dead_code, reason = "no test uses all of it")]
#[path = "machines/entries.rs"]
mod entries;
#[allow(dead_code, unused_imports, reason = "no test uses all of it")]
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;
#[allow(dead_code, reason = "no test uses all of it")]
#[path = "departures/world.rs"]
mod world;

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use standin::{Action, KEY, Request, Script, ServerLog, listen, serve};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use world::World;

/// Memory of the VM in kB, as the settings state it. The platform ends a process that takes more.
const MEMORY_KB: u64 = 260 * 1_024;

/// Usual callers, and connections of those that send much or do not read.
const CALLERS: usize = 48;
const HEAVY_CALLERS: usize = 50;

/// Servers that answer as usual.
const SERVERS: usize = 2;

/// For how long bytes are sent.
const FLOOD_TIME: Duration = Duration::from_secs(5);

/// Cases that run at once; each sends as many bytes as the entry takes.
static SLOTS: Semaphore = Semaphore::const_new(3);

/// Size of a body of a heavy caller in bytes, the largest that is allowed.
const BODY_BYTES: usize = 4 << 20;

const BLOCK: usize = 64 << 10;

static BYTES: LazyLock<String> = LazyLock::new(|| "a".repeat(BLOCK));
static CHUNK: LazyLock<String> = LazyLock::new(|| format!("{BLOCK:x}\r\n{}\r\n", *BYTES));
static EVENT: LazyLock<String> = LazyLock::new(|| {
    let event = format!("data: {}\n\n", "a".repeat(BLOCK / 2));
    format!("{:x}\r\n{event}\r\n", event.len())
});

fn head(request: &Request, status: &str, more: &str) -> String {
    let id = request.attempt();
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n{more}\r\n\r\n")
}

const CHUNKED: &str = "Transfer-Encoding: chunked";

/// What the heavy callers do.
#[derive(Clone, Copy, PartialEq)]
enum Heavy {
    /// There are none.
    Nothing,
    /// They send large bodies.
    Send,
    /// They ask for streams and do not read them.
    Ask,
}

macro_rules! floods {
    ($($(#[doc = $guards:literal])* $case:ident: $heavy:ident, $flood:expr;)*) => {
        $($(#[doc = $guards])* #[tokio::test(flavor = "multi_thread")] async fn $case() {
            run(stringify!($case), Heavy::$heavy, $flood).await;
        })*
    };
}

/// Registers a server that follows `script`.
async fn start_server(world: &World, script: Script) {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, script, ServerLog::default()));
    world.store.put_server("i-flood", address, "ready");
}

/// A caller that sends a large body, or asks for a stream, and reads nothing.
async fn heavy_caller(at: SocketAddr, number: usize, heavy: Heavy) {
    let (method, path, length) = match heavy {
        Heavy::Send => ("POST", "/book/1", BODY_BYTES),
        Heavy::Ask | Heavy::Nothing => ("GET", "/draft/1", 0),
    };
    for turn in 0.. {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: h{number}-{turn}\r\n\
             X-Api-Key: {KEY}\r\nDeadline-Ms: 5000\r\nContent-Length: {length}\r\n\r\n"
        );
        if let Ok(mut stream) = TcpStream::connect(at).await {
            // The entry may refuse the body before it is sent.
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'b'; length]).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

async fn run(case: &str, heavy: Heavy, script: Script) {
    let _slot = SLOTS.acquire().await.expect("never closed");
    let mut world = World::start(case, &["a", "a"], SERVERS).await;
    start_server(&world, script).await;
    world.start_callers(0, CALLERS);
    let at = world.entries.caller_addresses()[0];
    let count = if heavy == Heavy::Nothing {
        0
    } else {
        HEAVY_CALLERS
    };
    let callers: Vec<JoinHandle<()>> = (0..count)
        .map(|number| tokio::spawn(heavy_caller(at, number, heavy)))
        .collect();
    tokio::time::sleep(FLOOD_TIME).await;
    let peak = world.entries.peak_memory(0);
    println!("{case}: {peak} kB of {MEMORY_KB}");
    for caller in callers {
        caller.abort();
    }
    let violation = (peak > MEMORY_KB).then(|| format!("the entry took {peak} kB"));
    world.finish(&Vec::from_iter(violation)).await;
}

const USUAL: Script = |request, _| Action::Send(standin::answer(request, "200 OK", "fine"));

floods! {
    /// Guards against an entry that the platform ends, as it kept all that a faulty server sent.
    whole_answers_without_end: Nothing, |r, _| Action::Flood(head(r, "200 OK", CHUNKED), &CHUNK);
    whole_answers_without_length: Nothing, |r, _| Action::Flood(head(r, "200 OK", "Connection: close"), &BYTES);
    whole_answers_of_a_huge_length: Nothing, |r, _| Action::Flood(head(r, "200 OK", "Content-Length: 99999999999"), &BYTES);
    whole_answers_in_small_chunks: Nothing, |r, _| Action::Flood(head(r, "200 OK", CHUNKED), "4\r\naaaa\r\n");
    failures_without_end: Nothing, |r, _| Action::Flood(head(r, "500 Failed", CHUNKED), &CHUNK);
    failures_without_a_seal: Nothing, |r, _| Action::Flood(head(r, "500 Failed", CHUNKED).replace("Response-Seal", "X"), &CHUNK);
    heads_of_many_lines: Nothing, |_, _| Action::Flood("HTTP/1.1 200 OK\r\n".into(), "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
    heads_of_one_line: Nothing, |_, _| Action::Flood("HTTP/1.1 200 OK\r\nX-More: ".into(), &BYTES);
    bytes_without_a_status_line: Nothing, |_, _| Action::Flood(String::new(), &BYTES);
    trailers_without_end: Nothing, |r, _| Action::Flood(head(r, "200 OK", CHUNKED) + "0\r\n", "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
    /// Guards against events that pile up for callers which do not read.
    events_that_nobody_reads: Ask, |r, _| Action::Flood(head(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"), &EVENT);
    one_event_without_end: Ask, |r, _| Action::Flood(head(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"), &CHUNK);
    /// Guards against an entry that the platform ends, as it kept the bodies of all callers.
    large_bodies_of_many_callers: Send, USUAL;
}

//! Callers that read streams slowly, and a server that reads bodies slowly, at an entry whose memory
//! is limited.
//!
//! The entry is a real process, the store and the servers are stand-ins.
//! `cargo test -p apricotd --test slow_readers -- --nocapture` prints the memory that it took.

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
use std::time::{Duration, Instant};

use standin::{Action, KEY, Script, ServerLog, listen, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use world::World;

/// Memory of the VM in kB, as the settings state it. The platform ends a process that takes more.
const MEMORY_KB: u64 = 260 * 1_024;

/// Usual callers.
const CALLERS: usize = 8;

/// Callers that read slowly, and callers whose bodies are read slowly.
const SLOW_READERS: usize = 600;
const SLOW_BODIES: usize = 60;

/// Servers with streams, and how many streams must have begun for the case to show anything.
const STREAM_SERVERS: usize = 60;
const MIN_STREAMS: u32 = 300;

/// Servers that read slowly beside those with streams.
const SLOW_SERVERS: usize = 20;

/// Bytes that a slow caller reads at once, and the pause after it.
const READ_BYTES: usize = 4;
const READ_PAUSE: Duration = Duration::from_secs(1);

/// Receive buffer of a slow caller, in bytes.
const RECEIVE_BUFFER: u32 = 16 << 10;

/// Size of a body that is read slowly, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// Time within which a stream whose caller does not keep up is cancelled: the write time-out of the
/// entry, and a margin for a busy machine.
const CANCEL_LIMIT: Duration = Duration::from_secs(16);

/// Part of the usual requests that may fail beside slow ones on a busy machine, as a divisor.
const FAILED_DIVISOR: u32 = 20;

/// Runs the cases one after another.
static SLOTS: Semaphore = Semaphore::const_new(1);

/// Size of an event in bytes; a body of this size is always accepted.
const EVENT_BYTES: usize = 15 << 10;

static EVENT: LazyLock<String> = LazyLock::new(|| {
    let event = format!("data: {}\n\n", "a".repeat(EVENT_BYTES));
    format!("{:x}\r\n{event}\r\n", event.len())
});

/// A stream without end.
const STREAM: Script = |request, _| {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        request.attempt()
    );
    if request.line.contains("/draft/") {
        return Action::Flood(head, &EVENT);
    }
    Action::Send(standin::answer(request, "200 OK", "fine"))
};

/// Connects with a small receive buffer.
async fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(at).await
}

/// Asks for a stream and reads it slowly until the entry ends it.
async fn slow_reader(at: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = connect(at).await?;
    let head = format!(
        "GET /draft/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: s{number}\r\n\
         X-Api-Key: {KEY}\r\nDeadline-Ms: 3000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut bytes = [0; READ_BYTES];
    while stream.read(&mut bytes).await? > 0 {
        tokio::time::sleep(READ_PAUSE).await;
    }
    Ok(())
}

/// Sends a large body and waits for the answer.
async fn large_body(at: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    let head = format!(
        "POST /book/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b{number}\r\n\
         X-Api-Key: {KEY}\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    // The entry may refuse the body before all of it is sent.
    let _ = stream.write_all(&vec![b'b'; BODY_BYTES]).await;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}

/// A server that reads a few bytes of each request at a time and never answers.
async fn read_slowly(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut bytes = [0; 1_024];
            while matches!(stream.read(&mut bytes).await, Ok(1..)) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
}

/// Checks the memory of the entry, and that the usual callers were served meanwhile.
async fn finish(case: &str, world: World, mut violations: Vec<String>) {
    let peak = world.entries.peak_memory(0);
    let served = world.requests.served();
    let failed = world.requests.failed.lock().expect("no panic").clone();
    println!(
        "{case}: {peak} kB of {MEMORY_KB}, {served} served, {} not",
        failed.len()
    );
    if peak > MEMORY_KB {
        violations.push(format!("the entry took {peak} kB"));
    }
    if failed.len() > (served / FAILED_DIVISOR) as usize {
        violations.push(format!(
            "{} of usual requests failed: {:?}",
            failed.len(),
            failed.last()
        ));
    }
    world.finish(&violations).await;
}

/// Guards against an entry that the platform ends, as it holds events for all callers that do not
/// keep up, and against streams that go on for them.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_end_alone() {
    let _slot = SLOTS.acquire().await.expect("never closed");
    let mut world = World::start("slow_callers_end_alone", &["a", "a"], 2).await;
    let log = ServerLog::default();
    for number in 0..STREAM_SERVERS {
        let (listener, address) = listen().await;
        tokio::spawn(serve(listener, STREAM, log.clone()));
        let id = format!("i-stream-{number}");
        world.store.put_server(&id, address, "ready");
    }
    world.start_callers(0, CALLERS);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let at = world.entries.caller_addresses()[0];
    let callers: Vec<JoinHandle<_>> = (0..SLOW_READERS)
        .map(|number| tokio::spawn(slow_reader(at, number)))
        .collect();
    let begun = Instant::now();
    let streams = || {
        let requests = log.requests();
        let streams = requests.iter().filter(|r| r.line.contains("/draft/"));
        u32::try_from(streams.count()).expect("few")
    };
    let mut violations = Vec::new();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let started = streams();
    while log.disconnects() < streams() {
        if begun.elapsed() > CANCEL_LIMIT {
            violations.push(format!(
                "{} of {} streams cancelled",
                log.disconnects(),
                streams()
            ));
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{started} streams, cancelled after {:?}", begun.elapsed());
    if started < MIN_STREAMS {
        violations.push(format!("only {started} streams were started"));
    }
    for caller in callers {
        caller.abort();
    }
    finish("slow_callers_end_alone", world, violations).await;
}

/// Guards against an entry that the platform ends, as what it holds for slow callers and for a server
/// that reads slowly is bounded only for each of them.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_and_a_slow_server_fit_the_memory_together() {
    let case = "slow_callers_and_a_slow_server";
    let _slot = SLOTS.acquire().await.expect("never closed");
    let mut world = World::start(case, &["a", "a"], 2).await;
    for number in 0..STREAM_SERVERS {
        let (listener, address) = listen().await;
        tokio::spawn(serve(listener, STREAM, ServerLog::default()));
        let id = format!("i-stream-{number}");
        world.store.put_server(&id, address, "ready");
    }
    for number in 0..SLOW_SERVERS {
        let (listener, address) = listen().await;
        tokio::spawn(read_slowly(listener));
        let id = format!("i-slow-{number}");
        world.store.put_server(&id, address, "ready");
    }
    world.start_callers(0, CALLERS);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let at = world.entries.caller_addresses()[0];
    let mut callers: Vec<JoinHandle<_>> = (0..SLOW_READERS)
        .map(|number| tokio::spawn(slow_reader(at, number)))
        .collect();
    callers.extend((0..SLOW_BODIES).map(|number| tokio::spawn(large_body(at, number))));
    tokio::time::sleep(Duration::from_secs(6)).await;
    for caller in callers {
        caller.abort();
    }
    finish(case, world, Vec::new()).await;
}

/// Guards against an entry that the platform ends, as it holds bodies for a server that does not
/// read them.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_reads_bodies_slowly_delays_nobody_else() {
    let case = "a_server_that_reads_bodies_slowly";
    let _slot = SLOTS.acquire().await.expect("never closed");
    let mut world = World::start(case, &["a", "a"], 2).await;
    let (listener, address) = listen().await;
    tokio::spawn(read_slowly(listener));
    world.store.put_server("i-slow", address, "ready");
    world.start_callers(0, CALLERS);
    let at = world.entries.caller_addresses()[0];
    let callers: Vec<JoinHandle<_>> = (0..SLOW_BODIES)
        .map(|number| tokio::spawn(large_body(at, number)))
        .collect();
    let begun = Instant::now();
    let mut violations = Vec::new();
    for caller in callers {
        let left = CANCEL_LIMIT.saturating_sub(begun.elapsed());
        if tokio::time::timeout(left, caller).await.is_err() {
            violations.push("a request has not ended".to_owned());
        }
    }
    println!("{case}: all ended after {:?}", begun.elapsed());
    finish(case, world, violations).await;
}

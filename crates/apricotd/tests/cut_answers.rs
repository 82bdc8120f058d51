//! Entries that are stopped while callers still read their answers.
//!
//! The entry is a real process, the store and the server are stand-ins.
//! `cargo test -p apricotd --test cut_answers -- --nocapture` prints how long each stop took.

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
use std::time::{Duration, Instant};

use standin::{Action, KEY, Script, ServerLog, answer, listen, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use world::World;

/// Time after a termination signal at which the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);

/// Time within which a stopped entry that has nothing left to send must be gone.
const IDLE_STOP_LIMIT: Duration = Duration::from_secs(4);

/// Time from the requests to the signal.
const BEFORE_STOP: Duration = Duration::from_millis(300);

/// Time from the last byte that a caller reads until the process of the entry must be gone.
const END_LIMIT: Duration = Duration::from_secs(1);

/// Receive buffer of a caller in bytes; the rest of an answer waits at the entry.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// Bytes that a caller's kernel may hold: Linux doubles the size that is set.
const HELD_BY_CALLER: usize = 2 * RECEIVE_BUFFER as usize;

/// Sizes of answers in bytes: more than a send buffer holds, and less.
const LARGE: usize = 12 << 20;
const MEDIUM: usize = 2 << 20;
const SMALL: usize = 4;

/// Answers around the size of what an entry and its kernel hold for a connection, in bytes, each at
/// an entry of its own.
const ENTRIES: usize = 8;
const SIZE_STEP: usize = 90_000;
const SMALLEST: usize = 5_000_000;

const LARGE_ANSWER: Script =
    |request, _| Action::Send(answer(request, "200 OK", &"l".repeat(LARGE)));
const MEDIUM_ANSWER: Script =
    |request, _| Action::Send(answer(request, "200 OK", &"m".repeat(MEDIUM)));
const SMALL_ANSWER: Script =
    |request, _| Action::Send(answer(request, "200 OK", &"s".repeat(SMALL)));

const ANSWER_BY_NUMBER: Script = |request, _| {
    let number = request.attempt().trim_start_matches('c').parse();
    let size = SMALLEST + SIZE_STEP * number.unwrap_or(0);
    Action::Send(answer(request, "200 OK", &"n".repeat(size)))
};

/// What a caller has received.
struct Received {
    /// Bytes of the body, and how many it has.
    body: usize,
    size: usize,
    /// Time of the last read at which more than the caller's own buffer was missing.
    from_entry: Instant,
    /// The connection, which is kept open as a pool of a client does.
    connection: TcpStream,
}

/// Sends a booking and reads the answer of `size` bytes with `rate` bytes a second.
async fn call(at: SocketAddr, id: String, size: usize, rate: usize) -> Received {
    let socket = TcpSocket::new_v4().expect("a socket");
    let set = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    set.expect("a receive buffer");
    let mut connection = socket.connect(at).await.expect("connects");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
         Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.expect("sends");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(connection.read_u8().await.expect("an answer"));
    }
    assert!(head.starts_with(b"HTTP/1.1 200"), "{head:?}");
    let mut received = Received {
        body: 0,
        size,
        from_entry: Instant::now(),
        connection,
    };
    let begun = tokio::time::Instant::now();
    let mut block = vec![0; rate / 100];
    while received.body < size {
        // A cut connection shows as a body that is too short.
        let count = received.connection.read(&mut block).await.unwrap_or(0);
        if count == 0 {
            break;
        }
        received.body += count;
        if size - received.body > HELD_BY_CALLER {
            received.from_entry = Instant::now();
        }
        let share = u32::try_from(received.body).expect("small");
        let due = f64::from(share) / f64::from(u32::try_from(rate).expect("small"));
        tokio::time::sleep_until(begun + Duration::from_secs_f64(due)).await;
    }
    received
}

/// Entries, their server and their callers.
struct Stop {
    world: World,
    entries: usize,
    callers: Vec<JoinHandle<Received>>,
}

/// How a stop went.
struct Outcome {
    received: Vec<Received>,
    signal: Instant,
    ends: Vec<Instant>,
}

impl Stop {
    async fn start(case: &str, entries: usize, script: Script) -> Self {
        let world = World::start(case, &vec!["a"; entries + 1], 0).await;
        let (listener, address) = listen().await;
        tokio::spawn(serve(listener, script, ServerLog::default()));
        world.store.put_server("i-large", address, "ready");
        tokio::time::sleep(Duration::from_secs(1)).await;
        Self {
            world,
            entries,
            callers: Vec::new(),
        }
    }

    /// Starts `count` callers, in turn at each entry.
    fn call(&mut self, count: usize, size: impl Fn(usize) -> usize, rate: usize) {
        let at = self.world.entries.caller_addresses();
        let calls = (0..count).map(|n| {
            let id = format!("c{n}");
            tokio::spawn(call(at[n % self.entries], id, size(n), rate))
        });
        self.callers.extend(calls);
    }

    /// Stops the entries and waits for their ends and for the callers.
    async fn finish(mut self, case: &str) -> Outcome {
        tokio::time::sleep(BEFORE_STOP).await;
        let signal = Instant::now();
        let stops = (0..self.entries).map(|n| self.world.entries.stop(n, GRACE));
        let ends = futures::future::join_all(stops.collect::<Vec<_>>()).await;
        let took: Vec<_> = ends.iter().map(|end| *end - signal).collect();
        println!("{case}: stopped after {took:?}");
        let mut received = Vec::new();
        for caller in self.callers {
            received.push(caller.await.expect("a caller"));
        }
        self.world.entries.close().await;
        Outcome {
            received,
            signal,
            ends,
        }
    }
}

impl Outcome {
    /// Every answer is whole, and the entry has lasted until it was received.
    fn assert_whole(&self) {
        let cut = self.received.iter().filter(|r| r.body < r.size);
        let cut: Vec<_> = cut.map(|r| (r.body, r.size)).collect();
        let all = self.received.len();
        assert!(cut.is_empty(), "{} of {all} cut: {cut:?}", cut.len());
        for (number, received) in self.received.iter().enumerate() {
            let early = received
                .from_entry
                .saturating_duration_since(self.end(number));
            assert!(
                early.is_zero(),
                "ended {early:?} before answer {number} was received"
            );
        }
    }

    /// End of the entry of a caller.
    fn end(&self, caller: usize) -> Instant {
        self.ends[caller % self.ends.len()]
    }

    /// Time until the last entry had ended.
    fn took(&self) -> Duration {
        let last = self.ends.iter().max().expect("entries");
        *last - self.signal
    }
}

/// Guards against answers that are cut while the entry itself still holds a part (review/2).
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_are_read_to_their_end_during_a_stop() {
    let case = "large_answers_are_read_to_their_end_during_a_stop";
    let mut stop = Stop::start(case, 1, LARGE_ANSWER).await;
    stop.call(3, |_| LARGE, 2_400_000);
    let outcome = stop.finish(case).await;
    outcome.assert_whole();
    assert!(outcome.took() < GRACE, "killed");
}

/// Guards against the same where what is left fits into the entry's last buffers.
#[tokio::test(flavor = "multi_thread")]
async fn answers_in_the_last_buffers_are_read_to_their_end() {
    let case = "answers_in_the_last_buffers_are_read_to_their_end";
    let mut stop = Stop::start(case, ENTRIES, ANSWER_BY_NUMBER).await;
    stop.call(ENTRIES, |n| SMALLEST + SIZE_STEP * n, 1_000_000);
    let outcome = stop.finish(case).await;
    outcome.assert_whole();
    assert!(outcome.took() < GRACE, "killed");
}

/// Guards against an entry that ends while only the kernel's send queue still holds a part.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_outlives_the_send_queue_of_its_connections() {
    let case = "an_entry_outlives_the_send_queue_of_its_connections";
    let mut stop = Stop::start(case, 1, MEDIUM_ANSWER).await;
    stop.call(3, |_| MEDIUM, 450_000);
    let outcome = stop.finish(case).await;
    outcome.assert_whole();
    let last = outcome.received.iter().map(|r| r.from_entry).max();
    let left = outcome.end(0) - last.expect("callers");
    assert!(left < END_LIMIT, "it ended {left:?} after the last answer");
}

/// Guards against a stop that waits for callers which keep connections without a request.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_hold_a_stop_up() {
    let case = "idle_connections_do_not_hold_a_stop_up";
    let mut stop = Stop::start(case, 1, SMALL_ANSWER).await;
    stop.call(40, |_| SMALL, 100_000);
    let outcome = stop.finish(case).await;
    outcome.assert_whole();
    assert!(outcome.took() < IDLE_STOP_LIMIT, "{:?}", outcome.took());
}

/// Guards against a stop that a caller which reads nothing delays until the process is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_does_not_lead_to_a_kill() {
    let case = "a_caller_that_reads_nothing_does_not_lead_to_a_kill";
    let mut stop = Stop::start(case, 1, LARGE_ANSWER).await;
    let at = stop.world.entries.caller_addresses()[0];
    let idle = tokio::spawn(call(at, "silent".to_owned(), LARGE, 100));
    stop.call(1, |_| LARGE, 2_400_000);
    let outcome = stop.finish(case).await;
    idle.abort();
    outcome.assert_whole();
    assert!(outcome.took() < GRACE, "killed");
}

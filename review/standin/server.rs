//! Stand-ins of the users' servers: plain services, model engines, and the origin of weights.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, answer, serve};
use crate::record::Record;
use crate::sha256::hex_digest;
use crate::store::Store;

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Pause before a server writes again what the store did not take.
const WRITE_AGAIN: Duration = Duration::from_millis(200);

/// Zone of the engines of a case.
pub const ENGINE_ZONE: &str = "lima-a";

/// Model that the engines serve.
pub const MODEL: &str = "daka510000";

/// Number of pieces of the weights, and their size in bytes.
pub const PIECES: u32 = 64;
const PIECE_BYTES: usize = 32_768;

/// Time that an engine takes to load.
const LOAD: Duration = Duration::from_millis(300);

/// A piece that turned bad within this time before it was taken is excused by the rule WHOLE.
const ROT_EXCUSE: Duration = Duration::from_secs(3);

/// Events in a stream, and the time between two.
const EVENTS: u32 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Who a server is.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub born: u128,
    /// Whether it has reported that it leaves.
    leaving: Arc<AtomicBool>,
    /// Whether it has ended.
    ended: Arc<AtomicBool>,
}

impl Identity {
    pub fn new(id: &str, service: &'static str, address: SocketAddr, zone: &'static str) -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let (id, born) = (id.to_owned(), born.as_millis());
        Self {
            id,
            service,
            address,
            zone,
            slots: 16,
            born,
            leaving: Arc::default(),
            ended: Arc::default(),
        }
    }

    /// Answers a request that this server does not run: a health check, one for another server, or
    /// one without an id.
    fn decline(&self, request: &Request, stream: &mut TcpStream) -> Option<bool> {
        let own = format!("Instance-Id: {}\r\n", self.id);
        let Some(attempt) = request.header("attempt-id") else {
            let status = if request.path == "/health" {
                "200 OK"
            } else {
                "400 Bad Request"
            };
            return Some(answer(
                stream,
                status,
                &format!("{own}Not-Executed: 1\r\n"),
                b"",
            ));
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = format!("{own}Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            return Some(answer(stream, "421 Misdirected Request", &headers, b""));
        }
        None
    }

    /// Writes the entry of this server to `store` until the process ends, each time that it has
    /// changed, or the store has lost it. `more` gives the fields that only engines have.
    pub fn register(&self, store: &Store, more: impl Fn() -> String + Send + 'static) {
        let (own, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !own.ended.load(Ordering::Relaxed) {
                while !store.keep(&own.key(), &own.entry(&more())) {
                    thread::sleep(WRITE_AGAIN);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn entry(&self, more: &str) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            born,
            ..
        } = self;
        let state = if self.leaving.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":1,"born":{born}{more}}}"#
        )
    }

    /// Reports that this plain server leaves. Returns the revision of the acknowledgement.
    pub fn leave(&self, store: &Store) -> Option<u64> {
        self.leaving.store(true, Ordering::Relaxed);
        store.put(&self.key(), &self.entry(""))
    }

    /// Ends: it drops its entry and closes connections from now on.
    pub fn end(&self, store: &Store) -> Option<u64> {
        self.ended.store(true, Ordering::Relaxed);
        store.remove(&self.key())
    }

    /// Removes the entry, as the store does after three intervals of silence.
    pub fn expire(&self, store: &Store) -> Option<u64> {
        store.remove(&self.key())
    }
}

/// Answers a request that a plain server runs.
pub type Run = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Headers of an answer to `request` by a server that ran it.
pub fn sealed(request: &Request) -> String {
    let attempt = request.header("attempt-id").unwrap_or_default();
    format!("Attempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n")
}

/// Serves as a plain server, which records each run.
pub fn serve_plain(listener: TcpListener, own: Identity, record: Record, run: Run) {
    let handler = move |request: &Request, stream: &mut TcpStream| {
        if own.ended.load(Ordering::Relaxed) {
            return false;
        }
        if let Some(open) = own.decline(request, stream) {
            return open;
        }
        let tenant = request.header("tenant-name").unwrap_or("-");
        let attempt = request.header("attempt-id").unwrap_or("-");
        record.add(format!(
            "run {attempt} at {} for {tenant}: {} {}",
            own.id, request.method, request.path
        ));
        run(request, stream)
    };
    serve(listener, Arc::new(handler));
}

/// The true bytes of a piece.
pub fn piece(version: u64, index: u32) -> Vec<u8> {
    let mut state = version << 32 | u64::from(index) + 1;
    let step = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..PIECE_BYTES).map(step).collect()
}

/// A piece that lies at an engine, and since when it has been bad.
#[derive(Clone, Default)]
struct Staged {
    bytes: Vec<u8>,
    bad_since: Option<Instant>,
}

/// What an engine has loaded.
#[derive(Clone)]
struct Loaded {
    version: u64,
    ready_at: Instant,
    /// The pieces with which it must not make a token by the rule WHOLE.
    wrong: Vec<u32>,
}

#[derive(Default)]
struct EngineState {
    staged: Vec<Option<Staged>>,
    loaded: Option<Loaded>,
    sequence: u64,
}

/// A stand-in of a model engine. Cheap to clone.
#[derive(Clone)]
pub struct Engine {
    own: Identity,
    record: Record,
    state: Arc<Mutex<EngineState>>,
    /// Time that it takes to store a piece.
    put_time: Duration,
    /// Called with the number of pieces stored.
    on_put: Arc<dyn Fn(u32) + Send + Sync>,
    puts: Arc<AtomicU32>,
    /// Number of requests that it ran.
    pub runs: Arc<AtomicU32>,
    /// Whether it made a token with a layer that was not whole.
    pub broken: Arc<AtomicBool>,
}

impl Engine {
    /// An engine that holds `version` from its start, staged as well, or nothing.
    pub fn new(own: Identity, record: Record, version: Option<u64>) -> Self {
        let mut state = EngineState::default();
        let staged = |index| {
            version.map(|v| Staged {
                bytes: piece(v, index),
                bad_since: None,
            })
        };
        state.staged = (0..PIECES).map(staged).collect();
        state.loaded = version.map(|version| Loaded {
            version,
            ready_at: Instant::now(),
            wrong: Vec::new(),
        });
        Self {
            own,
            record,
            state: Arc::new(Mutex::new(state)),
            put_time: Duration::ZERO,
            on_put: Arc::new(|_| {}),
            puts: Arc::default(),
            runs: Arc::default(),
            broken: Arc::default(),
        }
    }

    /// Takes `time` to store a piece, and calls `on_put` with the number of pieces stored.
    pub fn with_puts(self, time: Duration, on_put: impl Fn(u32) + Send + Sync + 'static) -> Self {
        Self {
            put_time: time,
            on_put: Arc::new(on_put),
            ..self
        }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no handler panics")
    }

    /// Starts to serve and to write its entry.
    pub fn start(&self, listener: TcpListener, store: &Store) {
        let serving = self.clone();
        serve(
            listener,
            Arc::new(move |request, stream| serving.answer(request, stream)),
        );
        let telling = self.clone();
        self.own.register(store, move || {
            format!(r#","stage":"unified","models":[{}]"#, telling.models())
        });
    }

    /// A staged piece turns bad.
    pub fn spoil(&self, index: u32) {
        let mut state = self.state();
        if let Some(staged) = &mut state.staged[index as usize] {
            staged.bytes[17] ^= 0x20;
            staged.bad_since = Some(Instant::now());
            self.record.add(format!(
                "piece {index} turns bad where it lies at {}",
                self.own.id
            ));
        }
    }

    /// The loaded version, once it is loaded.
    pub fn version(&self) -> Option<u64> {
        let state = self.state();
        let loaded = state
            .loaded
            .as_ref()
            .filter(|l| Instant::now() >= l.ready_at)?;
        Some(loaded.version)
    }

    fn models(&self) -> String {
        let version = self.version();
        version.map_or(String::new(), |version| {
            format!(
                r#"{{"name":"{MODEL}","version":{version},"adapters":[],"layers":{{"from":0,"to":16,"version":{version}}}}}"#
            )
        })
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let path = request.path.as_str();
        if path == "/api/report" {
            return self.report(stream);
        }
        if path.starts_with("/api/stage-put/") {
            return self.put(request, stream);
        }
        if path.starts_with("/api/stage-get/") {
            return self.get(request, stream);
        }
        if path == "/api/order" {
            return self.order(request, stream);
        }
        if let Some(open) = self.own.decline(request, stream) {
            return open;
        }
        self.run(request, stream)
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let (sequence, busy) = {
            let state = self.state();
            let busy = state
                .loaded
                .as_ref()
                .is_some_and(|l| Instant::now() < l.ready_at);
            (state.sequence, busy)
        };
        let (models, born) = (self.models(), self.own.born);
        let body = format!(
            r#"{{"stage":"unified","models":[{models}],"busy":{busy},"sequence":{sequence},"queued":0,"running":0,"kvUsed":0,"kvTotal":1640000,"handles":0,"pace":1.0,"born":{born}}}"#
        );
        answer(
            stream,
            "200 OK",
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn put(&self, request: &Request, stream: &mut TcpStream) -> bool {
        thread::sleep(self.put_time);
        let index: u32 = request
            .field("num")
            .and_then(|n| n.parse().ok())
            .unwrap_or(PIECES);
        if index >= PIECES {
            return answer(stream, "400 Bad Request", "", b"");
        }
        let staged = Staged {
            bytes: request.body.clone(),
            bad_since: None,
        };
        self.state().staged[index as usize] = Some(staged);
        let stored = self.puts.fetch_add(1, Ordering::Relaxed) + 1;
        let open = answer(stream, "200 OK", "", b"");
        (self.on_put)(stored);
        open
    }

    fn get(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let state = self.state();
        let Some(index) = request.field("num").and_then(|n| n.parse::<usize>().ok()) else {
            let held = (0..).zip(&state.staged).filter(|(_, s)| s.is_some());
            let held: Vec<_> = held.map(|(index, _): (u32, _)| index.to_string()).collect();
            let body = format!(r#"{{"held":[{}]}}"#, held.join(","));
            return answer(
                stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
        };
        match state.staged.get(index) {
            Some(Some(staged)) => answer(stream, "200 OK", "", &staged.bytes),
            _ => answer(stream, "404 Not Found", "", b""),
        }
    }

    /// Takes what lies there at this moment, if the number of orders before it is right.
    fn order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let (Some(version), expected) = (number("version"), number("expected")) else {
            return answer(stream, "400 Bad Request", "", b"");
        };
        let mut state = self.state();
        if expected.is_some_and(|e| e != state.sequence) {
            self.record
                .add(format!("order {text} refused: it is not the next one"));
            return answer(stream, "409 Conflict", "", b"");
        }
        state.sequence += 1;
        let now = Instant::now();
        let is_wrong = |index: u32| match &state.staged[index as usize] {
            None => true,
            Some(staged) => {
                let excused = staged.bad_since.is_some_and(|at| now - at < ROT_EXCUSE);
                staged.bytes != piece(version, index) && !excused
            }
        };
        let wrong: Vec<_> = (0..PIECES).filter(|index| is_wrong(*index)).collect();
        self.record.add(format!(
            "order {text} accepted at {}; wrong pieces: {wrong:?}",
            self.own.id
        ));
        state.loaded = Some(Loaded {
            version,
            ready_at: now + LOAD,
            wrong,
        });
        answer(stream, "202 Accepted", "", b"")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let loaded = self.state().loaded.clone();
        let loaded = loaded.filter(|l| Instant::now() >= l.ready_at);
        let expected = request
            .header("expect-version")
            .and_then(|v| v.parse::<u64>().ok());
        let usable = loaded.filter(|l| expected.is_none_or(|e| e == l.version));
        let Some(loaded) = usable else {
            let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            return answer(stream, "421 Misdirected Request", &headers, b"");
        };
        self.runs.fetch_add(1, Ordering::Relaxed);
        let (id, version, wrong) = (&self.own.id, loaded.version, &loaded.wrong);
        self.record.add(format!(
            "run {attempt} at {id} with version {version}; wrong pieces: {wrong:?}"
        ));
        if !wrong.is_empty() {
            self.broken.store(true, Ordering::Relaxed);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            sealed(request)
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Serves as the origin of weights. `spoil` may change the text of the n-th manifest, from 1.
pub fn serve_origin(
    listener: TcpListener,
    record: Record,
    spoil: impl Fn(u32, String) -> String + Send + Sync + 'static,
) {
    let manifests = AtomicU32::new(0);
    let pieces = AtomicU32::new(0);
    let handler = move |request: &Request, stream: &mut TcpStream| {
        let version = request
            .field("version")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1);
        if request.path.starts_with("/api/manifest/") {
            let count = manifests.fetch_add(1, Ordering::Relaxed) + 1;
            let digests: Vec<_> = (0..PIECES)
                .map(|index| format!("\"{}\"", hex_digest(&piece(version, index))))
                .collect();
            let digests = digests.join(",");
            let text = format!(
                r#"{{"model":"{MODEL}","version":{version},"chunkBytes":{PIECE_BYTES},"layers":16,"digests":[{digests}]}}"#
            );
            let sent = spoil(count, text.clone());
            let state = if sent == text { "true" } else { "corrupted" };
            record.add(format!(
                "the origin answers manifest {count} of version {version}: {state}"
            ));
            return answer(
                stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                sent.as_bytes(),
            );
        }
        let index = request
            .field("num")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let count = pieces.fetch_add(1, Ordering::Relaxed) + 1;
        if count <= PIECES || count % PIECES == 0 {
            record.add(format!(
                "the origin sends piece {index} of version {version}, its {count}. piece"
            ));
        }
        answer(stream, "200 OK", "", &piece(version, index))
    };
    serve(listener, Arc::new(handler));
}

//! A model engine with its staging area, and the origin of its weights.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, chunk, response};
use crate::record::Record;
use crate::sha256;
use crate::store::{Store, hex};

/// Pieces of a version.
pub const PIECES: usize = 64;

/// Layers of the model.
const LAYERS: usize = 16;

/// Pieces of a layer.
const LAYER_PIECES: usize = PIECES / LAYERS;

/// Bytes of a piece.
const PIECE_BYTES: usize = 32_768;

/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// Events of a stream.
const EVENTS: usize = 6;

/// Events of a stream whose events come one by one, and the pause between them.
const LIVE_EVENTS: usize = 12;
const LIVE_PAUSE: Duration = Duration::from_millis(150);

/// Bytes of a piece.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let text = format!("piece {index} of version {version};");
    text.bytes().cycle().take(PIECE_BYTES).collect()
}

/// Serves the digests and pieces of all versions.
pub fn start_origin(listener: TcpListener) -> SocketAddr {
    start_origin_until(listener, u64::MAX)
}

/// Serves the digests and pieces of versions up to `newest`, and closes other channels without an
/// answer, as an origin that is away.
pub fn start_origin_until(listener: TcpListener, newest: u64) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let version = request.query("version").and_then(|v| v.parse().ok());
                    if version.is_some_and(|version: u64| version > newest) {
                        return;
                    }
                    if connection.write(&origin_answer(&request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn origin_answer(request: &Message) -> Vec<u8> {
    let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
    let version = number("version").unwrap_or(1);
    if request.path() == "/api/manifest/m" {
        let digests = (0..PIECES).map(|i| hex(&sha256::digest(&piece(version, i))));
        let digests: Vec<_> = digests.map(|d| format!("\"{d}\"")).collect();
        let body = format!(
            r#"{{"model":"m","version":{version},"chunkBytes":{PIECE_BYTES},"layers":{LAYERS},"digests":[{}]}}"#,
            digests.join(",")
        );
        return response(
            "200 OK",
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        );
    }
    match number("num") {
        Some(index) => response("200 OK", "", &piece(version, index as usize)),
        None => response("404 Not Found", "", b""),
    }
}

#[derive(Clone)]
struct Layer {
    version: u64,
    /// Pieces that it must not have been taken from.
    wrong: Vec<usize>,
}

struct State {
    /// Bytes of the staged pieces.
    staged: Vec<Vec<u8>>,
    layers: Vec<Option<Layer>>,
    /// Whether the slow write has arrived.
    has_slow_put: bool,
    orders: u64,
    busy_until: Instant,
    runs: u64,
    wrong_runs: u64,
    /// Time from the head of a stream to its first event.
    begin_time: Duration,
    /// Number of its crashes. A crash ends all connections.
    crashes: u64,
    /// Versions with the times at which runs on them began.
    begun: Vec<(u64, Instant)>,
}

/// How long calls take, and what goes wrong with them.
pub struct Conduct {
    /// Time that it takes to store a piece.
    pub put_time: Duration,
    /// A piece that it takes this time to store when it is written for the first time.
    pub slow_put: Option<(usize, Duration)>,
    /// Time that it takes to return a piece.
    pub get_time: Duration,
    /// A piece whose write is answered, before it is done, by a second copy of the answer before it
    /// on the same channel.
    pub extra_at: Option<usize>,
}

/// An engine that has version 1 loaded and staged. Clones share it.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    conduct: Arc<Conduct>,
    record: Record,
    id: &'static str,
}

impl Engine {
    /// An engine with `conduct`.
    pub fn new(id: &'static str, conduct: Conduct, record: &Record) -> Self {
        let first = Layer {
            version: 1,
            wrong: Vec::new(),
        };
        let state = State {
            staged: (0..PIECES).map(|index| piece(1, index)).collect(),
            layers: vec![Some(first); LAYERS],
            has_slow_put: false,
            orders: 0,
            busy_until: Instant::now(),
            runs: 0,
            wrong_runs: 0,
            begin_time: Duration::from_millis(20),
            crashes: 0,
            begun: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            conduct: Arc::new(conduct),
            record: record.clone(),
            id,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Serves `listener`, and writes its entry in `store` at each heartbeat and change.
    pub fn start(&self, listener: TcpListener, store: &Store) -> SocketAddr {
        let address = listener.local_addr().expect("an address");
        let engine = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        let (engine, store) = (self.clone(), store.clone());
        thread::spawn(move || engine.register(address, &store));
        address
    }

    fn register(&self, address: SocketAddr, store: &Store) {
        let mut written = Instant::now();
        let mut last = None;
        for sequence in 1_u64.. {
            let models = models(self.state().served());
            if last.as_ref() != Some(&models) || written.elapsed() >= Duration::from_millis(1_200) {
                let entry = format!(
                    r#"{{"service":"redactor","address":"{address}","zone":"za","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"stage":"unified","models":[{models}],"born":1000,"sequence":{sequence}}}"#
                );
                store.put(&format!("servers/{}", self.id), &entry);
                written = Instant::now();
                last = Some(models);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Requests that were run, and those of them that were run on wrong weights.
    pub fn runs(&self) -> (u64, u64) {
        let state = self.state();
        (state.runs, state.wrong_runs)
    }

    /// Sets the time from the head of a stream to its first event.
    pub fn set_begin_time(&self, time: Duration) {
        self.state().begin_time = time;
        self.record
            .add(format!("{} takes {time:?} to begin", self.id));
    }

    /// Ends all its connections, as a process that crashes. It serves again at once.
    pub fn crash(&self) {
        self.state().crashes += 1;
        self.record.add(format!("{} crashes", self.id));
    }

    /// Times at which runs on `version` began.
    pub fn begun(&self, version: u64) -> Vec<Instant> {
        let state = self.state();
        let of_version = state.begun.iter().filter(|(v, _)| *v == version);
        of_version.map(|(_, at)| *at).collect()
    }

    /// The version that it serves.
    pub fn served(&self) -> Option<u64> {
        self.state().served()
    }

    /// Whether the slow write has arrived.
    pub fn has_slow_put(&self) -> bool {
        self.state().has_slow_put
    }

    fn serve(&self, mut connection: Connection) {
        let mut before: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            let index = request.query("num").and_then(|n| n.parse().ok());
            if request.method() == "PUT" && index == self.conduct.extra_at && index.is_some() {
                if let Some(copy) = &before {
                    self.record
                        .add("the engine sends a second copy of the answer before, late");
                    if connection.write(copy).is_err() {
                        return;
                    }
                }
            }
            if request.method() == "POST" && request.path().starts_with("/live/") {
                if self.stream(&mut connection, &request).is_err() {
                    return;
                }
                continue;
            }
            let answer = self.answer(&request, index);
            if connection.write(&answer).is_err() {
                return;
            }
            before = Some(answer);
        }
    }

    fn answer(&self, request: &Message, index: Option<usize>) -> Vec<u8> {
        match (request.method(), request.path(), index) {
            ("PUT", "/api/stage-put/m", Some(index)) => self.put(index, request),
            ("GET", "/api/stage-get/m", Some(index)) => {
                thread::sleep(self.conduct.get_time);
                response("200 OK", "", &self.state().staged[index])
            }
            ("GET", "/api/stage-get/m", None) => {
                let held: Vec<_> = (0..PIECES).map(|i| i.to_string()).collect();
                json(&format!(r#"{{"held":[{}]}}"#, held.join(",")))
            }
            ("GET", "/api/report", _) => json(&self.report()),
            ("POST", "/api/order", _) => self.order(request),
            ("POST", path, _) if path.starts_with("/draft/") => self.run(request),
            _ => response("404 Not Found", "", b""),
        }
    }

    fn put(&self, index: usize, request: &Message) -> Vec<u8> {
        let text: String = request
            .body
            .iter()
            .take(40)
            .map(|b| char::from(*b))
            .collect();
        let what = text.split(';').next().unwrap_or_default().to_owned();
        thread::sleep(self.time_to_store(index, &what));
        self.state().staged[index] = request.body.clone();
        self.record.add(format!("{what} stored"));
        response("200 OK", "", b"")
    }

    fn time_to_store(&self, index: usize, what: &str) -> Duration {
        match self.conduct.slow_put {
            Some((slow, time)) if slow == index && !self.state().has_slow_put => {
                self.state().has_slow_put = true;
                self.record
                    .add(format!("{what} arrives, and takes {time:?} to be stored"));
                time
            }
            _ => self.conduct.put_time,
        }
    }

    fn report(&self) -> String {
        let state = self.state();
        let version = state.version();
        let layers = version.map_or("null".to_owned(), |version| {
            let (from, to) = state.held();
            format!(r#"{{"from":{from},"to":{to},"version":{version}}}"#)
        });
        let (models, busy) = (models(state.served()), state.is_busy());
        let orders = state.orders;
        format!(
            r#"{{"stage":"unified","models":[{models}],"layers":{layers},"busy":{busy},"sequence":{orders},"queued":0,"running":0,"kvUsed":0,"kvTotal":1640000,"handles":0,"pace":1.0,"born":1000}}"#
        )
    }

    fn order(&self, request: &Message) -> Vec<u8> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name| field(&text, name);
        self.record.add(format!("order arrives: {text}"));
        let mut state = self.state();
        let version = number("version").unwrap_or(0);
        let from = number("from").unwrap_or(0) as usize;
        let to = number("to").unwrap_or(LAYERS as u64) as usize;
        if number("expected").is_some_and(|n| n != state.orders) || state.is_busy() {
            self.record.add("order answered 409");
            return response("409 Conflict", "", b"");
        }
        if state.version() == Some(version) && state.held() == (from, to) {
            self.record.add("order answered 200");
            return response("200 OK", "", b"");
        }
        let wrong = state.take(version, from, to);
        state.orders += 1;
        state.busy_until = Instant::now() + LOAD_TIME;
        drop(state);
        self.record.add(format!(
            "order for version {version}, layers {from} to {to}, accepted; pieces that must not be taken: {wrong:?}"
        ));
        response("202 Accepted", "", b"")
    }

    /// Sends a stream, with its head at once, whose events come one by one.
    fn stream(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let id = request.header("attempt-id").to_owned();
        let expected = request.header("expect-version").parse::<u64>().ok();
        let served = self.state().served();
        let version = served.filter(|v| expected.is_none_or(|e| e == *v));
        let (Some(version), true) = (version, request.header("expect-instance") == self.id) else {
            let head = format!(
                "Attempt-Id: {id}\r\nNot-Executed: 1\r\nInstance-Id: {}\r\n",
                self.id
            );
            return connection.write(&response("421 Misdirected Request", &head, b""));
        };
        let begin_time = self.state().begin_time;
        let crashes = self.state().crashes;
        let wait = |time: Duration| {
            let end = Instant::now() + time;
            while Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
                if self.state().crashes != crashes || connection.is_closed() {
                    return Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
                }
            }
            Ok(())
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut connection_copy = connection.writer()?;
        std::io::Write::write_all(&mut connection_copy, head.as_bytes())?;
        wait(begin_time)?;
        self.state().begun.push((version, Instant::now()));
        let last = request
            .header("last-event-id")
            .parse::<usize>()
            .unwrap_or(0);
        self.record.add(format!(
            "{} begins {id} on version {version}, after event {last}",
            self.id
        ));
        for event in last + 1..=LIVE_EVENTS {
            let data = chunk(format!("id: {event}\ndata: token {event}\n\n").as_bytes());
            std::io::Write::write_all(&mut connection_copy, &data)?;
            wait(LIVE_PAUSE)?;
        }
        std::io::Write::write_all(&mut connection_copy, b"0\r\n\r\n")
    }

    /// Runs a request whose version it serves.
    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("attempt-id");
        let refuse = |reason: &str| {
            let head = format!(
                "Attempt-Id: {id}\r\nNot-Executed: 1\r\nInstance-Id: {}\r\n",
                self.id
            );
            response("421 Misdirected Request", &head, reason.as_bytes())
        };
        if request.header("expect-instance") != self.id {
            return refuse("instance");
        }
        let mut state = self.state();
        let expected = request.header("expect-version").parse::<u64>().ok();
        let Some(version) = state.served() else {
            return refuse("no weights");
        };
        if expected.is_some_and(|expected| expected != version) {
            return refuse("version");
        }
        let layers = state.layers.iter().flatten();
        let wrong: Vec<_> = layers.flat_map(|l| l.wrong.clone()).collect();
        state.runs += 1;
        if !wrong.is_empty() {
            state.wrong_runs += 1;
        }
        drop(state);
        self.record.add(format!(
            "request {id} is run on version {version}; pieces that its layers must not be taken from: {wrong:?}"
        ));
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        for event in 1..=EVENTS {
            answer.extend(chunk(
                format!("id: {event}\ndata: token {event}\n\n").as_bytes(),
            ));
        }
        answer.extend(b"0\r\n\r\n");
        answer
    }
}

impl State {
    fn is_busy(&self) -> bool {
        Instant::now() < self.busy_until
    }

    /// The layers that it holds.
    fn held(&self) -> (usize, usize) {
        let first = self.layers.iter().position(Option::is_some).unwrap_or(0);
        (first, first + self.layers.iter().flatten().count())
    }

    fn version(&self) -> Option<u64> {
        self.layers.iter().flatten().next().map(|l| l.version)
    }

    fn served(&self) -> Option<u64> {
        let is_whole = self.held() == (0, LAYERS) && !self.is_busy();
        self.version().filter(|_| is_whole)
    }

    /// Takes the layers that it does not hold, and gives up those outside the range. Returns the
    /// pieces that must not be taken.
    fn take(&mut self, version: u64, from: usize, to: usize) -> Vec<usize> {
        let mut all = Vec::new();
        for at in 0..LAYERS {
            let is_held = self.layers[at]
                .as_ref()
                .is_some_and(|l| l.version == version);
            if !(from..to).contains(&at) {
                self.layers[at] = None;
            } else if !is_held {
                let pieces = at * LAYER_PIECES..(at + 1) * LAYER_PIECES;
                let wrong: Vec<_> = pieces
                    .filter(|i| self.staged[*i] != piece(version, *i))
                    .collect();
                all.extend(&wrong);
                self.layers[at] = Some(Layer { version, wrong });
            }
        }
        all
    }
}

fn json(body: &str) -> Vec<u8> {
    response(
        "200 OK",
        "Content-Type: application/json\r\n",
        body.as_bytes(),
    )
}

fn models(version: Option<u64>) -> String {
    version.map_or(String::new(), |version| {
        format!(r#"{{"name":"m","version":{version},"adapters":[]}}"#)
    })
}

/// A number in a JSON text.
fn field(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The configuration: a route with streams to the engines, whose weights lie at `origin`.
pub fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"draft","host":"h.example","prefix":"/draft/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"redactor","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"gapTargetMs":300}},{{"name":"live","host":"h.example","prefix":"/live/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"redactor","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"gapTargetMs":300}}],"services":[{{"name":"redactor","healthPath":"/health","maxConnections":364,"protocol":"h1","tls":false,"engine":{{"slots":16,"kvCapacity":1640000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":6,"models":[{{"name":"m","pace":1.0,"loadTimeS":4.0,"warmupS":0.3}}],"sizeMb":282000.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":964,"answer":119}},"layers":{LAYERS},"layer_mb":4540.0,"chunks":{PIECES},"chunkBytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","zone":"za","linkMbps":9.9,"maxConnections":48}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends streams to `front` until `end`, and counts those that were answered whole.
pub fn send_streams(front: SocketAddr, pause: Duration, end: Instant, record: &Record) -> u64 {
    let wait = Duration::from_secs(3);
    let mut whole = 0;
    let mut channel = None;
    for at in 0_u64.. {
        if Instant::now() >= end {
            break;
        }
        thread::sleep(pause);
        let Some(mut open) = channel
            .take()
            .or_else(|| Connection::open(front, wait).ok())
        else {
            continue;
        };
        let request = format!(
            "POST /draft/{at} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {at:016x}\r\nModel: m\r\nToken-Usage: 60,36\r\nPrompt-Prefix: a1:40,{at:x}:20\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody"
        );
        let sent = open.write(request.as_bytes());
        match sent.and_then(|()| open.read()) {
            Ok(Some(answer)) => {
                let version = answer.header("weight-versions");
                let status = answer.status();
                record.add(format!(
                    "request {at:016x} sent; answered {status}, Weight-Versions {version:?}"
                ));
                whole += u64::from(status == 200);
                channel = Some(open);
            }
            _ => record.add(format!("request {at:016x} sent; channel closed")),
        }
    }
    whole
}

/// Sends streams whose events come one by one, and counts those that were answered whole.
pub fn send_live(
    number: u64,
    front: SocketAddr,
    pause: Duration,
    end: Instant,
    record: &Record,
) -> u64 {
    let wait = Duration::from_secs(4);
    let mut whole = 0;
    for at in 0_u64.. {
        if Instant::now() >= end {
            break;
        }
        thread::sleep(pause);
        let Ok(mut open) = Connection::open(front, wait) else {
            continue;
        };
        let id = format!("{number:02x}{at:014x}");
        let request = format!(
            "POST /live/{number}/{at} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 60,72\r\nPrompt-Prefix: a1:40,{id}:20\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody"
        );
        let sent = open.write(request.as_bytes());
        match sent.and_then(|()| open.read()) {
            Ok(Some(answer)) => {
                let status = answer.status();
                record.add(format!("request {id} answered {status}"));
                whole += u64::from(status == 200);
            }
            _ => record.add(format!("request {id}: channel closed")),
        }
    }
    whole
}

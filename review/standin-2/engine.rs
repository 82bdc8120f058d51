//! Stand-ins for a model engine and for the origin of its weights.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::sha256::hex_digest;
use crate::world::{Message, Record, Store, ZONE, read_body, read_head, unix_ms};

pub const MODEL: &str = "daka510000";

/// Weights as on the sheet: pieces of a version, their size, and layers.
const PIECES: usize = 64;
const PIECE_BYTES: usize = 32_768;
const LAYERS: usize = 16;

/// Time to load all layers (`warmupS`).
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time for which a piece that turned bad may have been so when it is taken.
const ROT_EXCUSE: Duration = Duration::from_secs(3);

/// The true bytes of a piece.
fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    let mut state = version * 1_000_003 + number as u64 + 1;
    while bytes.len() < PIECE_BYTES {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bytes.extend_from_slice(&state.to_be_bytes());
    }
    bytes.truncate(PIECE_BYTES);
    bytes
}

/// Settings of the engine in the configuration, and the service with the origin.
pub fn services(origin: SocketAddr) -> String {
    format!(
        r#"{{"name":"drafts","healthPath":"/health","maxConnections":364,"engine":{{"slots":16,"kvCapacity":1640000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"loadTimeS":4.0,"warmupS":0.3}}],"sizeMb":282000.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":964,"answer":119}},"layers":{LAYERS},"layer_mb":4540.0,"act_bytes":16384,"chunks":{PIECES},"chunkBytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","zone":"{ZONE}","linkMbps":9.9,"maxConnections":48}}"#
    )
}

/// Starts the origin.
pub fn start_origin() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || drop(serve_origin(stream)));
        }
    });
    Ok(address)
}

fn serve_origin(mut stream: TcpStream) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = read_head(&mut stream, &mut rest)? {
        let version: u64 = request.query("version").and_then(|v| v.parse().ok()).unwrap_or(1);
        let body = if request.path().starts_with("/api/manifest/") {
            let digests = (0..PIECES).map(|n| format!("\"{}\"", hex_digest(&piece(version, n))));
            let digests: Vec<_> = digests.collect();
            format!(
                r#"{{"model":"{MODEL}","version":{version},"chunkBytes":{PIECE_BYTES},"layers":{LAYERS},"digests":[{}]}}"#,
                digests.join(",")
            ).into_bytes()
        } else {
            let number = request.query("num").and_then(|n| n.parse().ok()).unwrap_or(0);
            piece(version, number)
        };
        answer(&mut stream, "200 OK", "", &body)?;
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// A staged piece.
#[derive(Clone)]
struct Staged {
    bytes: Vec<u8>,
    /// Since when it has been bad.
    bad: Option<Instant>,
}

/// A layer that the engine holds, with what was wrong with its pieces when it was taken.
#[derive(Clone)]
struct Layer {
    version: u64,
    wrong: Option<String>,
}

struct State {
    staged: HashMap<usize, Staged>,
    layers: BTreeMap<usize, Layer>,
    sequence: u64,
    busy: Option<Instant>,
    /// Until when the machine stands still.
    frozen: Option<Instant>,
    orders_seen: usize,
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    pub id: &'static str,
    pub address: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    /// Called when the first order has arrived, before it is accepted.
    on_order: Arc<dyn Fn(&Self) + Send + Sync>,
}

impl Engine {
    /// Starts an engine that holds version 1, which is also staged.
    pub fn start(
        record: &Record,
        store: &Store,
        on_order: impl Fn(&Self) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let staged = (0..PIECES).map(|n| (n, Staged { bytes: piece(1, n), bad: None }));
        let layers = (0..LAYERS).map(|l| (l, Layer { version: 1, wrong: None }));
        let state = State {
            staged: staged.collect(),
            layers: layers.collect(),
            sequence: 0,
            busy: None,
            frozen: None,
            orders_seen: 0,
        };
        let engine = Self {
            id: "i-engine",
            address: listener.local_addr()?,
            born: unix_ms(),
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
            on_order: Arc::new(on_order),
        };
        engine.register();
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
        Ok(engine)
    }

    /// The machine of the engine stands still for `length`.
    pub fn freeze(&self, length: Duration) {
        self.state.lock().unwrap().frozen = Some(Instant::now() + length);
        self.record.note(format!("the machine of the engine stands still for {} ms", length.as_millis()));
    }

    /// A staged piece turns bad.
    pub fn spoil(&self, number: usize) {
        let mut state = self.state.lock().unwrap();
        if let Some(staged) = state.staged.get_mut(&number) {
            staged.bytes[7] ^= 0xff;
            staged.bad.get_or_insert_with(Instant::now);
        }
        self.record.note(format!("piece {number} at the engine turned bad"));
    }

    /// Waits while the machine stands still.
    fn thaw(&self) {
        loop {
            let until = self.state.lock().unwrap().frozen;
            let left = until.map(|at| at.saturating_duration_since(Instant::now()));
            match left.filter(|left| !left.is_zero()) {
                Some(left) => thread::sleep(left),
                None => return,
            }
        }
    }

    /// The version that it holds in all layers.
    fn version(state: &State) -> Option<u64> {
        state.layers.values().next().map(|layer| layer.version)
    }

    /// Writes its entry to the store.
    fn register(&self) {
        let state = self.state.lock().unwrap();
        let models = Self::version(&state).map_or_else(String::new, |v| {
            format!(r#"{{"name":"{MODEL}","version":{v},"adapters":[]}}"#)
        });
        let (address, born) = (self.address, self.born);
        drop(state);
        self.store.put(
            &format!("servers/{}", self.id),
            &format!(
                r#"{{"service":"drafts","address":"{address}","zone":"{ZONE}","version":"1","slots":16,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born},"stage":"unified","models":[{models}]}}"#
            ),
        );
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(mut request) = read_head(&mut stream, &mut rest)? {
            if !read_body(&mut stream, &mut rest, &mut request, false)? {
                return Ok(());
            }
            let path = request.path().split('?').next().unwrap_or_default().to_owned();
            let number = request.query("num").and_then(|n| n.parse::<usize>().ok());
            if path == "/api/order" {
                let first = {
                    let mut state = self.state.lock().unwrap();
                    state.orders_seen += 1;
                    state.orders_seen == 1
                };
                if first {
                    (self.on_order)(self);
                }
            }
            self.thaw();
            match path.as_str() {
                "/api/report" => answer(&mut stream, "200 OK", "", self.report().as_bytes())?,
                "/api/order" => answer(&mut stream, self.order(&request), "", b"{}")?,
                _ if path.starts_with("/api/stage-put/") => {
                    let staged = Staged { bytes: request.body, bad: None };
                    self.state.lock().unwrap().staged.insert(number.unwrap_or(0), staged);
                    answer(&mut stream, "200 OK", "", b"{}")?;
                }
                _ if path.starts_with("/api/stage-get/") => self.staged(&mut stream, number)?,
                _ => return self.generate(stream, &request),
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        if state.busy.is_some_and(|until| until <= Instant::now()) {
            state.busy = None;
        }
        let version = Self::version(&state);
        let models = version.map_or_else(String::new, |v| {
            format!(r#"{{"name":"{MODEL}","version":{v},"adapters":[]}}"#)
        });
        let from = state.layers.keys().next().copied().unwrap_or(0);
        let to = state.layers.keys().next_back().map_or(0, |l| l + 1);
        format!(
            r#"{{"stage":"unified","models":[{models}],"layers":{{"from":{from},"to":{to},"version":{}}},"busy":{},"sequence":{},"queued":0,"running":0,"kvUsed":0,"kvTotal":1640000,"handles":0,"pace":1.0,"born":{}}}"#,
            version.unwrap_or(0),
            state.busy.is_some(),
            state.sequence,
            self.born
        )
    }

    fn staged(&self, stream: &mut TcpStream, number: Option<usize>) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let Some(number) = number else {
            let mut held: Vec<_> = state.staged.keys().copied().collect();
            held.sort_unstable();
            return answer(stream, "200 OK", "", format!(r#"{{"held":{held:?}}}"#).as_bytes());
        };
        match state.staged.get(&number).map(|s| s.bytes.clone()) {
            Some(bytes) => answer(stream, "200 OK", "", &bytes),
            None => answer(stream, "404 Not Found", "", b"{}"),
        }
    }

    /// Accepts an order, and takes what is staged.
    fn order(&self, request: &Message) -> &'static str {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| -> Option<u64> {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse().ok()
        };
        let mut state = self.state.lock().unwrap();
        let version = field("version").unwrap_or(0);
        let from = field("from").unwrap_or(0) as usize;
        let to = field("to").unwrap_or(LAYERS as u64) as usize;
        let is_busy = state.busy.is_some_and(|until| until > Instant::now());
        if is_busy || field("expected").is_some_and(|e| e != state.sequence) {
            self.record.note(format!("order refused: {text}"));
            return "409 Conflict";
        }
        let holds = |l: &usize| state.layers.get(l).is_some_and(|layer| layer.version == version);
        let held = state.layers.len();
        if (from..to).all(|l| holds(&l)) && held == to - from {
            return "200 OK";
        }
        let mut layers = BTreeMap::new();
        for number in from..to {
            let kept = state.layers.get(&number).filter(|layer| layer.version == version).cloned();
            layers.insert(number, kept.unwrap_or_else(|| take(&state, number, version)));
        }
        let wrong: Vec<_> = layers.values().filter_map(|l| l.wrong.clone()).collect();
        state.layers = layers;
        state.sequence += 1;
        state.busy = Some(Instant::now() + LOAD_TIME);
        let sequence = state.sequence;
        drop(state);
        self.record.note(format!("order {sequence} accepted: {text}, wrong: {wrong:?}"));
        self.register();
        "202 Accepted"
    }

    /// Runs a request and sends its stream.
    fn generate(&self, mut stream: TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let state = self.state.lock().unwrap();
        let version = Self::version(&state).unwrap_or(0);
        let expected = request.header("expect-version").and_then(|v| v.parse::<u64>().ok());
        let is_other = request.header("expect-instance").is_some_and(|id| id != self.id);
        let refused = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        if is_other || expected.is_some_and(|e| e != version) || state.layers.len() < LAYERS {
            drop(state);
            return answer(&mut stream, "421 Misdirected Request", &refused, b"");
        }
        if state.busy.is_some_and(|until| until > Instant::now()) {
            drop(state);
            return answer(&mut stream, "503 Service Unavailable", &refused, b"");
        }
        let wrong: Vec<_> = state.layers.values().filter_map(|l| l.wrong.clone()).collect();
        drop(state);
        let spoilt = if wrong.is_empty() { "whole".to_owned() } else { format!("SPOILT {wrong:?}") };
        self.record.note(format!("run {attempt} with version {version}, {spoilt}"));
        thread::sleep(Duration::from_millis(40));
        let mut body = String::new();
        for id in 1..=4 {
            body.push_str(&format!("id: {id}\ndata: text\n\n"));
        }
        let headers = format!(
            "Attempt-Id: {attempt}\r\nResponse-Seal: s\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\n"
        );
        answer(&mut stream, "200 OK", &headers, body.as_bytes())
    }
}

/// Takes a layer of `version` from what is staged now.
fn take(state: &State, layer: usize, version: u64) -> Layer {
    let first = layer * PIECES / LAYERS;
    let last = ((layer + 1) * PIECES).div_ceil(LAYERS);
    let mut wrong = None;
    for number in first..last {
        let Some(staged) = state.staged.get(&number) else {
            wrong = Some(format!("piece {number} is missing"));
            continue;
        };
        if staged.bytes == piece(version, number) {
            continue;
        }
        match staged.bad {
            Some(at) if at.elapsed() <= ROT_EXCUSE => {}
            Some(at) => wrong = Some(format!("piece {number} has been bad for {} ms", at.elapsed().as_millis())),
            None => wrong = Some(format!("piece {number} is of another version")),
        }
    }
    Layer { version, wrong }
}

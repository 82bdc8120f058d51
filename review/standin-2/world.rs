//! Stand-ins for the platform's store, backend servers and clients, and control of the project's own
//! processes. Standard library only. Every address is a loopback address.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io::{self, Read, Write};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const CAddress, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// An IPv4 address of the C library.
#[repr(C)]
struct CAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects to `to` with a receive buffer of `bytes`, which has to be set before.
pub fn connect_with_window(to: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    };
    let address = CAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the socket is owned by the stream as soon as there is one, and both values live during
    // the calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4);
        if connect(descriptor, &raw const address, size_of::<CAddress>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this one has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: the process is a child of this one that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// What was sent, answered and run, with the time in ms since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: String) -> u64 {
        let ms = self.ms();
        self.lines.lock().unwrap().push((ms, line));
        ms
    }

    /// Lines that begin with `start`.
    pub fn matching(&self, start: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        let found = lines.iter().filter(|(_, line)| line.starts_with(start));
        found.map(|(_, line)| line.clone()).collect()
    }

    /// Writes the record and prints `verdict`.
    pub fn write(&self, path: &Path, verdict: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(ms, _)| *ms);
        let mut text = String::new();
        for (ms, line) in lines {
            text.push_str(&format!("{ms:>7} {line}\n"));
        }
        text.push_str(verdict);
        text.push('\n');
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
        println!("{verdict}");
    }
}

/// A request or an answer as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("/")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v.replace("%2F", "/"))
    }
}

/// Reads until the end of a head. `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut block = [0_u8; 16 << 10];
    loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..at + 4).collect();
            let text = String::from_utf8_lossy(&head).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let pairs = lines.filter_map(|l| l.split_once(':'));
            let headers = pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
            return Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }));
        }
        let count = stream.read(&mut block)?;
        if count == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&block[..count]);
    }
}

/// Reads the body of a message: by its length, in chunks, or, with `to_end`, up to the end.
pub fn read_body(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    message: &mut Message,
    to_end: bool,
) -> io::Result<bool> {
    let mut block = [0_u8; 64 << 10];
    let mut fill = |rest: &mut Vec<u8>| -> io::Result<bool> {
        let count = stream.read(&mut block)?;
        rest.extend_from_slice(&block[..count]);
        Ok(count > 0)
    };
    let length = message.header("content-length").and_then(|l| l.parse::<usize>().ok());
    if let Some(length) = length {
        while rest.len() < length {
            if !fill(rest)? {
                return Ok(false);
            }
        }
        message.body = rest.drain(..length).collect();
        return Ok(true);
    }
    let chunked = message.header("transfer-encoding").is_some_and(|t| t.contains("chunked"));
    if chunked {
        loop {
            let Some(at) = rest.windows(2).position(|w| w == b"\r\n") else {
                if !fill(rest)? {
                    return Ok(false);
                }
                continue;
            };
            let size = String::from_utf8_lossy(&rest[..at]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else { return Ok(false) };
            while rest.len() < at + 2 + size + 2 {
                if !fill(rest)? {
                    return Ok(false);
                }
            }
            let chunk: Vec<u8> = rest.drain(..at + 2 + size + 2).collect();
            message.body.extend_from_slice(&chunk[at + 2..at + 2 + size]);
            if size == 0 {
                return Ok(true);
            }
        }
    }
    if to_end {
        while fill(rest)? {}
        message.body = std::mem::take(rest);
    }
    Ok(true)
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = Vec::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            let symbol = SET[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { symbol } else { b'=' });
        }
    }
    String::from_utf8(text).unwrap_or_default()
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value in base64, revision of the last change and of the creation.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Changes of the last 20 s: time, revision, key and value.
    events: VecDeque<(Instant, u64, String, Option<String>)>,
    /// Revision up to which the history was dropped.
    dropped: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// `historyS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

/// Limits of a page of `kv-range`.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = StoreState { revision: 100, ..StoreState::default() };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item and returns the time of the ack in ms.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let encoded = base64(value.as_bytes());
        let created = state.items.get(key).map_or(revision, |(_, _, c)| *c);
        state.items.insert(key.to_owned(), (encoded.clone(), revision, created));
        state.events.push_back((Instant::now(), revision, key.to_owned(), Some(encoded)));
        changed.notify_all();
        drop(state);
        self.record.note(format!("store ack {key} revision {revision}, {} bytes", value.len()))
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let from = stream.peer_addr()?.ip();
        let mut rest = Vec::new();
        while let Some(mut request) = read_head(&mut stream, &mut rest)? {
            read_body(&mut stream, &mut rest, &mut request, false)?;
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let size = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {size}\r\n\r\n"
            );
            let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
            let short = request.path().split("&wait").next().unwrap_or_default().to_owned();
            if size > 1_000 || sent.is_err() {
                let ended = if sent.is_ok() { "sent" } else { "cut off by the reader" };
                self.record.note(format!("store {from} {short} -> {status}, {size} bytes {ended}"));
            }
            sent?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().split('?').next().unwrap_or_default().to_owned();
        match path.as_str() {
            "/api/kv-range" => (200, self.range(request)),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-key" => self.key(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, item_json(&key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> String {
        let state = self.state.0.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("startAfter").unwrap_or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, item) in state.items.range(prefix.clone()..) {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS || (bytes > 0 && bytes + item.0.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.0.len();
            items.push(item_json(key, item));
        }
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":{more},"storeRevision":{revision}}}"#)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("startAfter"), number("waitMs").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            while state.events.front().is_some_and(|e| e.0.elapsed() > HISTORY) {
                let dropped = state.events.pop_front().map_or(0, |e| e.1);
                state.dropped = dropped;
            }
            if after < state.dropped {
                return (410, "{}".to_owned());
            }
            let found = state.events.iter().filter(|e| e.1 > after && e.2.starts_with(&prefix));
            let events: Vec<String> = found.map(|(_, revision, key, value)| match value {
                Some(value) => item_json(key, &(value.clone(), *revision, *revision)),
                None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
            }).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#)
}

/// How a server of a plain service treats the requests that it runs.
#[derive(Clone, Default)]
pub struct Behaviour {
    /// Time of work per request, in ms.
    pub work_ms: u64,
    /// While set, this share of the requests, in percent, fail after they have run, with `status`.
    pub failing: Arc<AtomicBool>,
    pub percent: u64,
    pub status: &'static str,
    /// Size of an answer in bytes; 0 for a short text.
    pub answer_bytes: usize,
}

/// A server of a plain service.
#[derive(Clone)]
pub struct PlainServer {
    pub service: String,
    pub id: String,
    pub address: SocketAddr,
    behaviour: Behaviour,
    count: Arc<AtomicU64>,
}

impl PlainServer {
    pub fn start(record: &Record, service: &str, id: &str, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            service: service.to_owned(),
            id: id.to_owned(),
            address: listener.local_addr()?,
            behaviour,
            count: Arc::default(),
        };
        let (serving, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (serving.clone(), record.clone());
                thread::spawn(move || drop(server.serve(stream, &record)));
            }
        });
        Ok(server)
    }

    /// Entry in the store.
    pub fn entry(&self, zone: &str, born: u64) -> String {
        let Self { service, address, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#
        )
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(mut request) = read_head(&mut stream, &mut rest)? {
            if !read_body(&mut stream, &mut rest, &mut request, false)? {
                return Ok(());
            }
            let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
            let expected = request.header("expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let head = "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
                stream.write_all(format!("{head}Attempt-Id: {attempt}\r\n\r\n").as_bytes())?;
                continue;
            }
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let account = request.header("tenant-name").map_or("no account", |a| a).to_owned();
            record.note(format!("run {attempt} at {} of {} for {account} {text}", self.id, self.service));
            thread::sleep(Duration::from_millis(self.behaviour.work_ms));
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let fails = self.behaviour.failing.load(Ordering::Relaxed)
                && number * 37 % 100 < self.behaviour.percent;
            let status = if fails { self.behaviour.status } else { "200 OK" };
            let mut body = if fails { "failed".to_owned() } else { format!("done by {}", self.service) };
            let missing = self.behaviour.answer_bytes.saturating_sub(body.len());
            body.push_str(&" ".repeat(missing));
            let answer = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{}\r\nContent-Length: {}\r\n\r\n{body}",
                self.service,
                body.len()
            );
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

/// Sends one request without a body on a new connection. `Err` if there is no complete answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    wait: Duration,
) -> io::Result<Message> {
    send_body(to, method, path, headers, b"", wait)
}

/// Sends one request on a new connection. `Err` if there is no complete answer.
pub fn send_body(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        request.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    request.push_str("\r\n");
    stream.write_all(&[request.as_bytes(), body].concat())?;
    let mut rest = Vec::new();
    let Some(mut answer) = read_head(&mut stream, &mut rest)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    if !read_body(&mut stream, &mut rest, &mut answer, true)? {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let _ = stream.shutdown(Shutdown::Both);
    Ok(answer)
}

/// A process of the project, started as the deploy file says.
pub struct Process {
    child: Child,
    pub name: String,
    pub ip: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
}

impl Process {
    /// Starts `apricotd ROLE --machine` with the settings in `settings`.
    pub fn start(
        record: &Record,
        folder: &Path,
        role: &'static str,
        name: &str,
        ip: &str,
        settings: &str,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(role, &path, &log)?;
        record.note(format!("started {name}, pid {}", child.id()));
        Ok(Self {
            child,
            name: name.to_owned(),
            ip: ip.to_owned(),
            role,
            settings: path,
            log,
            record: record.clone(),
        })
    }

    pub fn signal(&self, number: i32) {
        self.record.note(format!("signal {number} to {}", self.name));
        signal(self.child.id(), number);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Status with which the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Starts the process again after its end, with the settings as they are now.
    pub fn restart(&mut self) -> io::Result<()> {
        let _ = self.child.wait();
        self.child = spawn(self.role, &self.settings, &self.log)?;
        self.record.note(format!("started {} again, pid {}", self.name, self.child.id()));
        Ok(())
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> io::Result<String> {
        Ok(self.child.wait()?.to_string())
    }

    /// Replaces `before` in the settings file.
    pub fn change_settings(&self, before: &str, after: &str) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace(before, after))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let program = std::env::var("APRICOTD").unwrap_or_else(|_| "target/release/apricotd".into());
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let errors = out.try_clone()?;
    let mut command = Command::new(program);
    command.args([role, "--machine"]).env_clear().env("APRICOTHALL_BOOT", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    // SAFETY: the call only sets a flag of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.stdin(Stdio::null()).stdout(out).stderr(errors).spawn()
}

/// Ports of the entries, the same on all machines of a run.
#[derive(Clone, Copy)]
pub struct Ports {
    pub peer: u16,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
}

impl Ports {
    /// Finds ports that are free on all addresses of a run.
    pub fn find(ips: &[String]) -> io::Result<Self> {
        let mut found = Vec::new();
        let mut held = Vec::new();
        while found.len() < 5 {
            let first = TcpListener::bind("127.0.0.1:0")?;
            let port = first.local_addr()?.port();
            let free = ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
            held.push(first);
            if free {
                found.push(port);
            }
        }
        let [peer, front, ready, control, directory] = found[..] else {
            return Err(io::ErrorKind::AddrInUse.into());
        };
        Ok(Self { peer, front, ready, control, directory })
    }
}

/// Settings of an entry, with the bounds of the small sites.
pub fn entry_settings(
    name: &str,
    ip: &str,
    zone: &str,
    zones: &[&str],
    seeds: &[String],
    ports: Ports,
    store: SocketAddr,
) -> String {
    let Ports { peer, front, ready, control, directory } = ports;
    let last = peer.saturating_add(1);
    let seeds: Vec<_> = seeds.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
    let seeds = seeds.join(",");
    let zones: Vec<_> = zones.iter().map(|z| format!("{z} = \"{}\"", region(z))).collect();
    let (zones, region) = (zones.join("\n"), region(zone));
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peer},{last}]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 104
recoveryS = 12
passMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}

fn region(zone: &str) -> &str {
    zone.split('-').next().unwrap_or(zone)
}

/// Waits until the entry at `ip` reports that it serves.
pub fn wait_ready(ip: &str, ports: Ports, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let Ok(address) = format!("{ip}:{}", ports.ready).parse() else { return false };
    while Instant::now() < until {
        let headers = [("Host", "platform")];
        let asked = send(address, "GET", "/api/ready", &headers, Duration::from_secs(1));
        if asked.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Entries in one zone that follow a store, with a folder for their settings and logs.
pub struct Deployment {
    pub store: Store,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub ports: Ports,
    folder: PathBuf,
}

pub const ZONE: &str = "lima-a";

/// Host of all routes.
pub const HOST: &str = "h.example";

impl Deployment {
    /// Starts `count` entries and waits until they serve. The store must have a configuration.
    pub fn start(record: &Record, store: Store, count: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        // Runs side by side need addresses of their own, as the port of the metrics is fixed.
        let pid = std::process::id();
        let (high, low) = (pid / 200 % 180 + 64, pid % 200 + 20);
        let ips: Vec<String> = (1..=count).map(|n| format!("127.{high}.{low}.{n}")).collect();
        let ports = Ports::find(&ips)?;
        let mut started = Self { store, entries: Vec::new(), agents: Vec::new(), ports, folder };
        for (number, ip) in ips.iter().enumerate() {
            let name = format!("front-{ZONE}-{}", number + 1);
            let store = started.store.address;
            let settings = entry_settings(&name, ip, ZONE, &[ZONE], &ips, ports, store);
            let folder = &started.folder;
            let entry = Process::start(record, folder, "entry", &name, ip, &settings)?;
            started.entries.push(entry);
        }
        for ip in &ips {
            if !wait_ready(ip, ports, Duration::from_secs(10)) {
                return Err(io::Error::other(format!("the entry at {ip} is not ready")));
            }
        }
        Ok(started)
    }

    /// Starts an agent beside the engine at `app`.
    pub fn start_agent(&mut self, record: &Record, app: SocketAddr, service: &str) -> io::Result<()> {
        let ips: Vec<String> = self.entries.iter().map(|e| e.ip.clone()).collect();
        let net = ips[0].rsplit_once('.').map_or("127.0.0", |(net, _)| net);
        let ip = format!("{net}.101");
        let name = format!("side-{ZONE}-1");
        let settings = entry_settings(&name, &ip, ZONE, &[ZONE], &ips, self.ports, self.store.address);
        let (before, listen) = settings.split_once("[listen]").unwrap_or_default();
        let (_, after) = listen.split_once("[limits]").unwrap_or_default();
        let head = before
            .replace("machineClass = \"front\"", "machineClass = \"side\"")
            .replace(r#"serves = ["front","control","directory"]"#, r#"serves = ["side"]"#)
            .replace("[zones]", &format!("app = \"{app}\"\nservice = \"{service}\"\n[zones]"));
        let after = after.replace("memoryMb = 260", "memoryMb = 128").replace("linkMbps = 1000.0", "linkMbps = 7.6");
        let settings = format!("{head}[listen]\n[limits]{after}");
        let agent = Process::start(record, &self.folder, "agent", &name, &ip, &settings)?;
        self.agents.push(agent);
        Ok(())
    }

    /// Addresses of the entries for callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let address = |e: &Process| format!("{}:{}", e.ip, self.ports.front).parse().ok();
        self.entries.iter().filter_map(address).collect()
    }

    /// Names of entries that have ended by themselves.
    pub fn ended(&mut self, record: &Record) -> usize {
        let mut count = 0;
        for entry in &mut self.entries {
            if let Some(status) = entry.ended() {
                record.note(format!("{} has ended by itself: {status}", entry.name));
                count += 1;
            }
        }
        count
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of a configuration, in JSON.
pub fn route(name: &str, prefix: &str, service: &str, kind: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","targetLatencyMs":300,"priority":2,"service":"{service}","maxAttempts":2{more}}}"#
    )
}

/// A route with more than one service, in JSON. `more` has the split.
pub fn split_route(name: &str, prefix: &str, kind: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","targetLatencyMs":300,"priority":2,"maxAttempts":2{more}}}"#
    )
}

/// A configuration, in JSON. `limits` and `tenants` are JSON as well.
pub fn configuration(version: u64, routes: &[String], services: &[&str], idle_ms: &str, tenants: &str) -> String {
    let routes = routes.join(",");
    let services: Vec<_> = services.iter().map(|s| format!(r#"{{"name":"{s}","healthPath":"/health"}}"#)).collect();
    let services = services.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":{idle_ms}}},"tenants":[{tenants}]}}"#
    )
}

/// A configuration without client accounts whose services are given in JSON.
pub fn raw_configuration(version: u64, routes: &[String], services: &str) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Starts `count` plain servers of `service` and registers them.
pub fn start_servers(record: &Record, store: &Store, service: &str, count: usize) -> io::Result<()> {
    for number in 1..=count {
        let id = format!("i-{service}-{number}");
        let server = PlainServer::start(record, service, &id, Behaviour { work_ms: 20, ..Behaviour::default() })?;
        store.put(&format!("servers/{id}"), &server.entry(ZONE, unix_ms()));
    }
    Ok(())
}

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// When it was sent, in ms.
    pub ms: u64,
    /// Status of the answer; 0 if there was no complete one.
    pub status: u16,
}

/// Clients that send a request to each entry every 100 ms until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<Attempt>>>,
}

impl Clients {
    pub fn start(record: &Record, to: &[SocketAddr], name: &str, method: &'static str, path: &str, key: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = to.iter().enumerate().map(|(entry, to)| {
            let (record, stop, to) = (record.clone(), stop.clone(), *to);
            let (name, path, key) = (format!("{name}-{entry}"), path.to_owned(), key.to_owned());
            thread::spawn(move || client(&record, to, &name, method, &path, &key, &stop))
        });
        Self { threads: threads.collect(), stop: stop.clone() }
    }

    /// Clients that ask each entry for a draft every 100 ms.
    pub fn start_drafts(record: &Record, to: &[SocketAddr], model: &str) -> Self {
        let headers = format!("Model: {model}\r\nToken-Usage: 900,24\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:860");
        Self::start(record, to, "draft", "POST", "/drafts/x", &format!("none\r\n{headers}"))
    }

    /// Stops the clients and returns their attempts.
    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    }
}

fn client(record: &Record, to: SocketAddr, name: &str, method: &str, path: &str, key: &str, stop: &AtomicBool) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    let budget = if path.starts_with("/drafts/") { "6000" } else { "1500" };
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", attempts.len());
        let headers = [("Host", HOST), ("Attempt-Id", &id), ("Deadline-Ms", budget), ("X-Api-Key", key)];
        let ms = record.note(format!("sent {id} {method} {path}"));
        let body: &[u8] = if method == "POST" { b"order" } else { b"" };
        let answer = send_body(to, method, path, &headers, body, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default();
        record.note(format!("answered {id} {status} {}", text.chars().take(80).collect::<String>().replace('\n', " ")));
        attempts.push(Attempt { id, ms, status });
        thread::sleep(Duration::from_millis(100));
    }
    attempts
}

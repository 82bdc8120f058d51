//! A stand-in of the platform's store: the reading calls of PROTOCOL.md, and writes by the operator
//! and the servers of a case.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, answer, serve};

/// Time between two looks of a waiting watch.
const STEP: Duration = Duration::from_millis(10);

/// Number of items a page.
const PAGE: usize = 500;

/// What the store holds. A copy of it is a backup.
#[derive(Clone, Default)]
pub struct Contents {
    pub revision: u64,
    items: BTreeMap<String, (u64, u64, String)>,
    /// All writes in their order; the value is `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
}

struct State {
    contents: Contents,
    era: u64,
    up: bool,
    /// Channels that were opened before this time are silent for good.
    silent_before: Option<Instant>,
}

impl State {
    fn is_silent(&self, request: &Request) -> bool {
        self.silent_before.is_some_and(|at| request.opened < at)
    }
}

/// A handle to the store. Cheap to clone.
#[derive(Clone)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Starts to serve on `listener`.
    pub fn start(listener: TcpListener) -> Self {
        let contents = Contents {
            revision: 100,
            ..Contents::default()
        };
        let store = Self(Arc::new(Mutex::new(State {
            contents,
            era: 1,
            up: true,
            silent_before: None,
        })));
        let serving = store.clone();
        serve(
            listener,
            Arc::new(move |request, stream| serving.answer(request, stream)),
        );
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no writer panics")
    }

    /// Writes an item if it differs from what the store has. Returns false while the store is away.
    pub fn keep(&self, key: &str, value: &str) -> bool {
        let state = self.state();
        let same = state
            .contents
            .items
            .get(key)
            .is_some_and(|(_, _, held)| held == value);
        let (up, same) = (state.up, state.up && same);
        drop(state);
        same || up && self.put(key, value).is_some()
    }

    /// Writes an item. Returns the revision of the acknowledgement, or `None` while it is away.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        self.write(key, Some(value))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> Option<u64> {
        self.write(key, None)
    }

    fn write(&self, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.state();
        if !state.up {
            return None;
        }
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let before = contents.items.remove(key);
        let created = before.map_or(revision, |(created, _, _)| created);
        let value = value.map(str::to_owned);
        if let Some(value) = value.clone() {
            let item = (created, revision, value);
            contents.items.insert(key.to_owned(), item);
        }
        contents.history.push((revision, key.to_owned(), value));
        Some(revision)
    }

    /// A copy of what it holds.
    pub fn copy(&self) -> Contents {
        self.state().contents.clone()
    }

    pub fn revision(&self) -> u64 {
        self.state().contents.revision
    }

    /// Goes away: it closes channels without an answer.
    pub fn leave(&self) {
        self.state().up = false;
    }

    /// All channels that are open now go silent for good; new ones work.
    pub fn silence_channels(&self) {
        self.state().silent_before = Some(Instant::now());
    }

    /// Comes back with `contents`, in a new era.
    pub fn come_back(&self, contents: Contents) {
        let mut state = self.state();
        state.contents = contents;
        state.era += 1;
        state.up = true;
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if !self.state().up {
            return false;
        }
        let found = match request.path.as_str() {
            "/api/kv-key" => self.key(request),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            _ => Some(("404 Not Found", String::new())),
        };
        while self.state().is_silent(request) {
            thread::sleep(Duration::from_secs(1));
        }
        let Some((status, body)) = found else {
            return false;
        };
        let era = self.state().era;
        let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        answer(stream, status, &headers, body.as_bytes())
    }

    fn key(&self, request: &Request) -> Option<(&'static str, String)> {
        let key = request.field("key")?;
        let state = self.state();
        let contents = &state.contents;
        Some(match contents.items.get(&key) {
            Some((created, revision, value)) => {
                let item = item(&key, *created, *revision, value);
                let store = contents.revision;
                let text = item.replacen('{', &format!("{{\"storeRevision\":{store},"), 1);
                ("200 OK", text)
            }
            None => ("404 Not Found", String::new()),
        })
    }

    fn range(&self, request: &Request) -> Option<(&'static str, String)> {
        let prefix = request.field("prefix")?;
        let after = request.field("startAfter").unwrap_or_default();
        let state = self.state();
        let contents = &state.contents;
        let matching = contents.items.iter();
        let mut matching: Vec<_> = matching
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, (created, revision, value))| item(key, *created, *revision, value))
            .collect();
        let more = matching.len() > PAGE;
        matching.truncate(PAGE);
        let items = matching.join(",");
        let revision = contents.revision;
        let text = format!(r#"{{"items":[{items}],"hasMore":{more},"storeRevision":{revision}}}"#);
        Some(("200 OK", text))
    }

    fn watch(&self, request: &Request) -> Option<(&'static str, String)> {
        let prefix = request.field("prefix")?;
        let after: u64 = request.field("startAfter")?.parse().ok()?;
        let wait = request
            .field("waitMs")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let era = self.state().era;
        loop {
            let state = self.state();
            if !state.up || state.era != era {
                return None;
            }
            let contents = &state.contents;
            if after > contents.revision {
                return Some(("410 Gone", String::new()));
            }
            let newer = contents
                .history
                .iter()
                .rev()
                .take_while(|(at, _, _)| *at > after);
            let mut events: Vec<_> = newer
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(at, key, value)| match value {
                    Some(value) => item(key, *at, *at, value),
                    None => format!(r#"{{"key":"{key}","revision":{at},"tombstone":true}}"#),
                })
                .collect();
            events.reverse();
            if !events.is_empty() || Instant::now() >= until {
                let (events, revision) = (events.join(","), contents.revision);
                let text = format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#);
                return Some(("200 OK", text));
            }
            drop(state);
            thread::sleep(STEP);
        }
    }
}

fn item(key: &str, created: u64, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

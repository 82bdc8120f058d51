//! The platform's store: operators and servers write to it, daemons list and watch.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value of each write.
    events: Vec<(u64, String, String)>,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves `listener` until the process ends.
    pub fn start(&self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        address
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        state
            .events
            .push((revision, key.to_owned(), value.to_owned()));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let body = match request.path() {
                "/api/kv-range" => self.range(&request),
                "/api/kv-watch" => self.watch(&request),
                _ => {
                    let _ = connection.write(&response("404 Not Found", "", b""));
                    continue;
                }
            };
            let json = "Content-Type: application/json\r\n";
            if connection
                .write(&response("200 OK", json, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, request: &Message) -> String {
        let prefix = request.query("prefix").unwrap_or_default();
        let state = self.shared.0.lock().expect("no panic");
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items = found.map(|(key, (value, revision))| item(key, value, *revision));
        let items: Vec<_> = items.collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"storeRevision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Message) -> String {
        let number = |name| {
            let value = request.query(name).and_then(|v| v.parse::<u64>().ok());
            value.unwrap_or(0)
        };
        let (after, wait) = (number("startAfter"), number("waitMs"));
        let prefix = request.query("prefix").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        loop {
            let new = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = new.map(|(r, key, value)| item(key, value, *r)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Hexadecimal digits of `bytes`.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

//! What callers and servers must see, whatever happens in between.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::{Answer, HttpClient};
use http::StatusCode;
use rand::seq::IndexedRandom;

use crate::standin::{KEY, ServerLog, caller_request};
use crate::world::{EVENTS, World};

/// Time after which a route's request must have its answer.
const ROUTE_TIME: Duration = Duration::from_secs(3);

/// Time beyond it that a busy machine and a delayed network take.
const SLACK: Duration = Duration::from_millis(1_500);

/// Longest wait of a caller.
const CALLER_WAIT: Duration = Duration::from_secs(9);

/// Time after which a key that was taken away must not work, and a margin for requests under way.
const REVOKED: Duration = Duration::from_millis(5_500);

/// Time within which entries serve again once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(8);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

#[derive(Default)]
struct State {
    /// Requests that were answered with the promise that they never run.
    not_run: Vec<String>,
    /// Requests sent with a key after it had to be out of use.
    late_keys: Vec<String>,
    broken: Vec<String>,
    excused: HashMap<IpAddr, Instant>,
    revoked: Option<Instant>,
    whole: u32,
}

/// The checks of one play. Clones share it.
#[derive(Clone)]
pub struct Checks {
    state: Arc<Mutex<State>>,
    seen: Vec<ServerLog>,
    callers: Vec<SocketAddr>,
    client: HttpClient,
}

impl Checks {
    /// Checks of the callers and servers of `world`.
    pub fn new(world: &World) -> Self {
        Self {
            state: Arc::default(),
            seen: world.seen.clone(),
            callers: world.callers(),
            client: HttpClient::new(None, Duration::from_secs(1)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// An entry that was frozen answers late.
    pub fn excuse(&self, ip: IpAddr) {
        self.state().excused.insert(ip, Instant::now());
    }

    /// Callers have another key from now on. False when they had it before.
    pub fn use_spare(&self) -> bool {
        let mut state = self.state();
        let first = state.revoked.is_none();
        state.revoked.get_or_insert_with(Instant::now);
        first
    }

    /// Sends one request and checks its answer.
    pub async fn ask(&self, id: &str, path: &str) {
        let at = *self.callers.choose(&mut rand::rng()).expect("some");
        let revoked = self.state().revoked;
        // One caller in two does not hear of the new key.
        let old = revoked.is_none() || id.ends_with(['0', '2', '4', '6', '8']);
        let key = if old { KEY } else { "spare" };
        let request = caller_request(at, id, path, key);
        let sent = Instant::now();
        if old && revoked.is_some_and(|since| sent.duration_since(since) > REVOKED) {
            self.state().late_keys.push(id.to_owned());
        }
        let answer = self.client.call(request, CALLER_WAIT, ANSWER_BYTES).await;
        let took = sent.elapsed();
        if took > ROUTE_TIME + SLACK && !self.is_excused(at.ip(), sent) {
            self.fail(format!("{id} {path}: no end within {took:?}: {answer:?}"));
        }
        // An error is a connection that ended, which promises nothing.
        if let Ok(answer) = answer {
            self.check(id, path, &answer);
        }
    }

    fn is_excused(&self, ip: IpAddr, sent: Instant) -> bool {
        let limit = CALLER_WAIT + SLACK;
        let state = self.state();
        let excused = state.excused.get(&ip);
        excused.is_some_and(|at| sent.duration_since(*at) < limit || *at > sent)
    }

    fn check(&self, id: &str, path: &str, answer: &Answer) {
        let body = String::from_utf8_lossy(&answer.body);
        match answer.status {
            StatusCode::OK => {
                let whole = if path.starts_with("/draft/") {
                    ordered(&body)
                } else {
                    body == format!("done {id}")
                };
                if !whole {
                    self.fail(format!("{id} {path}: a success that is none: {body:?}"));
                }
                self.state().whole += 1;
            }
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => self.state().not_run.push(id.to_owned()),
            StatusCode::UNAUTHORIZED if self.state().revoked.is_some() => {}
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {}
            StatusCode::INTERNAL_SERVER_ERROR if body == "sorry" => {}
            other => self.fail(format!("{id} {path}: {other}: {body:?}")),
        }
    }

    fn fail(&self, text: String) {
        self.state().broken.push(text);
    }

    /// Checks that each entry serves once all faults have ended.
    pub async fn serves_again(&self) {
        for at in &self.callers {
            let until = Instant::now() + RECOVERY;
            let mut served = false;
            let mut number = 0;
            while !served && Instant::now() < until {
                number += 1;
                let id = format!("end-{}-{number}", at.ip());
                let key = if self.state().revoked.is_some() {
                    "spare"
                } else {
                    KEY
                };
                let request = caller_request(*at, &id, "/read/1", key);
                let answer = self.client.call(request, CALLER_WAIT, ANSWER_BYTES).await;
                served = answer.is_ok_and(|a| a.status == StatusCode::OK);
            }
            if !served {
                self.fail(format!("{at} does not serve after the faults"));
            }
        }
    }

    /// Promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let mut runs: HashMap<String, (u32, bool)> = HashMap::new();
        for request in self.seen.iter().flat_map(ServerLog::requests) {
            let id = request.attempt().to_owned();
            let run = runs.entry(id).or_default();
            run.0 += 1;
            run.1 |= request.line.starts_with("POST");
        }
        let state = self.state();
        let mut broken = state.broken.clone();
        if state.whole == 0 {
            broken.push("nothing was served".into());
        }
        for (id, (count, booking)) in &runs {
            if *booking && *count > 1 {
                broken.push(format!("{id} ran {count} times"));
            }
        }
        // A server may say itself that it has not run a request that it was sent.
        let refused = |id: &String| crate::world::refuses(id);
        let late = state.not_run.iter().filter(|id| runs.contains_key(*id));
        let bookings = late.filter(|id| runs[*id].1 && !refused(id));
        broken.extend(bookings.map(|id| format!("{id} ran, though refused as not run")));
        let keys = state.late_keys.iter().filter(|id| runs.contains_key(*id));
        broken.extend(keys.map(|id| format!("{id} ran with a key that was taken away")));
        broken
    }
}

/// Whether a stream has all its events in order.
fn ordered(body: &str) -> bool {
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.eq((1..=EVENTS).map(|n| n.to_string()))
}

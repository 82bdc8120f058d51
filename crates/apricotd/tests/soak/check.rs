//! Guarantees to callers and servers that must hold under any faults.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::{Answer, HttpClient};
use http::StatusCode;
use rand::seq::IndexedRandom;

use crate::standin::{KEY, ServerLog, caller_request};
use crate::world::{EVENTS, World};

/// Timeout of a route's requests.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Tolerance above the timeout, for a busy machine and a delayed network.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(1_500);

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(9);

/// Time after which a revoked key must be refused, including a margin for requests in flight.
const REVOCATION_LIMIT: Duration = Duration::from_millis(5_500);

/// Time limit for entries to serve again after all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

#[derive(Default)]
struct State {
    /// Requests whose answer guarantees that they are never run.
    not_run: Vec<String>,
    /// Requests sent with a revoked key after it had to be refused.
    sent_after_revocation: Vec<String>,
    violations: Vec<String>,
    exempted: HashMap<IpAddr, Instant>,
    revoked: Option<Instant>,
    served: u32,
}

/// Checks of one run. Clones share their state.
#[derive(Clone)]
pub struct Checks {
    state: Arc<Mutex<State>>,
    seen: Vec<ServerLog>,
    callers: Vec<SocketAddr>,
    client: HttpClient,
}

impl Checks {
    /// Creates checks for the callers and servers of `world`.
    pub fn new(world: &World) -> Self {
        Self {
            state: Arc::default(),
            seen: world.seen.clone(),
            callers: world.caller_addresses(),
            client: HttpClient::new(None, Duration::from_secs(1)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Exempts an entry that is being frozen from the time limit.
    pub fn exempt(&self, ip: IpAddr) {
        self.state().exempted.insert(ip, Instant::now());
    }

    /// Switches callers to the spare key; returns whether this is the first switch.
    pub fn switch_key(&self) -> bool {
        let mut state = self.state();
        let first = state.revoked.is_none();
        state.revoked.get_or_insert_with(Instant::now);
        first
    }

    /// Sends one request and checks its answer.
    pub async fn send_request(&self, id: &str, path: &str) {
        let at = *self.callers.choose(&mut rand::rng()).expect("some");
        let revoked = self.state().revoked;
        // Half of the requests keep using the revoked key.
        let uses_old_key = revoked.is_none() || id.ends_with(['0', '2', '4', '6', '8']);
        let key = if uses_old_key { KEY } else { "spare" };
        let request = caller_request(at, id, path, key);
        let sent = Instant::now();
        if uses_old_key
            && revoked.is_some_and(|since| sent.duration_since(since) > REVOCATION_LIMIT)
        {
            self.state().sent_after_revocation.push(id.to_owned());
        }
        let answer = self
            .client
            .call(request, CALLER_TIMEOUT, MAX_ANSWER_BYTES)
            .await;
        let took = sent.elapsed();
        if took > ROUTE_TIMEOUT + TIMEOUT_TOLERANCE && !self.is_exempt(at.ip(), sent) {
            self.add_violation(format!(
                "{id} {path}: completed only after {took:?}: {answer:?}"
            ));
        }
        // An error is a broken connection, which guarantees nothing.
        if let Ok(answer) = answer {
            self.check_answer(id, path, &answer);
        }
    }

    fn is_exempt(&self, ip: IpAddr, sent: Instant) -> bool {
        let limit = CALLER_TIMEOUT + TIMEOUT_TOLERANCE;
        let state = self.state();
        let exempted = state.exempted.get(&ip);
        exempted.is_some_and(|at| sent.duration_since(*at) < limit || *at > sent)
    }

    fn check_answer(&self, id: &str, path: &str, answer: &Answer) {
        let body = String::from_utf8_lossy(&answer.body);
        match answer.status {
            StatusCode::OK => {
                let is_complete = if path.starts_with("/draft/") {
                    is_complete_stream(&body)
                } else {
                    body == format!("done {id}")
                };
                if !is_complete {
                    self.add_violation(format!(
                        "{id} {path}: status 200 with an incomplete body: {body:?}"
                    ));
                }
                self.state().served += 1;
            }
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => self.state().not_run.push(id.to_owned()),
            StatusCode::UNAUTHORIZED if self.state().revoked.is_some() => {}
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {}
            StatusCode::INTERNAL_SERVER_ERROR if body == "sorry" => {}
            other => self.add_violation(format!("{id} {path}: {other}: {body:?}")),
        }
    }

    fn add_violation(&self, text: String) {
        self.state().violations.push(text);
    }

    /// Checks that each entry serves again after all faults have ended.
    pub async fn check_recovery(&self) {
        for at in &self.callers {
            let until = Instant::now() + RECOVERY_LIMIT;
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
                let answer = self
                    .client
                    .call(request, CALLER_TIMEOUT, MAX_ANSWER_BYTES)
                    .await;
                served = answer.is_ok_and(|a| a.status == StatusCode::OK);
            }
            if !served {
                self.add_violation(format!("{at} does not serve after all faults have ended"));
            }
        }
    }

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut runs: HashMap<String, (u32, bool)> = HashMap::new();
        for request in self.seen.iter().flat_map(ServerLog::requests) {
            let id = request.attempt().to_owned();
            let run = runs.entry(id).or_default();
            run.0 += 1;
            run.1 |= request.line.starts_with("POST");
        }
        let state = self.state();
        let mut violations = state.violations.clone();
        violations.extend(self.seen.iter().flat_map(|seen| seen.limit.violations()));
        if state.served == 0 {
            violations.push("no request was served".into());
        }
        for (id, (count, booking)) in &runs {
            if *booking && *count > 1 {
                violations.push(format!("{id} was executed {count} times"));
            }
        }
        // A server may itself refuse a request that it received, without running it.
        let refused = |id: &String| crate::world::is_refused(id);
        let late = state.not_run.iter().filter(|id| runs.contains_key(*id));
        let bookings = late.filter(|id| runs[*id].1 && !refused(id));
        violations
            .extend(bookings.map(|id| format!("{id} was executed although refused as not run")));
        let keys = state
            .sent_after_revocation
            .iter()
            .filter(|id| runs.contains_key(*id));
        violations.extend(keys.map(|id| format!("{id} was executed with a revoked key")));
        violations
    }
}

/// Whether a stream has all its events in order.
fn is_complete_stream(body: &str) -> bool {
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.eq((1..=EVENTS).map(|n| n.to_string()))
}

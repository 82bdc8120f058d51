//! Test double of a plain service, which executes each call it receives.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::server::{Call, Gate, Mode, Reply, Server, close_without_answer, json, reply};

/// One execution of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Method of the call.
    pub method: Method,
    /// Path and query of the call.
    pub path: SmolStr,
    /// `Idempotency-Key` of the call. The service does not evaluate it.
    pub key: Option<SmolStr>,
    /// `x-request-id` of the call.
    pub request: Option<SmolStr>,
    /// Body of the call.
    pub body: Bytes,
}

/// Body of the service's responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of the execution, from 1.
    pub execution: u64,
    /// Path and query of the call.
    pub path: SmolStr,
    /// Body of the call, as text.
    pub echo: String,
}

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    before: Duration,
    after: Duration,
    /// Number of next answers that are dropped.
    drops_left: u32,
    poison: Option<SmolStr>,
    crashes: u32,
    restart: Duration,
    status: Option<StatusCode>,
    limit: Option<HeaderValue>,
}

struct Core {
    state: Mutex<State>,
    gate: Gate,
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running plain service.
pub struct PlainService {
    core: Arc<Core>,
    server: Server,
}

impl PlainService {
    /// Starts a service that responds without delay.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let core = Arc::new(Core {
            state: Mutex::default(),
            gate: Gate::default(),
        });
        let inner = core.clone();
        let handler = move |call: Call| run(inner.clone(), call);
        let server = Server::start(address, core.gate.clone(), handler).await?;
        Ok(Self { core, server })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns all executions, in order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.core.lock().executions.clone()
    }

    /// Number of executions by `Idempotency-Key`, excluding calls without one.
    #[must_use]
    pub fn counts(&self) -> HashMap<SmolStr, u32> {
        let mut counts = HashMap::new();
        for key in self
            .core
            .lock()
            .executions
            .iter()
            .filter_map(|e| e.key.clone())
        {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// Closes the connection instead of sending the next `count` responses, after the execution.
    pub fn drop_answers(&self, count: u32) {
        self.core.lock().drops_left = count;
    }

    /// Waits `before` ahead of each execution and `after` following it. A received call is
    /// executed even if its client disconnects.
    pub fn set_delay(&self, before: Duration, after: Duration) {
        let mut state = self.core.lock();
        (state.before, state.after) = (before, after);
    }

    /// Responds with this status, after the execution.
    pub fn set_status(&self, status: Option<StatusCode>) {
        self.core.lock().status = status;
    }

    /// Names this limit in each response.
    pub fn set_limit(&self, limit: Option<HeaderValue>) {
        self.core.lock().limit = limit;
    }

    /// Makes the service crash after each execution of a call whose body contains `marker`. It
    /// accepts connections again after `restart`.
    pub fn set_poison(&self, marker: Option<&str>, restart: Duration) {
        let mut state = self.core.lock();
        (state.poison, state.restart) = (marker.map(SmolStr::new), restart);
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.core.lock().crashes
    }

    /// Withholds all responses while `frozen`.
    pub fn set_frozen(&self, frozen: bool) {
        self.core.gate.set_frozen(frozen);
    }

    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.core.gate.set_mode(mode);
    }

    /// Stops the service and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

/// Executes a call, even if its connection breaks in the meantime.
async fn run(core: Arc<Core>, call: Call) -> Reply {
    let task = tokio::spawn(async move { execute(&core, &call).await });
    let failed = |_| reply(StatusCode::INTERNAL_SERVER_ERROR, "");
    task.await.unwrap_or_else(failed)
}

async fn execute(core: &Arc<Core>, call: &Call) -> Reply {
    let (before, after) = {
        let state = core.lock();
        (state.before, state.after)
    };
    tokio::time::sleep(before).await;
    let Some((receipt, status)) = run_call(core, call) else {
        return close_without_answer();
    };
    tokio::time::sleep(after).await;
    let mut reply = json(status, &receipt);
    if let Some(id) = call.request.headers().get("x-request-id") {
        reply.headers_mut().insert("x-request-id", id.clone());
    }
    if let Some(limit) = core.lock().limit.clone() {
        reply.headers_mut().insert("x-request-limit", limit);
    }
    reply
}

/// Executes the call and returns its response, unless the response is to be dropped.
fn run_call(core: &Arc<Core>, call: &Call) -> Option<(Receipt, StatusCode)> {
    let mut state = core.lock();
    let receipt = state.record(call);
    if state.is_poison(&receipt.echo) {
        state.crashes += 1;
        crash(core, state.restart);
        return None;
    }
    if state.drops_left > 0 {
        state.drops_left -= 1;
        return None;
    }
    Some((receipt, state.status.unwrap_or(StatusCode::OK)))
}

fn crash(core: &Arc<Core>, restart: Duration) {
    core.gate.set_mode(Mode::Refuse);
    let gate = core.gate.clone();
    tokio::spawn(async move {
        tokio::time::sleep(restart).await;
        gate.set_mode(Mode::Open);
    });
}

impl State {
    fn record(&mut self, call: &Call) -> Receipt {
        let uri = call.request.uri();
        let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
        let body = call.request.body().clone();
        let echo = String::from_utf8_lossy(&body).into_owned();
        self.executions.push(Execution {
            method: call.request.method().clone(),
            path: SmolStr::new(path),
            key: call.header("idempotency-key").map(SmolStr::new),
            request: call.header("x-request-id").map(SmolStr::new),
            body,
        });
        Receipt {
            execution: self.executions.len() as u64,
            path: SmolStr::new(path),
            echo,
        }
    }

    fn is_poison(&self, body: &str) -> bool {
        self.poison
            .as_ref()
            .is_some_and(|m| body.contains(m.as_str()))
    }
}

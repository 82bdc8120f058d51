//! Test double of the configuration service, which holds keys with revisions that can be read and
//! watched.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::Revision;
use bytes::Bytes;
use http::{Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::server::{Call, Gate, Mode, Reply, Server, reply, retry_later};

/// Number of reads per second that the platform allows for all readers together.
pub const DEFAULT_BUDGET: u32 = 2_000;

/// Period in which reads are counted against the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// `Retry-After` of a read above the budget, in seconds.
const RETRY_SECONDS: u64 = 1;

/// Revisions that readers see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// The newest revision.
    #[default]
    Newest,
    /// The newest revision up to this one.
    Stale(Revision),
    /// Alternately one of these two, changing with each call.
    Flapping(Revision, Revision),
}

/// Counts of received calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    /// All calls, including waiting and refused ones.
    pub total: u64,
    /// Calls refused because the budget was exceeded.
    pub refused: u64,
    /// All calls, by source address.
    pub sources: HashMap<IpAddr, u64>,
}

struct State {
    values: HashMap<SmolStr, Vec<(Revision, Bytes)>>,
    view: View,
    reads: Reads,
    budget: u32,
    window: (Instant, u32),
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running configuration service.
pub struct ConfigService {
    shared: Arc<Shared>,
    gate: Gate,
    server: Server,
}

impl ConfigService {
    /// Starts a service without keys, with [`DEFAULT_BUDGET`].
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = State {
            values: HashMap::new(),
            view: View::Newest,
            reads: Reads::default(),
            budget: DEFAULT_BUDGET,
            window: (Instant::now(), 0),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
        });
        let gate = Gate::default();
        let inner = shared.clone();
        let handler = move |call: Call| {
            let shared = inner.clone();
            async move { answer(&shared, &call).await }
        };
        let server = Server::start(address, gate.clone(), handler).await?;
        Ok(Self {
            shared,
            gate,
            server,
        })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value as the next revision of `key` and returns that revision.
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) -> Revision {
        let mut state = self.shared.lock();
        let history = state.values.entry(SmolStr::new(key)).or_default();
        let revision = history.last().map_or(Revision(1), |(r, _)| r.next());
        history.push((revision, value.into()));
        drop(state);
        self.shared.changed.send_replace(());
        revision
    }

    /// Sets which revisions readers see.
    pub fn set_view(&self, view: View) {
        self.shared.lock().view = view;
        self.shared.changed.send_replace(());
    }

    /// Sets the number of reads per second allowed for all readers together.
    pub fn set_budget(&self, budget: u32) {
        self.shared.lock().budget = budget;
    }

    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.gate.set_mode(mode);
    }

    /// Makes the service unreachable from exactly these source addresses.
    pub fn block(&self, sources: impl IntoIterator<Item = IpAddr>) {
        self.gate.block(sources);
    }

    /// Counts of the calls received so far.
    #[must_use]
    pub fn reads(&self) -> Reads {
        self.shared.lock().reads.clone()
    }

    /// Stops the service and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl State {
    /// Counts a read. Returns false if it exceeds the budget.
    fn count(&mut self, peer: IpAddr, now: Instant) -> bool {
        self.reads.total += 1;
        *self.reads.sources.entry(peer).or_default() += 1;
        if now.duration_since(self.window.0) >= BUDGET_WINDOW {
            self.window = (now, 0);
        }
        if self.window.1 >= self.budget {
            self.reads.refused += 1;
            return false;
        }
        self.window.1 += 1;
        true
    }

    /// Upper bound of the revisions that this call may see.
    fn newest_visible(&self) -> Revision {
        match self.view {
            View::Newest => Revision(u64::MAX),
            View::Stale(revision) => revision,
            View::Flapping(a, _) if self.reads.total.is_multiple_of(2) => a,
            View::Flapping(_, b) => b,
        }
    }

    fn visible(&self, key: &str) -> Option<(Revision, Bytes)> {
        let newest = self.newest_visible();
        let history = self.values.get(key)?;
        history.iter().rev().find(|(r, _)| *r <= newest).cloned()
    }
}

async fn answer(shared: &Shared, call: &Call) -> Reply {
    let Some(key) = call.path().strip_prefix("/v1/keys/") else {
        return reply(StatusCode::NOT_FOUND, "");
    };
    if call.request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    let mut changed = shared.changed.subscribe();
    if !shared.lock().count(call.peer, Instant::now()) {
        return retry_later(StatusCode::TOO_MANY_REQUESTS, RETRY_SECONDS);
    }
    let after = call.number("after").map(Revision);
    let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
    let end = Instant::now() + wait;
    loop {
        let visible = shared.lock().visible(key);
        match (visible, after) {
            (Some((revision, value)), None) => {
                return with_revision(StatusCode::OK, revision, value);
            }
            (Some((revision, value)), Some(after)) if revision > after => {
                return with_revision(StatusCode::OK, revision, value);
            }
            (None, None) => return reply(StatusCode::NOT_FOUND, ""),
            _ => {}
        }
        if tokio::time::timeout_at(end, changed.changed())
            .await
            .is_ok()
        {
            continue;
        }
        return match shared.lock().visible(key) {
            Some((revision, _)) => with_revision(StatusCode::NOT_MODIFIED, revision, Bytes::new()),
            None => reply(StatusCode::NOT_FOUND, ""),
        };
    }
}

fn with_revision(status: StatusCode, revision: Revision, value: Bytes) -> Reply {
    let mut reply = reply(status, value);
    reply.headers_mut().insert("x-revision", revision.0.into());
    reply
}

//! HTTP/1.1 server used by the test doubles, with a gate that simulates outages.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Interval between attempts to bind the address again after an outage.
const REBIND_WAIT: Duration = Duration::from_millis(20);

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Response of a test double.
pub type Reply = Response<Body>;

/// A request with its complete body and its source address.
pub struct Call {
    /// Method, path, headers and body.
    pub request: Request<Bytes>,
    /// Source address of the connection.
    pub peer: IpAddr,
}

impl Call {
    /// Path of the request, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.request.uri().path()
    }

    /// Value of the query parameter `name`, as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.request.uri().query()?.split('&');
        let value = pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)?
            .1;
        value.parse().ok()
    }

    /// Value of the header `name`, if it is valid text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        text_of(self.request.headers(), name)
    }
}

/// Value of the header `name`, if it is valid text.
#[must_use]
pub fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// How connections are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Connections are served.
    #[default]
    Open,
    /// The port is closed and connections are refused. Existing ones are closed.
    Refuse,
    /// Connections are accepted and closed at once. Existing ones are closed.
    Drop,
}

#[derive(Clone, Default)]
struct GateState {
    mode: Mode,
    frozen: bool,
    blocked: BTreeSet<IpAddr>,
}

impl GateState {
    fn rejects(&self, peer: IpAddr) -> bool {
        self.mode != Mode::Open || self.blocked.contains(&peer)
    }
}

/// Simulates outages of one test double. Clones control the same one.
#[derive(Clone)]
pub struct Gate(Arc<watch::Sender<GateState>>);

impl Default for Gate {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(GateState::default())))
    }
}

impl Gate {
    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.0.send_modify(|s| s.mode = mode);
    }

    /// Closes and rejects connections from exactly these source addresses.
    pub fn block(&self, sources: impl IntoIterator<Item = IpAddr>) {
        self.0
            .send_modify(|s| s.blocked = sources.into_iter().collect());
    }

    /// Withholds all responses while `frozen`.
    pub fn set_frozen(&self, frozen: bool) {
        self.0.send_modify(|s| s.frozen = frozen);
    }

    /// Waits while the test double is frozen.
    pub async fn wait_unfrozen(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|s| !s.frozen).await;
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers requests with `handler`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, gate: Gate, handler: H) -> io::Result<Self>
    where
        H: Fn(Call) -> F + Clone + Send + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, address, gate, handler));
        Ok(Self { address, task })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept<H, F>(first: TcpListener, address: SocketAddr, gate: Gate, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut listener = Some(first);
    let mut conns = JoinSet::new();
    let mut state = gate.0.subscribe();
    loop {
        if state.borrow_and_update().mode == Mode::Refuse {
            listener = None;
            let _ = state.changed().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(REBIND_WAIT).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                conns.spawn(serve(stream, peer.ip(), gate.clone(), handler.clone()));
            }
            _ = state.changed() => {}
            Some(_) = conns.join_next() => {}
        }
    }
}

async fn serve<H, F>(stream: TcpStream, peer: IpAddr, gate: Gate, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let mut state = gate.0.subscribe();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, gate) = (handler.clone(), gate.clone());
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            gate.wait_unfrozen().await;
            let request = Request::from_parts(head, body);
            let reply = handler(Call { request, peer }).await;
            gate.wait_unfrozen().await;
            if reply.extensions().get::<NoAnswer>().is_some() {
                return Err(io::Error::other("response dropped"));
            }
            Ok(reply)
        }
    });
    let conn =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = conn => {}
        _ = state.wait_for(|s| s.rejects(peer)) => {}
    }
}

/// Marks a response that is not sent; the connection is closed instead.
#[derive(Clone)]
struct NoAnswer;

/// Creates a response that closes the connection without being sent.
#[must_use]
pub fn close_without_answer() -> Reply {
    let mut reply = reply(StatusCode::OK, "");
    reply.extensions_mut().insert(NoAnswer);
    reply
}

/// Creates a response with `body` and no additional headers.
#[must_use]
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(
        Full::new(body.into())
            .map_err(|e| match e {})
            .boxed_unsync(),
    );
    *reply.status_mut() = status;
    reply
}

/// Creates a response with `value` as JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let kind = http::HeaderValue::from_static("application/json");
    let mut reply = reply(status, body);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Creates a response with `Retry-After` set to `secs` seconds.
#[must_use]
pub fn retry_later(status: StatusCode, secs: u64) -> Reply {
    let mut reply = reply(status, Bytes::new());
    reply.headers_mut().insert(header::RETRY_AFTER, secs.into());
    reply
}

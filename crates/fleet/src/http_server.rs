//! HTTP servers for callers, operators and engines, bounded in time.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_kernel::StartError;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::wake_timer::WakeTimer;
use crate::write_timeout::WriteTimeout;

/// Body of all answers.
pub type Body = BoxBody<Bytes, Infallible>;

/// Connections that may be open at once on one port.
const MAX_CONNECTIONS: usize = 16_384;

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 256;

/// Largest head of a request, in bytes.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// Longest wait for a reader of an answer that is not a caller.
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen { address, source })
}

/// Longest timeouts on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// For the head of a request, idle time before it included.
    pub read: Duration,
    /// For the caller to take a part of an answer.
    pub write: Duration,
}

/// Serves connections until `closing`; then finishes the requests in progress.
///
/// A request whose head takes longer than `read` ends its connection.
pub async fn serve<H, F>(
    listener: TcpListener,
    read: Duration,
    closing: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let write = DEFAULT_WRITE_TIMEOUT;
    serve_with_timeouts(
        listener,
        ConnectionTimeouts { read, write },
        closing,
        handle,
    )
    .await;
}

/// As [`serve`], with a limit on writes too.
pub async fn serve_with_timeouts<H, F>(
    listener: TcpListener,
    timeouts: ConnectionTimeouts,
    closing: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        tokio::select! {
            () = closing.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match permits.clone().try_acquire_owned() {
                    Ok(permit) => spawn_connection(stream, permit, timeouts, &graceful, handle.clone()),
                    Err(_) => metrics::counter!("apricothall_http_refused_total").increment(1),
                },
                Err(error) => {
                    tracing::warn!(%error, "cannot accept");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
    graceful.shutdown().await;
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    timeouts: ConnectionTimeouts,
    graceful: &GracefulShutdown,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Without the option small answers wait longer; the connection still works.
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(WakeTimer)
        .header_read_timeout(timeouts.read);
    builder.http1().max_buf_size(MAX_HEADER_BYTES as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS);
    builder
        .http2()
        .max_header_list_size(MAX_HEADER_BYTES)
        .keep_alive_interval(timeouts.read);
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let serving = builder
        .serve_connection(
            TokioIo::new(WriteTimeout::new(stream, timeouts.write)),
            service,
        )
        .into_owned();
    let watched = graceful.watch(serving);
    tokio::spawn(async move {
        let _permit = permit;
        if let Err(error) = watched.await {
            metrics::counter!("apricothall_http_broken_total").increment(1);
            tracing::debug!(%error, "connection ended");
        }
    });
}

/// A body held in memory.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// An answer of plain text.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", body)
}

/// An answer of JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// An answer with a content type.
#[must_use]
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}

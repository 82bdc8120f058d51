//! HTTP server with time-outs, used for the ports of callers, operators and engines.

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

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Maximum number of open connections per port.
const MAX_CONNECTIONS: usize = 16_384;

/// Maximum number of open streams per HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Maximum size of a request's header section, in bytes.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// Write time-out of servers without a time-out of their own.
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a TCP listener to `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { address, source })
}

/// Time-outs of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Limit for receiving a request's headers, including the idle time before them.
    pub read: Duration,
    /// Limit for a write of response data to make progress.
    pub write: Duration,
}

/// Serves connections until `closing` is cancelled, then finishes the requests in progress.
///
/// A connection is closed when a request's headers take longer than `read`.
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

/// Like [`serve`], with a write time-out set by the caller.
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
                    tracing::warn!(%error, "cannot accept connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
    graceful.shutdown().await;
}

/// Serves one connection in a task of its own.
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
    // A failure is harmless: without TCP_NODELAY small responses are only delayed.
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
    let connection = builder
        .serve_connection(
            TokioIo::new(WriteTimeout::new(stream, timeouts.write)),
            service,
        )
        .into_owned();
    let graceful_connection = graceful.watch(connection);
    tokio::spawn(async move {
        let _permit = permit;
        if let Err(error) = graceful_connection.await {
            metrics::counter!("apricothall_http_broken_total").increment(1);
            tracing::debug!(%error, "connection ended");
        }
    });
}

/// Creates a body from bytes in memory.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Creates a plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", body)
}

/// Creates a JSON response.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Creates a response with the given content type.
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

//! Server side of the protocol between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::io::H2Stream;
use crate::{Channel, FrameCodec, PROTOCOL_HEADER, PROTOCOL_VERSION, TRACE_HEADER, WireError};

/// Header that carries the reason of a refusal.
pub const REASON_HEADER: &str = "x-reason";

/// Timeout for the handshake of a new connection.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);

/// Maximum number of open connections: three traffic classes for about 2,700 daemons.
pub const MAX_CONNECTIONS: usize = 8_192;

/// Maximum number of open streams per connection.
const MAX_STREAMS: u32 = 1_024;

/// Flow-control window of a stream in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Delay after a failed accept, for example when no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream that another daemon has opened.
pub struct Incoming {
    /// Path of the stream.
    pub path: SmolStr,
    /// Address of the other daemon.
    pub from: SocketAddr,
    /// Its `traceparent`, if any.
    pub trace: Option<SmolStr>,
    body: RecvStream,
    respond: SendResponse<Bytes>,
}

impl Incoming {
    /// Accepts the stream.
    ///
    /// # Errors
    /// When the connection has ended.
    pub fn accept<In, Out>(mut self) -> Result<Channel<In, Out>, WireError>
    where
        In: DeserializeOwned,
        Out: Serialize,
    {
        let sender = self.respond.send_response(Response::new(()), false)?;
        Ok(Framed::new(
            H2Stream::server(sender, self.body),
            FrameCodec::default(),
        ))
    }

    /// Refuses the stream with a status and a reason.
    pub fn refuse(mut self, status: StatusCode, reason: &str) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        if let Ok(value) = reason.parse() {
            response.headers_mut().insert(REASON_HEADER, value);
        }
        // An error means that the peer has disconnected and does not need the refusal.
        let _ = self.respond.send_response(response, true);
    }
}

/// Events on the port, reported for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortEvent {
    /// A connection did not complete its handshake.
    BadHandshake,
    /// A stream of another protocol version was refused.
    BadVersion,
    /// A connection ended with an error.
    Broken,
    /// A connection was closed because too many are open.
    Full,
}

/// Accepts connections and runs `handle` for each stream in a separate task.
///
/// At most [`MAX_CONNECTIONS`] are open; further ones are closed immediately.
pub async fn serve<H, F, O>(listener: TcpListener, handle: H, observe: O)
where
    H: Fn(Incoming) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
    O: Fn(PortEvent) + Clone + Send + Sync + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(slot) = slots.clone().try_acquire_owned() else {
                    observe(PortEvent::Full);
                    continue;
                };
                let (handle, observe) = (handle.clone(), observe.clone());
                tokio::spawn(async move {
                    let _slot = slot;
                    if let Some(event) = connection(stream, from, handle, &observe).await {
                        observe(event);
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H, F, O>(
    stream: TcpStream,
    from: SocketAddr,
    handle: H,
    observe: &O,
) -> Option<PortEvent>
where
    H: Fn(Incoming) -> F,
    F: Future<Output = ()> + Send + 'static,
    O: Fn(PortEvent) + Sync,
{
    // Without TCP_NODELAY small frames are delayed, but the connection still works.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    let Ok(Ok(mut streams)) = timeout(HANDSHAKE_LIMIT, builder.handshake(stream)).await else {
        tracing::debug!(%from, "handshake failed");
        return Some(PortEvent::BadHandshake);
    };
    while let Some(accepted) = streams.accept().await {
        let Ok((request, respond)) = accepted else {
            return Some(PortEvent::Broken);
        };
        match incoming(request, respond, from) {
            Some(incoming) => drop(tokio::spawn(handle(incoming))),
            None => observe(PortEvent::BadVersion),
        }
    }
    None
}

fn incoming(
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    from: SocketAddr,
) -> Option<Incoming> {
    let (parts, body) = request.into_parts();
    let text = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(SmolStr::new)
    };
    let path = SmolStr::new(parts.uri.path());
    let incoming = Incoming {
        path,
        from,
        trace: text(TRACE_HEADER),
        body,
        respond,
    };
    if text(PROTOCOL_HEADER).as_deref() == Some(PROTOCOL_VERSION) {
        return Some(incoming);
    }
    let reason = format!("this daemon speaks protocol version {PROTOCOL_VERSION}");
    incoming.refuse(StatusCode::UPGRADE_REQUIRED, &reason);
    None
}

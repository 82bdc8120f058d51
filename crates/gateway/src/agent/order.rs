//! Sends a load order that must not leave this process after a given time.
//!
//! The time is checked when the bytes are handed to the operating system. A check before that may
//! be followed by a pause of the process.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::check_final;
use apricothall_kernel::Clock;
use apricothall_types::Timestamp;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use smol_str::ToSmolStr;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Why an order has no answer.
#[derive(Debug, Error)]
pub enum OrderError {
    /// It was not sent, as its time had passed.
    #[error("the order was not sent in time")]
    Expired,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] PlatformError),
}

/// Sends `request` to `address` by `by` at the latest, on a connection of its own, and returns the
/// status of the answer.
///
/// # Errors
/// [`OrderError::Expired`] if nothing was sent; other errors if there is no answer within `wait`.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    by: Timestamp,
    wait: Duration,
) -> Result<StatusCode, OrderError> {
    let sent = timeout(wait, exchange(address, request, by)).await;
    sent.unwrap_or(Err(OrderError::Call(PlatformError::Timeout)))
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    by: Timestamp,
) -> Result<StatusCode, OrderError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|e| PlatformError::Connect(e.to_smolstr()))?;
    let expired = Arc::new(AtomicBool::new(false));
    let limited = WriteLimit {
        stream,
        by,
        expired: expired.clone(),
    };
    let fail = |e: hyper::Error| {
        if expired.load(Ordering::Relaxed) {
            return OrderError::Expired;
        }
        OrderError::Call(PlatformError::Lost(e.to_smolstr()))
    };
    let (mut sender, connection) = handshake(TokioIo::new(limited)).await.map_err(fail)?;
    let _connection = AbortOnDrop(tokio::spawn(connection).abort_handle());
    let answer = sender.send_request(request).await.map_err(fail)?;
    Ok(check_final(answer.status())?)
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection that writes nothing after a given time.
struct WriteLimit {
    stream: TcpStream,
    by: Timestamp,
    /// Set when a write was refused.
    expired: Arc<AtomicBool>,
}

impl AsyncRead for WriteLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if Clock.now() > self.by {
            self.expired.store(true, Ordering::Relaxed);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

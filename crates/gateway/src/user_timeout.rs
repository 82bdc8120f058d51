//! TCP stream whose user timeout follows the request that it carries.
//!
//! The kernel closes a connection when data that was sent stays unacknowledged for the user timeout.
//! Linux applies it as well while the peer acknowledges everything but has no room for more, so it
//! cannot tell a peer that is gone from one that reads slowly. While nothing is unacknowledged,
//! keep-alive probes find a peer that is gone, also without a user timeout.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use apricothall_fleet::shared_timeout::SharedTimeout;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Interval of TCP keep-alive probes, and idle time before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes that close a connection without a user timeout.
const PROBES: u32 = 1;

/// TCP stream that applies a change of its user timeout before it sends more.
pub struct UserTimeoutStream {
    stream: TcpStream,
    wanted: SharedTimeout,
    applied: Option<Duration>,
}

impl UserTimeoutStream {
    /// Prepares `stream`, with `wanted` as its user timeout.
    ///
    /// # Errors
    /// If the operating system rejects an option.
    pub fn new(stream: TcpStream, wanted: SharedTimeout) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let mut stream = Self {
            stream,
            wanted,
            applied: None,
        };
        stream.apply()?;
        Ok(stream)
    }

    /// The stream itself.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn apply(&mut self) -> io::Result<()> {
        let wanted = self.wanted.get();
        if wanted == self.applied {
            return Ok(());
        }
        SockRef::from(&self.stream).set_tcp_user_timeout(wanted)?;
        self.applied = wanted;
        Ok(())
    }
}

impl AsyncRead for UserTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for UserTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

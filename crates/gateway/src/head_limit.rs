//! A connection to a server whose answer must begin within a number of bytes.
//!
//! A head is bounded by its parser, but what comes before it, such as interim answers, is not.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes within which a head ends, with what may be read of the body at the same time.
const HEAD_BYTES: usize = 1 << 20;

/// Bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Allowance {
    /// Bounds what is read from now on, until the head is there.
    pub fn await_head(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the bound for the body.
    pub fn head_received(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Takes `count` bytes from it. False when there are not as many.
    fn take(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
        count <= left
    }
}

/// A connection that fails once more was read than allowed.
pub struct HeadLimit {
    stream: TcpStream,
    allowance: Allowance,
}

impl HeadLimit {
    /// Bounds what is read from `stream`.
    #[must_use]
    pub const fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for HeadLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.allowance.take(buf.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        metrics::counter!("apricothall_endless_heads_total").increment(1);
        Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
    }
}

impl AsyncWrite for HeadLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

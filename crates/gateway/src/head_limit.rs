//! Limit on the bytes read from a server connection before the response head is complete.
//!
//! The HTTP parser limits the size of the head itself, but not what precedes it, such as interim
//! responses.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::user_timeout::UserTimeoutStream;

/// Maximum number of bytes read up to the end of the head, including body data read together with
/// it.
const HEAD_BYTES: usize = 1 << 20;

/// Maximum number of bytes per read. The buffer of a connection grows with the size of reads, and is
/// kept for as long as the rest of the answer waits for a slow caller.
const READ_BYTES: usize = 16 << 10;

/// Number of bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Allowance {
    /// Limits the bytes read from now on until the head is complete.
    pub fn await_head(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit for reading the body.
    pub fn head_received(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Subtracts `count` bytes. Returns `false` if fewer were left.
    fn try_consume(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
        count <= left
    }
}

/// Connection that fails when more bytes are read than allowed.
pub struct HeadLimit {
    stream: UserTimeoutStream,
    allowance: Allowance,
}

impl HeadLimit {
    /// Limits the bytes read from `stream`.
    #[must_use]
    pub const fn new(stream: UserTimeoutStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for HeadLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = READ_BYTES.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        if self.allowance.try_consume(count) {
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

//! A stream whose writes must make progress, so that a caller that stops reading is let go.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection that fails once a write has waited for longer than a limit.
pub struct WriteTimeout {
    stream: TcpStream,
    limit: Duration,
    waits: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    /// Limits the waits of writes to `stream`.
    #[must_use]
    pub const fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            waits: None,
        }
    }

    /// Passes `done` on; while it is pending, fails at the limit.
    fn limited<T>(
        &mut self,
        cx: &mut Context<'_>,
        done: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if done.is_ready() {
            self.waits = None;
            return done;
        }
        let limit = self.limit;
        let waits = self.waits.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(waits.as_mut().poll(cx));
        metrics::counter!("apricothall_slow_readers_total").increment(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limited(cx, done)
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
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limited(cx, done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

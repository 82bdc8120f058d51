//! Stream with a write time-out, so that the connection of a client that stops reading is closed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use crate::shared_timeout::SharedTimeout;

/// Stream that fails once a write has been pending for longer than the time-out.
pub struct WriteTimeout<S> {
    stream: S,
    timeout: SharedTimeout,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps `stream` with a write time-out.
    #[must_use]
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self::with_shared(stream, SharedTimeout::new(Some(timeout)))
    }

    /// Wraps `stream` with a write time-out that may change. A write that is pending keeps the
    /// time-out with which it began.
    #[must_use]
    pub const fn with_shared(stream: S, timeout: SharedTimeout) -> Self {
        Self {
            stream,
            timeout,
            timer: None,
        }
    }

    /// The stream itself.
    #[must_use]
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Returns `result`, or an error if writes have been pending for the length of the time-out.
    fn with_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let Some(timeout) = self.timeout.get() else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        metrics::counter!("apricothall_slow_readers_total").increment(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.with_timeout(cx, result)
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.with_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

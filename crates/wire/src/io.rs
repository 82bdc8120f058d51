//! `AsyncRead` and `AsyncWrite` for a single `h2` stream.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use smol_str::SmolStr;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::WireError;

/// Maximum number of bytes passed to `h2` in one write.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// The receiving half. On the client it opens when the response headers have arrived.
enum Receiver {
    Waiting(ResponseFuture),
    Open(RecvStream),
}

/// A bidirectional stream.
pub struct H2Stream {
    sender: SendStream<Bytes>,
    receiver: Receiver,
    unread: Bytes,
}

impl H2Stream {
    /// The client's side of a stream whose response headers have not arrived yet.
    pub(crate) fn client(sender: SendStream<Bytes>, response: ResponseFuture) -> Self {
        Self {
            sender,
            receiver: Receiver::Waiting(response),
            unread: Bytes::new(),
        }
    }

    /// The server's side of a stream.
    pub(crate) fn server(sender: SendStream<Bytes>, receiver: RecvStream) -> Self {
        Self {
            sender,
            receiver: Receiver::Open(receiver),
            unread: Bytes::new(),
        }
    }

    fn poll_receiver(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<&mut RecvStream>> {
        if let Receiver::Waiting(response) = &mut self.receiver {
            let response = ready!(Pin::new(response).poll(cx)).map_err(io::Error::other)?;
            let status = response.status().as_u16();
            if status != 200 {
                let reason = SmolStr::new(refusal_text(&response));
                return Poll::Ready(Err(io::Error::other(WireError::Refused { status, reason })));
            }
            self.receiver = Receiver::Open(response.into_body());
        }
        match &mut self.receiver {
            Receiver::Open(stream) => Poll::Ready(Ok(stream)),
            Receiver::Waiting(_) => Poll::Pending,
        }
    }

    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            let stream = ready!(self.poll_receiver(cx))?;
            match ready!(stream.poll_data(cx)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(e)) => return Poll::Ready(Err(io::Error::other(e))),
                Some(Ok(data)) => {
                    // Releasing the capacity immediately keeps one frame of read-ahead in memory.
                    let released = stream.flow_control().release_capacity(data.len());
                    released.map_err(io::Error::other)?;
                    self.unread = data;
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

fn refusal_text<T>(response: &http::Response<T>) -> &str {
    let header = response.headers().get(crate::server::REASON_HEADER);
    header
        .and_then(|v| v.to_str().ok())
        .unwrap_or("no reason given")
}

impl AsyncRead for H2Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_unread(cx))?;
        let count = self.unread.len().min(buf.remaining());
        let piece = self.unread.split_to(count);
        buf.put_slice(&piece);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for H2Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.sender.reserve_capacity(buf.len().min(MAX_WRITE_BYTES));
        // `poll_capacity` does not report capacity that is already assigned.
        while self.sender.capacity() == 0 {
            match ready!(self.sender.poll_capacity(cx)) {
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
                Some(Err(e)) => return Poll::Ready(Err(io::Error::other(e))),
                Some(Ok(_)) => {}
            }
        }
        let count = self.sender.capacity().min(buf.len());
        let sent = self
            .sender
            .send_data(Bytes::copy_from_slice(&buf[..count]), false);
        sent.map_err(io::Error::other)?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.sender.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(io::Error::other))
    }
}

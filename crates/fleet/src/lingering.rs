//! Close of connections whose peer may still be receiving data.
//!
//! The kernel sends what is queued after a close, but not beyond the end of the VM's network, and
//! it discards the queue if the peer sends more.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use apricothall_kernel::Lifecycle;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Size of the buffer for data that is discarded, in bytes.
const DISCARD_BUFFER: usize = 4 << 10;

/// Closes connections of one port.
#[derive(Clone, Debug)]
pub struct Lingering {
    lifecycle: Lifecycle,
    limit: Duration,
    turns: Arc<Semaphore>,
}

impl Lingering {
    /// Waits for at most `limit` for a peer.
    #[must_use]
    pub fn new(lifecycle: Lifecycle, limit: Duration) -> Self {
        // All queues are sent at the same time, so that it is enough to wait for one after another.
        let turns = Arc::new(Semaphore::new(1));
        Self {
            lifecycle,
            limit,
            turns,
        }
    }

    /// Closes `stream`, whose sending side was shut down, once its peer has closed it. When the
    /// daemon leaves, it is enough that the peer has acknowledged all data: idle peers may keep the
    /// connection open.
    pub async fn close(&self, stream: TcpStream) {
        tokio::select! {
            () = discard(&stream) => return,
            () = tokio::time::sleep(self.limit) => return,
            () = self.lifecycle.drain_started() => {}
        }
        let turn = tokio::select! {
            () = discard(&stream) => return,
            turn = self.turns.acquire() => turn,
        };
        let closed = wait_for_acknowledgement(stream, self.limit).await;
        drop(turn);
        if let Err(error) = closed {
            tracing::debug!(%error, "connection closed without waiting for its peer");
        }
    }
}

/// Discards what the peer sends until it closes the connection. Data that is not read would reset
/// the connection on close.
async fn discard(stream: &TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Closes `stream` when its peer has acknowledged all data, or after `limit`.
async fn wait_for_acknowledgement(stream: TcpStream, limit: Duration) -> io::Result<()> {
    let stream = stream.into_std()?;
    SockRef::from(&stream).set_linger(Some(limit))?;
    tokio::task::spawn_blocking(move || drop(stream)).await?;
    Ok(())
}

//! Connections to backend servers. Each carries one request at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::Timestamp;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use smol_str::{SmolStr, ToSmolStr};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::head_limit::{Allowance, HeadLimit};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two probes of a silent connection, and before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Longest idle time after which a connection is used again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Connections kept for each server.
const MAX_IDLE: usize = 16;

/// No connection was made: no byte of the request was sent.
#[derive(Debug, Error)]
#[error("cannot connect: {0}")]
pub struct ConnectError(SmolStr);

/// A connection to a server. Dropping it closes it, which ends the server's work.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: Allowance,
    address: SocketAddr,
    used: Timestamp,
    limit: Duration,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServerConnection {
    /// The sending half.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// What may be read of it.
    #[must_use]
    pub const fn allowance(&self) -> &Allowance {
        &self.allowance
    }

    /// Bounds the idle time by what the server says of it.
    pub fn limit_idle(&mut self, limit: Duration) {
        self.limit = self.limit.min(limit / 2);
    }
}

/// Connections that wait for their next request.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection to `address` that is free and was used lately.
    pub fn acquire(&self, address: SocketAddr, now: Timestamp) -> Option<ServerConnection> {
        let mut idle = self.idle();
        let kept = idle.get_mut(&address)?;
        while let Some(channel) = kept.pop() {
            let young = now.since(channel.used) < channel.limit;
            if young && channel.sender.is_ready() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn release(&self, mut channel: ServerConnection, now: Timestamp) {
        channel.used = now;
        let mut idle = self.idle();
        let kept = idle.entry(channel.address).or_default();
        kept.retain(|c| now.since(c.used) < c.limit && !c.sender.is_closed());
        if kept.len() < MAX_IDLE && !channel.sender.is_closed() {
            kept.push(channel);
        }
    }

    /// Makes a new connection.
    ///
    /// # Errors
    /// When there is none in time.
    pub async fn connect(
        address: SocketAddr,
        now: Timestamp,
    ) -> Result<ServerConnection, ConnectError> {
        let fail = |e: &dyn std::fmt::Display| ConnectError(e.to_smolstr());
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| fail(&"no answer in time"))?
            .map_err(|e| fail(&e))?;
        set_options(&stream).map_err(|e| fail(&e))?;
        // A request that its caller has left must not reach the server later: closing drops what
        // has not gone out yet.
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.map_err(|e| fail(&e))?;
        let allowance = Allowance::default();
        let (sender, connection) =
            handshake(TokioIo::new(HeadLimit::new(stream, allowance.clone())))
                .await
                .map_err(|e| fail(&e))?;
        metrics::counter!("apricothall_server_connections_total").increment(1);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to server ended");
            }
        });
        Ok(ServerConnection {
            sender,
            task: task.abort_handle(),
            allowance,
            address,
            used: now,
            limit: IDLE_TIMEOUT,
        })
    }
}

/// Options that make a dead connection show.
///
/// # Errors
/// When the system refuses one.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

//! Pool of connections to backend servers. Each carries one request at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_fleet::shared_timeout::SharedTimeout;
use apricothall_types::Timestamp;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use smol_str::{SmolStr, ToSmolStr};
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::head_limit::{Allowance, HeadLimit};
use crate::user_timeout::UserTimeoutStream;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after which unacknowledged data of a request that can be sent again closes a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum idle time of a connection that is reused.
const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of the read buffer of a connection, and of the head of a response, in bytes.
const READ_BUFFER: usize = 128 << 10;

/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 16;

/// No connection was established, so no byte of the request was sent.
#[derive(Debug, Error)]
#[error("cannot connect: {0}")]
pub struct ConnectError(SmolStr);

/// How long a server may leave a request unacknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckLimit {
    /// A short time, as another server can run the request.
    Short,
    /// Until the deadline, as the request is lost otherwise: the server may only be slow to read it.
    Deadline,
}

impl AckLimit {
    const fn user_timeout(self) -> Option<Duration> {
        match self {
            Self::Short => Some(USER_TIMEOUT),
            Self::Deadline => None,
        }
    }
}

/// A connection to a server. Dropping it closes it, which makes the server cancel the request.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: Allowance,
    user_timeout: SharedTimeout,
    address: SocketAddr,
    last_used: Timestamp,
    idle_limit: Duration,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServerConnection {
    /// Request sender of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Number of bytes that may still be read.
    #[must_use]
    pub const fn allowance(&self) -> &Allowance {
        &self.allowance
    }

    /// Sets for how long the server may leave the next request unacknowledged.
    pub fn set_ack_limit(&self, limit: AckLimit) {
        self.user_timeout.set(limit.user_timeout());
    }

    /// Limits the idle time to half of the keep-alive timeout announced by the server.
    pub fn limit_idle(&mut self, timeout: Duration) {
        self.idle_limit = self.idle_limit.min(timeout / 2);
    }
}

/// Pool of idle connections.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to `address` that is ready and was used recently.
    pub fn acquire(&self, address: SocketAddr, now: Timestamp) -> Option<ServerConnection> {
        let mut idle = self.idle();
        let idle_connections = idle.get_mut(&address)?;
        while let Some(connection) = idle_connections.pop() {
            let is_recent = now.since(connection.last_used) < connection.idle_limit;
            if is_recent && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn release(&self, mut connection: ServerConnection, now: Timestamp) {
        connection.last_used = now;
        let mut idle = self.idle();
        let idle_connections = idle.entry(connection.address).or_default();
        idle_connections.retain(|c| now.since(c.last_used) < c.idle_limit && !c.sender.is_closed());
        if idle_connections.len() < MAX_IDLE && !connection.sender.is_closed() {
            idle_connections.push(connection);
        }
    }

    /// Opens a new connection for a request with `ack_limit`.
    ///
    /// # Errors
    /// If it is not established within the timeout.
    pub async fn connect(
        address: SocketAddr,
        ack_limit: AckLimit,
        now: Timestamp,
    ) -> Result<ServerConnection, ConnectError> {
        let fail = |e: &dyn std::fmt::Display| ConnectError(e.to_smolstr());
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| fail(&"no answer in time"))?
            .map_err(|e| fail(&e))?;
        // Discard unsent data on close: a request cancelled by its caller must not reach the server
        // later.
        let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.map_err(|e| fail(&e))?;
        let user_timeout = SharedTimeout::new(ack_limit.user_timeout());
        let stream = UserTimeoutStream::new(stream, user_timeout.clone()).map_err(|e| fail(&e))?;
        let allowance = Allowance::default();
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(HeadLimit::new(stream, allowance.clone())))
            .await
            .map_err(|e| fail(&e))?;
        metrics::counter!("apricothall_server_connections_total").increment(1);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to server closed with an error");
            }
        });
        Ok(ServerConnection {
            sender,
            task: task.abort_handle(),
            allowance,
            user_timeout,
            address,
            last_used: now,
            idle_limit: IDLE_TIMEOUT,
        })
    }
}

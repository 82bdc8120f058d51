//! Persistent connections to other daemons, each shared by many streams.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::io::H2Stream;
use crate::peer::PeerClient;
use crate::{
    Channel, FrameCodec, PROTOCOL_HEADER, PROTOCOL_VERSION, RPC_PATH, TRACE_HEADER, WireError,
};

/// Flow-control window of a stream in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Traffic class of a connection. Separate connections keep transfers from delaying live requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficClass {
    /// Requests and their answers.
    Live,
    /// RPCs such as gossip and claims.
    Control,
    /// Chunks of weights.
    Bulk,
}

/// Settings of new connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectorConfig {
    /// Address of this VM, the source of all connections.
    pub source: IpAddr,
    /// Connect timeout.
    pub connect: Duration,
}

type ConnectionKey = (SocketAddr, TrafficClass);
type Slot<T> = Arc<Mutex<Option<T>>>;

/// Maximum number of RPC sessions. Probes reach every member in turn, so old ones are closed.
const MAX_SESSIONS: usize = 64;

/// An RPC session with the number of its last use.
#[derive(Default)]
struct Session {
    client: Slot<PeerClient>,
    used: u64,
}

#[derive(Default)]
struct Sessions {
    open: HashMap<SocketAddr, Session>,
    uses: u64,
}

impl Sessions {
    /// Returns the session with `address`, and the least recently used one if it was evicted.
    fn acquire(&mut self, address: SocketAddr) -> (Slot<PeerClient>, Option<SocketAddr>) {
        self.uses += 1;
        let session = self.open.entry(address).or_default();
        session.used = self.uses;
        let client = session.client.clone();
        if self.open.len() <= MAX_SESSIONS {
            return (client, None);
        }
        let oldest = self
            .open
            .iter()
            .min_by_key(|(_, s)| s.used)
            .map(|(a, _)| *a);
        if let Some(oldest) = oldest {
            self.open.remove(&oldest);
        }
        (client, oldest)
    }
}

/// Opens streams to other daemons.
#[derive(Clone)]
pub struct Connector {
    config: ConnectorConfig,
    connections: Arc<Mutex<HashMap<ConnectionKey, Slot<SendRequest<Bytes>>>>>,
    sessions: Arc<Mutex<Sessions>>,
}

impl Connector {
    /// A connector without connections.
    #[must_use]
    pub fn new(config: ConnectorConfig) -> Self {
        Self {
            config,
            connections: Arc::default(),
            sessions: Arc::default(),
        }
    }

    /// Opens a stream for `path`.
    ///
    /// # Errors
    /// [`WireError::Connect`] when no connection could be made: no byte was sent.
    pub async fn open<In, Out>(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        path: &'static str,
        trace: Option<&str>,
    ) -> Result<Channel<In, Out>, WireError>
    where
        In: DeserializeOwned,
        Out: Serialize,
    {
        let mut sender = self.sender(address, class).await?;
        let request = request_head(address, path, trace)?;
        let (response, stream) = match sender.send_request(request, false) {
            Ok(pair) => pair,
            Err(e) => {
                self.drop_connection(address, class).await;
                return Err(connect_error(address, &e));
            }
        };
        Ok(Framed::new(
            H2Stream::client(stream, response),
            FrameCodec::default(),
        ))
    }

    /// Returns the RPC session with the daemon at `address`, and opens it if necessary.
    ///
    /// # Errors
    /// When no connection could be made.
    pub async fn peer(&self, address: SocketAddr) -> Result<PeerClient, WireError> {
        let (slot, oldest) = self.sessions.lock().await.acquire(address);
        if let Some(oldest) = oldest {
            self.drop_connection(oldest, TrafficClass::Control).await;
        }
        let mut session = slot.lock().await;
        if let Some(client) = session.as_ref() {
            return Ok(client.clone());
        }
        let channel = self
            .open(address, TrafficClass::Control, RPC_PATH, None)
            .await?;
        let client = PeerClient::new(tarpc::client::Config::default(), channel).spawn();
        *session = Some(client.clone());
        Ok(client)
    }

    /// Drops the RPC session with `address` after a failure.
    pub async fn drop_session(&self, address: SocketAddr) {
        self.sessions.lock().await.open.remove(&address);
        self.drop_connection(address, TrafficClass::Control).await;
    }

    /// Drops a connection, so that the next stream opens a new one.
    pub async fn drop_connection(&self, address: SocketAddr, class: TrafficClass) {
        self.connections.lock().await.remove(&(address, class));
    }

    async fn sender(
        &self,
        address: SocketAddr,
        class: TrafficClass,
    ) -> Result<SendRequest<Bytes>, WireError> {
        let slot = self
            .connections
            .lock()
            .await
            .entry((address, class))
            .or_default()
            .clone();
        let mut connection = slot.lock().await;
        if let Some(sender) = connection.as_ref() {
            // An error here means that the connection has been closed in the meantime.
            if let Ok(ready) = sender.clone().ready().await {
                return Ok(ready);
            }
        }
        *connection = None;
        let connecting = timeout(self.config.connect, self.connect(address)).await;
        let sender = connecting.map_err(|_| connect_error(address, &"no answer in time"))??;
        *connection = Some(sender.clone());
        sender.ready().await.map_err(|e| connect_error(address, &e))
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, WireError> {
        let stream = self
            .dial(address)
            .await
            .map_err(|e| connect_error(address, &e))?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(stream)
            .await;
        let (sender, connection) = handshake.map_err(|e| connect_error(address, &e))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(%address, error = %e, "connection to peer ended");
            }
        });
        Ok(sender)
    }

    async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(self.config.source, 0))?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

fn request_head(
    address: SocketAddr,
    path: &'static str,
    trace: Option<&str>,
) -> Result<Request<()>, WireError> {
    let mut builder = Request::post(format!("http://{address}{path}"));
    builder = builder.header(PROTOCOL_HEADER, PROTOCOL_VERSION);
    if let Some(trace) = trace {
        builder = builder.header(TRACE_HEADER, trace);
    }
    builder.body(()).map_err(|e| connect_error(address, &e))
}

fn connect_error(address: SocketAddr, reason: &impl ToSmolStr) -> WireError {
    let reason: SmolStr = reason.to_smolstr();
    WireError::Connect { address, reason }
}

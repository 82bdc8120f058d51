//! Fault-injecting TCP proxy.
//!
//! Each listener represents one port of one VM. It identifies the peer of a connection by its
//! source address and connects to the VM from that same address. It listens only while the upstream
//! port accepts connections, so that connections to a stopped daemon are refused.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::network::{Fault, Host, Network, Port, RuleWatch, effects};
use crate::pump::{Direction, pump};

/// Receive buffer of accepted connections, in bytes. A large buffer would hide slow links.
const RECEIVE_BUFFER: u32 = 256 << 10;

/// Length of the accept queue.
const BACKLOG: u32 = 1_024;

/// Interval between attempts to connect to an upstream port that refuses connections.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Port that a proxy listener represents.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address that peers connect to.
    pub listen: SocketAddr,
    /// Address that the VM or service itself listens on.
    pub upstream: SocketAddr,
    /// The VM or service.
    pub host: Host,
    /// Kind of port.
    pub port: Port,
}

/// Handle of a running listener.
pub struct Proxy {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a listener.
    ///
    /// # Errors
    /// Returns an error if its address cannot be bound.
    pub async fn start(network: &Network, mut target: Target) -> io::Result<Self> {
        let listener = listen(target.listen)?;
        let address = listener.local_addr()?;
        target.listen = address;
        let task = tokio::spawn(accept(listener, network.clone(), target));
        tokio::task::yield_now().await;
        Ok(Self { address, task })
    }

    /// Address that peers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all its connections.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// How a connection ended.
enum ConnectionEnd {
    Refused,
    Closed,
}

async fn accept(first: TcpListener, network: Network, target: Target) {
    let mut listener = first;
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                conns.spawn(proxy_connection(network.clone(), target.clone(), stream, peer.ip()));
            }
            Some(ended) = conns.join_next() => {
                if !matches!(ended, Ok(ConnectionEnd::Refused)) {
                    continue;
                }
                drop(listener);
                listener = listen_when_reachable(&target).await;
            }
        }
    }
}

/// Waits until the upstream port accepts connections, then listens again.
async fn listen_when_reachable(target: &Target) -> TcpListener {
    loop {
        tokio::time::sleep(RETRY_INTERVAL).await;
        if TcpStream::connect(target.upstream).await.is_err() {
            continue;
        }
        if let Ok(listener) = listen(target.listen) {
            return listener;
        }
    }
}

async fn proxy_connection(
    network: Network,
    target: Target,
    downstream: TcpStream,
    peer: IpAddr,
) -> ConnectionEnd {
    let source = network
        .host(peer)
        .unwrap_or_else(|| unregistered_host(&target.host));
    let mut rules = network.watch();
    let faults = effects(
        &rules.borrow_and_update(),
        &source,
        &target.host,
        target.port,
    );
    if faults
        .iter()
        .any(|f| matches!(f, Fault::Refuse | Fault::Reset))
    {
        return reset(&[&downstream]);
    }
    if wait_while_cut(&mut rules, &source, &target).await {
        return reset(&[&downstream]);
    }
    let upstream = match connect(peer, target.upstream).await {
        Ok(upstream) => upstream,
        Err(e) => {
            reset(&[&downstream]);
            let refused = e.kind() == io::ErrorKind::ConnectionRefused;
            return if refused {
                ConnectionEnd::Refused
            } else {
                ConnectionEnd::Closed
            };
        }
    };
    exchange(&network, &target, source, downstream, upstream).await
}

/// Waits while bytes are dropped in either direction, because no connection can be established in
/// that time. Returns whether it had to wait.
async fn wait_while_cut(rules: &mut RuleWatch, source: &Host, target: &Target) -> bool {
    let mut waited = false;
    loop {
        let now = rules.borrow_and_update().clone();
        let forward = effects(&now, source, &target.host, target.port);
        let backward = effects(&now, &target.host, source, target.port);
        if !forward
            .iter()
            .chain(&backward)
            .any(|f| matches!(f, Fault::Cut))
        {
            return waited;
        }
        waited = true;
        let _ = rules.changed().await;
    }
}

async fn exchange(
    network: &Network,
    target: &Target,
    source: Host,
    mut downstream: TcpStream,
    mut upstream: TcpStream,
) -> ConnectionEnd {
    let _ = downstream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let number = network.next_number();
    let rng = |salt| ChaCha8Rng::seed_from_u64(network.seed() ^ (number << 1) ^ salt);
    let forward = Direction::new(network, &source, &target.host, target.port, true);
    let backward = Direction::new(network, &target.host, &source, target.port, false);
    let result = {
        let (downstream_read, downstream_write) = downstream.split();
        let (upstream_read, upstream_write) = upstream.split();
        tokio::try_join!(
            pump(forward, downstream_read, upstream_write, rng(0)),
            pump(backward, upstream_read, downstream_write, rng(1)),
        )
    };
    if result.is_err() {
        return reset(&[&downstream, &upstream]);
    }
    ConnectionEnd::Closed
}

/// Closes connections with RST.
fn reset(streams: &[&TcpStream]) -> ConnectionEnd {
    for stream in streams {
        let _ = stream.set_zero_linger();
    }
    ConnectionEnd::Closed
}

/// Host used for a source address that is not registered; it is in the zone of the target.
fn unregistered_host(target: &Host) -> Host {
    Host {
        id: "unknown".into(),
        client: false,
        ..target.clone()
    }
}

async fn connect(source: IpAddr, upstream: SocketAddr) -> io::Result<TcpStream> {
    let socket = if upstream.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(upstream).await
}

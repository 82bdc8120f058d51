//! Each fault of the proxy has its documented effect, and only on the connections that match.

#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use apricothall_standin::addresses::Addresses;
use apricothall_standin::network::{Fault, Host, LinkShaping, Network, Port, Rule, Side};
use apricothall_standin::proxy::{Proxy, Target};
use apricothall_types::Rate;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Time without data after which a stream counts as silent.
const QUIET_TIME: Duration = Duration::from_millis(60);

/// Timeout of waits for expected data, far above what a loaded machine needs.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    _addresses: Addresses,
    network: Network,
    proxy: Proxy,
    /// Upstream port of the proxy, in Cusco.
    server: TcpListener,
    /// Addresses of two clients, in Lima.
    clients: [IpAddr; 2],
}

fn host(id: &str, region: &str) -> Host {
    Host {
        id: id.into(),
        region: region.parse().expect("valid"),
        zone: format!("{region}-a").parse().expect("valid"),
        client: false,
    }
}

async fn fixture_with(shape: LinkShaping) -> Fixture {
    let mut addresses = Addresses::reserve().expect("a prefix is free");
    let mut ip = || addresses.allocate().expect("an address is free");
    let (home, clients) = (ip(), [ip(), ip()]);
    let network = Network::new(shape, 1);
    network.register(home, host("server", "cusco"));
    network.register(clients[0], host("one", "lima"));
    network.register(clients[1], host("two", "lima"));
    let server = TcpListener::bind(SocketAddr::new(home, 0))
        .await
        .expect("bind succeeds");
    let target = Target {
        listen: SocketAddr::new(home, 0),
        upstream: server.local_addr().expect("bound"),
        host: host("server", "cusco"),
        port: Port::Peers,
    };
    let proxy = Proxy::start(&network, target).await.expect("proxy starts");
    Fixture {
        _addresses: addresses,
        network,
        proxy,
        server,
        clients,
    }
}

async fn unshaped() -> Fixture {
    fixture_with(LinkShaping::default()).await
}

async fn delayed() -> Fixture {
    let regions = Duration::from_millis(20);
    fixture_with(LinkShaping {
        regions,
        ..LinkShaping::default()
    })
    .await
}

async fn rate_limited() -> Fixture {
    // 640 KiB per second.
    let between = Some(Rate(8 * 640 * 1024));
    fixture_with(LinkShaping {
        between,
        ..LinkShaping::default()
    })
    .await
}

impl Fixture {
    async fn connect(&self, client: usize) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.clients[client], 0))?;
        socket.connect(self.proxy.address()).await
    }

    /// Opens a connection and returns both its ends.
    async fn pair(&self, index: usize) -> (TcpStream, TcpStream) {
        let client = self.connect(index).await.expect("connection succeeds");
        let (server, peer) = self.server.accept().await.expect("connection arrives");
        assert_eq!(peer.ip(), self.clients[index], "the source address is kept");
        (client, server)
    }

    /// Waits until cuts have dropped `count` bytes.
    async fn wait_dropped(&self, count: u64) {
        while self.network.dropped_bytes() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Whether a new connection is reset, while it is established or at the first read.
    async fn is_rejected(&self, client: usize) -> bool {
        match self.connect(client).await {
            Ok(mut stream) => is_reset(&mut stream).await,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    fn to_server(&self, from: Side, fault: Fault) {
        self.network
            .inject(Rule::new(from, Side::vm("server"), fault));
    }

    fn to_clients(&self, fault: Fault) {
        let lima = Side::Region("lima".parse().expect("valid"));
        self.network
            .inject(Rule::new(Side::vm("server"), lima, fault));
    }
}

/// Whether `text` arrives unchanged at the other end.
async fn passes(from: &mut TcpStream, to: &mut TcpStream, text: &[u8]) -> bool {
    let _ = from.write_all(text).await;
    let mut buffer = vec![0; text.len()];
    let read = timeout(TIMEOUT, to.read_exact(&mut buffer)).await;
    matches!(read, Ok(Ok(_))) && buffer == text
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(QUIET_TIME, stream.read(&mut [0; 64]))
        .await
        .is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]).await, Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset)
}

contract! {
    net: Fixture = unshaped;
    bytes_and_their_end_pass_both_ways: {
        let (mut client, mut server) = net.pair(0).await;
        assert!(passes(&mut client, &mut server, b"order").await);
        assert!(passes(&mut server, &mut client, b"answer").await);
        client.shutdown().await.expect("shutdown succeeds");
        assert_eq!(server.read(&mut [0; 8]).await.expect("read succeeds"), 0);
        assert!(passes(&mut server, &mut client, b"rest").await);
    }
    bytes_are_counted_by_pair_and_region: {
        let (mut client, mut server) = net.pair(0).await;
        assert!(passes(&mut client, &mut server, b"order").await);
        let (lima, cusco) = ("lima".parse().expect("valid"), "cusco".parse().expect("valid"));
        assert_eq!(net.network.bytes_between(&lima, &cusco), 5);
        assert_eq!(net.network.bytes_between(&cusco, &lima), 0);
    }
    stalled_bytes_arrive_once_removed: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::Stall);
        client.write_all(b"order").await.expect("write succeeds");
        assert!(is_silent(&mut server).await);
        assert!(passes(&mut server, &mut client, b"answer").await);
        net.network.heal();
        let mut buffer = [0; 5];
        server.read_exact(&mut buffer).await.expect("data arrives");
        assert_eq!(&buffer, b"order");
    }
    one_way_cut_loses_bytes_of_that_way_and_resets_once_removed: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::vm("one"), Fault::Cut);
        client.write_all(b"order").await.expect("write succeeds");
        net.wait_dropped(5).await;
        assert!(is_silent(&mut server).await);
        assert!(passes(&mut server, &mut client, b"answer").await);
        net.network.heal();
        assert!(is_reset(&mut client).await && is_reset(&mut server).await);
    }
    cut_without_lost_bytes_leaves_the_connection_intact: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::Cut);
        net.network.heal();
        assert!(passes(&mut client, &mut server, b"order").await);
    }
    two_way_cut_loses_all_and_rules_are_removed_by_id: {
        let (mut client, mut server) = net.pair(0).await;
        let sides = (Side::vm("one"), Side::vm("server"));
        let ids = net.network.add_both(&sides.0, &sides.1, &Fault::Cut);
        client.write_all(b"order").await.expect("write succeeds");
        server.write_all(b"answer").await.expect("write succeeds");
        net.wait_dropped(11).await;
        assert!(is_silent(&mut client).await && is_silent(&mut server).await);
        net.network.remove_rules(&ids);
        assert!(is_reset(&mut client).await);
        let (mut client, mut server) = net.pair(0).await;
        assert!(passes(&mut client, &mut server, b"order").await);
    }
    new_connection_under_a_cut_gets_nothing_until_removed: {
        net.to_clients(Fault::Cut);
        let mut client = net.connect(0).await.expect("the proxy accepts");
        client.write_all(b"order").await.expect("write succeeds");
        assert!(is_silent(&mut client).await);
        assert!(timeout(QUIET_TIME, net.server.accept()).await.is_err());
        net.network.heal();
        assert!(is_reset(&mut client).await);
    }
    cut_after_passes_exactly_that_many_bytes: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::cut_after(3));
        client.write_all(b"order").await.expect("write succeeds");
        let mut buffer = [0; 3];
        server.read_exact(&mut buffer).await.expect("data arrives");
        assert_eq!(&buffer, b"ord");
        client.write_all(b"more").await.expect("write succeeds");
        assert!(is_silent(&mut server).await);
    }
    reset_ends_live_connections_and_new_ones: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::vm("one"), Fault::Reset);
        assert!(is_reset(&mut client).await && is_reset(&mut server).await);
        assert!(net.is_rejected(0).await);
        let (mut client, mut server) = net.pair(1).await;
        assert!(passes(&mut client, &mut server, b"order").await);
    }
    reset_after_resets_when_the_bytes_have_passed: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::reset_after(5));
        assert!(passes(&mut client, &mut server, b"order").await);
        client.write_all(b"more").await.expect("write succeeds");
        assert!(is_reset(&mut client).await && is_reset(&mut server).await);
    }
    refuse_leaves_live_connections: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::Refuse);
        assert!(net.is_rejected(0).await);
        assert!(passes(&mut client, &mut server, b"order").await);
    }
    corrupt_at_changes_one_byte: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::CorruptAt(7));
        assert!(passes(&mut client, &mut server, b"order").await);
        client.write_all(b"again").await.expect("write succeeds");
        let mut buffer = [0; 5];
        server.read_exact(&mut buffer).await.expect("data arrives");
        assert_eq!(&buffer, b"agqin");
        assert!(passes(&mut server, &mut client, b"answer, long enough").await);
    }
    corrupt_every_changes_each_nth_byte: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::CorruptEvery(4));
        client.write_all(&[0; 10]).await.expect("write succeeds");
        let mut buffer = [0; 10];
        server.read_exact(&mut buffer).await.expect("data arrives");
        let changed: Vec<_> = (0..10).filter(|i| buffer[*i] != 0).collect();
        assert_eq!(changed, [4, 8]);
    }
    rules_hold_for_their_sides_and_port_only: {
        let (mut client, mut server) = net.pair(0).await;
        let elsewhere = Side::Zone("cusco-b".parse().expect("valid"));
        let rules = [
            Rule::new(Side::Any, Side::Any, Fault::Cut).on(Port::Callers),
            Rule::new(Side::Any, elsewhere, Fault::Cut),
            Rule::new(Side::vm("two"), Side::Any, Fault::Cut),
        ];
        for rule in rules {
            net.network.inject(rule);
        }
        assert!(passes(&mut client, &mut server, b"order").await);
        assert!(passes(&mut server, &mut client, b"answer").await);
    }
    added_delay_holds_for_live_connections: {
        let (mut client, mut server) = net.pair(0).await;
        let (base, jitter) = (Duration::from_millis(30), Duration::from_millis(5));
        net.to_server(Side::Any, Fault::Delay { base, jitter });
        let start = Instant::now();
        assert!(passes(&mut client, &mut server, b"order").await);
        assert!(start.elapsed() >= base);
    }
    dead_port_refuses_and_comes_back: {
        let behind = net.server.local_addr().expect("bound");
        drop(net.server);
        let socket = |ip| TcpSocket::new_v4().map(|s| (s.bind(SocketAddr::new(ip, 0)), s));
        let connect = async || {
            let (bound, socket) = socket(net.clients[0])?;
            bound?;
            socket.connect(net.proxy.address()).await
        };
        // The first connection lets the proxy detect that the port is closed; later ones are
        // refused.
        while !matches!(connect().await, Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused) {}
        let server = TcpListener::bind(behind).await.expect("bind succeeds again");
        while connect().await.is_err() {}
        assert!(server.accept().await.is_ok());
    }
}

contract! {
    net: Fixture = delayed;
    shape_delays_each_way: {
        let (mut client, mut server) = net.pair(0).await;
        let start = Instant::now();
        assert!(passes(&mut client, &mut server, b"order").await);
        assert!(passes(&mut server, &mut client, b"answer").await);
        assert!(start.elapsed() >= Duration::from_millis(40));
    }
}

contract! {
    net: Fixture = rate_limited;
    rate_between_regions_is_shared_fairly: {
        let (mut client, mut server) = net.pair(0).await;
        let (mut other, mut other_server) = net.pair(1).await;
        let size = 64 * 1024;
        let start = Instant::now();
        let write = |stream: TcpStream| tokio::spawn(async move {
            let mut stream = stream;
            let _ = stream.write_all(&vec![1; size]).await;
            stream
        });
        let bulk = tokio::spawn(async move {
            let _ = other.write_all(&vec![1; 4 * size]).await;
            other
        });
        let mut first = [0];
        other_server.read_exact(&mut first).await.expect("bulk transfer has started");
        let small = write(client);
        server.read_exact(&mut vec![0; size]).await.expect("all data arrives");
        // 64 KiB and as much of the bulk transfer take 200 ms, less the burst of the rate limiter.
        assert!(start.elapsed() >= Duration::from_millis(150));
        // The bulk transfer is four times as long and cannot have finished first.
        let rest = timeout(Duration::ZERO, other_server.read_exact(&mut vec![0; 4 * size - 1])).await;
        assert!(rest.is_err());
        client = small.await.expect("task completes");
        other = bulk.await.expect("task completes");
        drop((client, other));
    }
    rule_rate_is_a_bucket_of_its_own: {
        let (mut client, mut server) = net.pair(0).await;
        net.to_server(Side::Any, Fault::rate(Rate(8 * 100 * 1024)));
        let start = Instant::now();
        client.write_all(&vec![1; 32 * 1024]).await.expect("write succeeds");
        server.read_exact(&mut vec![0; 32 * 1024]).await.expect("all data arrives");
        assert!(start.elapsed() >= Duration::from_millis(150));
    }
}

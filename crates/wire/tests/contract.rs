//! Contract of the protocol between daemons: messages round-trip, and invalid ones are rejected.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::claims::{ClaimReply, ClaimRequest, CreationTime, Verdict};
use apricothall_decide::dedupe::{CallKey, Home};
use apricothall_decide::delta::diff;
use apricothall_decide::quarantine::{Crash, Record};
use apricothall_types::{
    CallerId, Class, Digest, EntryName, Incarnation, Load, MemberId, Outcome, RequestId, Revision,
    Sequence, WallTime,
};
use apricothall_wire::answer::{Answer, AnswerFrame, Refusal};
use apricothall_wire::codec::{decode, encode};
use apricothall_wire::{
    Binding, Call, Channel, Connector, ConnectorConfig, Header, Incoming, OnceCall, Order,
    PROTOCOL_HEADER, PROTOCOL_VERSION, Payload, Published, PublishedText, RUN_PATH, Subject,
    TrafficClass, WireError, serve,
};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use http::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn id() -> MemberId {
    "desk-0".parse().expect("valid id")
}

fn home() -> Home {
    Home {
        id: id(),
        incarnation: Incarnation(7),
    }
}

fn key() -> CallKey {
    CallKey(Digest([3; 32]))
}

fn name() -> EntryName {
    "booking".parse().expect("valid name")
}

fn record() -> Record {
    let crash = Crash {
        id: id(),
        incarnation: Incarnation(7),
        boot: "b1".into(),
    };
    Record {
        crashes: [(crash, true)].into(),
        saturated: false,
        alone: true,
        until: WallTime(9),
    }
}

fn order(call: Call, binding: Option<Binding>) -> Order {
    let caller: CallerId = "crew".parse().expect("valid id");
    let once = binding.map(|binding| OnceCall {
        key: key(),
        fingerprint: Digest([4; 32]),
        binding,
        lookup_only: true,
    });
    Order {
        request: RequestId(1),
        caller,
        name: name(),
        class: Class::Critical,
        budget: Duration::from_millis(1_500),
        sent: WallTime(5),
        once,
        record: Some(record()),
        call,
    }
}

fn service() -> Call {
    Call::Service {
        method: "POST".into(),
        path: "/cut?span=12".into(),
        headers: vec![Header {
            name: "accept".into(),
            value: "*/*".into(),
        }],
        body: Payload(Bytes::from_static(b"span 12")),
    }
}

fn completion() -> Call {
    let version = "1".parse().expect("valid version");
    let body = Payload(Bytes::from_static(b"{}"));
    Call::Completion { version, body }
}

fn frame(answer: Answer) -> AnswerFrame {
    AnswerFrame {
        request: RequestId(1),
        sequence: Sequence(2),
        answer,
    }
}

fn ask(birth: CreationTime) -> ClaimRequest {
    let by = home();
    ClaimRequest {
        key: key(),
        birth,
        by,
    }
}

/// Each message must round-trip, and must not decode when truncated or followed by other bytes.
macro_rules! messages {
    ($($case:ident: $value:expr;)*) => {
        $(#[test] fn $case() {
            fn back<T: serde::de::DeserializeOwned>(_: &T, bytes: &[u8]) -> Result<T, WireError> {
                decode(bytes)
            }
            let value = $value;
            let bytes = encode(&value).expect("encodes");
            assert_eq!(back(&value, &bytes).expect("decodes"), value);
            for end in 0..bytes.len() {
                assert!(back(&value, &bytes[..end]).is_err(), "truncated to {end} bytes");
            }
            let longer = [bytes.as_slice(), &[0]].concat();
            assert!(back(&value, &longer).is_err(), "trailing bytes");
        })*
    };
}

messages! {
    order_of_completion: order(completion(), None);
    order_by_ticket: order(service(), Some(Binding::Ticket { home: home(), expires: WallTime(8) }));
    order_by_key: order(service(), Some(Binding::Claims { created: Some(WallTime(3)) }));
    order_by_opaque_key: order(service(), Some(Binding::Claims { created: None }));
    answer_pending: frame(Answer::Pending(Load::default()));
    answer_placed: frame(Answer::Placed { boot: "b1".into(), alone: true });
    answer_crashed: frame(Answer::Crashed(record()));
    answer_data: frame(Answer::Data(Payload(Bytes::from_static(b"t"))));
    answer_end: frame(Answer::End { length: 1, load: Load::default() });
    answer_refused: frame(Answer::Refused {
        refusal: Refusal {
            outcome: Outcome::Unknown, status: 503, detail: "why".into(),
            retry: Some(Duration::from_secs(1)),
        },
        load: Load::default(),
    });
    claim_asked: ask(CreationTime::Created(WallTime(1)));
    claim_asked_for_opaque_key: ask(CreationTime::Bounded(WallTime(1)));
    claim_answered: ClaimReply { key: key(), from: id(), to: home(), verdict: Verdict::Unsure };
    published: Published { revision: Revision(4), text: PublishedText::Whole("x = 1".into()) };
    patch: Published { revision: Revision(4), text: PublishedText::Patch(diff("x = 1\n", "x = 2\n")) };
    subject: Subject::Vms;
    records: vec![(Digest([1; 32]), record())];
}

/// A daemon's port that answers each order with a single frame.
async fn port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, answer, |_| {}));
    address
}

async fn answer(incoming: Incoming) {
    let accepted: Result<Channel<Order, AnswerFrame>, _> = incoming.accept();
    let mut channel = accepted.expect("accepted");
    if let Some(Ok(order)) = channel.next().await {
        let end = Answer::End {
            length: 0,
            load: Load::default(),
        };
        let reply = AnswerFrame {
            request: order.request,
            ..frame(end)
        };
        channel.send(reply).await.expect("sent");
        channel.close().await.expect("closed");
    }
}

#[tokio::test]
async fn order_is_answered_over_a_stream() {
    let connector = Connector::new(ConnectorConfig {
        source: [127, 0, 0, 1].into(),
        connect: Duration::from_secs(5),
    });
    let opened = connector
        .open(port().await, TrafficClass::Live, RUN_PATH, None)
        .await;
    let mut channel: Channel<AnswerFrame, Order> = opened.expect("opens");
    channel.send(order(service(), None)).await.expect("sent");
    let reply = channel
        .next()
        .await
        .expect("a frame")
        .expect("a valid frame");
    assert_eq!(reply.request, RequestId(1));
}

/// Protocol version in the headers of a stream => expected status.
macro_rules! versions {
    ($($case:ident: $version:expr => $status:expr;)*) => {
        $(#[tokio::test] async fn $case() {
            let version: Option<&str> = $version;
            let stream = TcpStream::connect(port().await).await.expect("connects");
            let (sender, connection) = h2::client::handshake(stream).await.expect("handshake");
            tokio::spawn(connection);
            let mut sender = sender.ready().await.expect("ready");
            let mut request = Request::post("http://127.0.0.1/run");
            if let Some(version) = version {
                request = request.header(PROTOCOL_HEADER, version);
            }
            let request = request.body(()).expect("a request");
            let (response, _body) = sender.send_request(request, false).expect("sent");
            assert_eq!(response.await.expect("answered").status(), $status);
        })*
    };
}

versions! {
    same_version_is_accepted: Some(PROTOCOL_VERSION) => StatusCode::OK;
    other_version_is_refused: Some("2") => StatusCode::UPGRADE_REQUIRED;
    missing_version_is_refused: None => StatusCode::UPGRADE_REQUIRED;
}

#[tokio::test]
async fn invalid_bytes_close_the_connection_and_not_the_port() {
    let address = port().await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&[0xff; 4_096]).await.expect("written");
    let mut rest = Vec::new();
    // The connection may be closed by a reset.
    let _ = stream.read_to_end(&mut rest).await;
    TcpStream::connect(address).await.expect("still listens");
}

//! Answers and refusals of an agent whose status is not a final one.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_entry::forward::{AnswerEvent, Attempt, ForwardError};
use apricothall_types::{
    Class, Incarnation, Load, Member, MemberState, Outcome, RequestId, Revision, Role, Sequence,
    WallTime,
};
use apricothall_wire::answer::{Answer, AnswerFrame, Refusal};
use apricothall_wire::{
    Call, Channel, Connector, ConnectorConfig, Incoming, Order, Payload, serve,
};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use http::StatusCode;
use tokio::net::TcpListener;

/// Statuses that no answer may have.
const ODD: [u16; 9] = [0, 1, 99, 100, 101, 199, 600, 999, u16::MAX];

/// Statuses that an answer may have.
const FINAL: [u16; 8] = [200, 204, 302, 304, 404, 429, 500, 599];

/// What the agent sends first.
#[derive(Clone, Copy)]
enum Sent {
    /// The head of an answer, with all that follows it.
    Head,
    /// A refusal that states that the request has not run.
    Refusal,
    /// A refusal of the stream itself, with an HTTP status.
    Stream,
}

async fn answer(incoming: Incoming, sent: Sent, status: u16) {
    if matches!(sent, Sent::Stream) {
        let status = StatusCode::from_u16(status).expect("an HTTP status");
        return incoming.refuse(status, "odd");
    }
    let accepted: Result<Channel<Order, AnswerFrame>, _> = incoming.accept();
    let mut channel = accepted.expect("accepted");
    let order = channel.next().await.expect("an order").expect("an order");
    let load = Load::default();
    let answers = match sent {
        Sent::Refusal | Sent::Stream => {
            let refusal = Refusal {
                outcome: Outcome::NotRun,
                status,
                detail: "odd".into(),
                retry: Some(Duration::ZERO),
            };
            vec![Answer::Refused { refusal, load }]
        }
        Sent::Head => vec![
            Answer::Head {
                status,
                headers: Vec::new(),
                version: None,
            },
            Answer::Data(Payload(Bytes::from_static(b"fine"))),
            Answer::End { length: 4, load },
        ],
    };
    for (sequence, answer) in (0..).map(Sequence).zip(answers) {
        let frame = AnswerFrame {
            request: order.request,
            sequence,
            answer,
        };
        // The entry may have closed the stream already.
        let _ = channel.send(frame).await;
    }
    // Keeps the stream open until the entry closes it.
    let _ = channel.next().await;
}

/// Starts an agent that answers each order with `status`.
async fn agent(sent: Sent, status: u16) -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let handle = move |incoming| answer(incoming, sent, status);
    tokio::spawn(serve(listener, handle, |_| {}));
    Member {
        id: "desk-0".parse().expect("valid id"),
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        address,
        public: None,
        role: Role::Agent,
        region: "lima".parse().expect("valid region"),
        zone: "lima-a".parse().expect("valid zone"),
        state: MemberState::Alive,
        revision: Revision(1),
        holdings: Vec::new(),
    }
}

fn order() -> Order {
    Order {
        request: RequestId(1),
        caller: "crew".parse().expect("valid id"),
        name: "booking".parse().expect("valid name"),
        class: Class::Interactive,
        budget: Duration::from_secs(5),
        sent: WallTime(5),
        once: None,
        record: None,
        call: Call::Service {
            method: "POST".into(),
            path: "/cut".into(),
            headers: Vec::new(),
            body: Payload(Bytes::new()),
        },
    }
}

/// The first event of an agent's answer.
async fn first_event(sent: Sent, status: u16) -> Result<AnswerEvent, ForwardError> {
    let connector = Connector::new(ConnectorConfig {
        source: "127.0.0.1".parse().expect("an address"),
        connect: Duration::from_secs(2),
    });
    let agent = agent(sent, status).await;
    let mut attempt = Attempt::start(&connector, &agent, order(), "t").await?;
    attempt.next().await
}

/// The caller is told that the request may have run.
fn check_lost(status: u16, found: Result<AnswerEvent, ForwardError>) {
    let error = found.expect_err("no answer");
    let refusal = error.refusal();
    assert_eq!(refusal.status, 502, "{status}: {refusal:?}");
    assert_eq!(refusal.outcome, Outcome::Unknown, "{status}: {refusal:?}");
    assert!(!error.is_not_run(), "{status}: {error:?}");
    assert!(!error.wants_other_agent(), "{status}: {error:?}");
    assert!(error.counts_against_agent(), "{status}: {error:?}");
}

/// Guards against a status that is not a final one, passed on to a caller.
#[tokio::test]
async fn an_answer_with_an_odd_status_is_lost() {
    for status in ODD {
        check_lost(status, first_event(Sent::Head, status).await);
    }
}

/// Guards against a request called refused by a status that no refusal has.
#[tokio::test]
async fn a_refusal_with_an_odd_status_is_lost() {
    for status in ODD {
        check_lost(status, first_event(Sent::Refusal, status).await);
    }
}

/// Guards against the status of a stream between daemons, passed on to a caller.
#[tokio::test]
async fn a_stream_with_another_status_is_lost() {
    for status in [404, 503, 600, 999] {
        check_lost(status, first_event(Sent::Stream, status).await);
    }
}

/// Guards against a final status that is no longer passed on.
#[tokio::test]
async fn final_statuses_are_passed_on() {
    for expected in FINAL {
        let found = first_event(Sent::Head, expected).await.expect("a head");
        let AnswerEvent::Head(Answer::Head { status, .. }) = found else {
            panic!("{found:?}");
        };
        assert_eq!(status, expected);
        let error = first_event(Sent::Refusal, expected).await;
        let refusal = error.expect_err("refused").refusal();
        assert_eq!(refusal.status, expected);
    }
}

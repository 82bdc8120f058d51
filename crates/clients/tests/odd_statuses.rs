//! Answers of servers whose status is not a final one: 000 to 199, 600 to 999, or no three-digit
//! number.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::{
    ConfigurationClient, EngineClient, HttpClient, PlatformError, ServiceCall, ServiceClient,
};
use apricothall_types::{Class, RequestId};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time limit of each call.
const WAIT: Duration = Duration::from_secs(3);

/// Statuses that no answer may have. `OK` and the empty one stand for a missing number.
const ODD: [&str; 15] = [
    "000", "001", "099", "100", "101", "103", "199", "600", "700", "999", "20", "2000", "-20",
    "OK", "",
];

/// Statuses that a service may answer with.
const FINAL: [u16; 8] = [200, 204, 302, 304, 404, 429, 500, 599];

/// Starts a server that answers one call with `status` and closes the connection.
async fn server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("connected");
        let mut request = [0; 4096];
        let _ = connection.read(&mut request).await;
        // The client may have closed the connection already.
        let _ = connection.write_all(answer.as_bytes()).await;
    });
    address
}

fn http() -> HttpClient {
    HttpClient::new(None, WAIT)
}

/// Result of a call to a plain service.
async fn call_service(status: &str) -> Result<u16, PlatformError> {
    let call = ServiceCall {
        request: RequestId(1),
        method: Method::POST,
        path: "/cut".into(),
        headers: HeaderMap::new(),
        body: "span 12".into(),
        trace: "t".into(),
    };
    let client = ServiceClient::new(http(), server(status).await);
    let answer = client.call(call, WAIT).await?;
    Ok(answer.status.as_u16())
}

/// Result of a completion.
async fn complete(status: &str) -> Result<u16, PlatformError> {
    let client = EngineClient::new(http(), server(status).await);
    let version = "1".parse().expect("valid version");
    let class = Class::Interactive;
    let started = client.complete(RequestId(1), class, &version, "{}".into(), "", |_| {});
    started.await.map(|_| 200)
}

/// Result of a watch.
async fn watch(status: &str) -> Result<u16, PlatformError> {
    let client = ConfigurationClient::new(http(), server(status).await, WAIT);
    let watched = client.watch("k", apricothall_types::Revision(1), WAIT);
    watched.await.map(|_| 200)
}

macro_rules! odd {
    ($($(#[doc = $guards:literal])* $case:ident: $call:ident;)*) => {
        $($(#[doc = $guards])* #[tokio::test] async fn $case() {
            for status in ODD {
                let error = $call(status).await.expect_err(status);
                // Any other error states that the server refused the call and did not run it.
                assert!(matches!(error, PlatformError::Lost(_)), "{status:?}: {error:?}");
            }
        })*
    };
}

odd! {
    /// Guards against a status that is not a final one, passed on as the answer of a service.
    a_service_that_answers_with_an_odd_status_is_lost: call_service;
    /// Guards against a request called refused, and run again, although the engine may run it.
    an_engine_that_answers_with_an_odd_status_is_lost: complete;
    a_watch_that_is_answered_with_an_odd_status_is_lost: watch;
}

/// Guards against a final status that is no longer passed on.
#[tokio::test]
async fn final_statuses_are_passed_on() {
    for status in FINAL {
        let found = call_service(&format!("{status} Odd")).await;
        assert_eq!(found, Ok(status));
    }
}

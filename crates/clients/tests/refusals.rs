//! Refusals of completions by an engine whose body is too long or does not arrive.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::{EngineClient, HttpClient, PlatformError};
use apricothall_types::{Class, RequestId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which a refusal is to be known, whatever becomes of its body.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Start of each body.
const REASON: &str = "broken";

/// Size of a block of the body, in bytes.
const BLOCK: usize = 64 << 10;

/// Interval between two blocks.
const PAUSE: Duration = Duration::from_millis(5);

/// Body of an engine that refuses a completion.
#[derive(Clone, Copy)]
enum RefusalBody {
    /// All of it arrives.
    Whole,
    /// It never ends.
    Endless,
    /// Nothing arrives after its start.
    Silent,
}

/// Answers one request with status 422 and the body.
async fn refuse(mut connection: TcpStream, body: RefusalBody) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let _ = connection.read(&mut request).await?;
    let length = match body {
        RefusalBody::Whole => REASON.len(),
        RefusalBody::Endless | RefusalBody::Silent => usize::MAX >> 1,
    };
    let head = format!("HTTP/1.1 422 No\r\ncontent-length: {length}\r\n\r\n{REASON}");
    connection.write_all(head.as_bytes()).await?;
    if matches!(body, RefusalBody::Endless) {
        let block = vec![b'.'; BLOCK];
        loop {
            connection.write_all(&block).await?;
            tokio::time::sleep(PAUSE).await;
        }
    }
    // Keeps the connection open until the client closes it.
    let _ = connection.read(&mut request).await?;
    Ok(())
}

async fn engine(body: RefusalBody) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (connection, _) = listener.accept().await.expect("connected");
        refuse(connection, body).await.ok();
    });
    address
}

/// What the client reports of a completion that the engine refuses with this body.
async fn refusal(body: RefusalBody) -> PlatformError {
    let client = EngineClient::new(HttpClient::new(None, MAX_WAIT), engine(body).await);
    let version = "1".parse().expect("valid version");
    let class = Class::Interactive;
    let request = RequestId(1);
    let prompt = "{}".into();
    let refused = client.complete(request, class, &version, prompt, "", |_| {});
    let refused = tokio::time::timeout(MAX_WAIT, refused).await;
    refused.expect("refused in time").expect_err("refused")
}

macro_rules! refusals {
    ($($(#[$note:meta])* $case:ident: $body:ident;)*) => {
        $($(#[$note])* #[tokio::test] async fn $case() {
            let error = refusal(RefusalBody::$body).await;
            let PlatformError::Status { status: 422, detail } = &error else {
                panic!("{error:?}");
            };
            assert!(detail.starts_with(REASON), "{detail}");
        })*
    };
}

refusals! {
    /// Guards against a refusal whose reason is lost.
    refusal_tells_its_reason: Whole;
    /// Guards against a refusal that is read without an end, until memory is used up.
    endless_refusal_is_cut_off: Endless;
    /// Guards against a refusal that callers learn of only at their deadline.
    silent_refusal_is_known_in_time: Silent;
}

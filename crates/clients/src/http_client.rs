//! HTTP client shared by all other clients.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use apricothall_decide::statuses::is_final;
use bytes::{Bytes, BytesMut};
use http::header::RETRY_AFTER;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::time::timeout;

use crate::PlatformError;

/// Time after which unacknowledged bytes end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of bytes of an error body that are kept.
const DETAIL_BYTES: usize = 200;

/// An answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Number of bytes of answers' bodies, counted as they arrive. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Number of bytes received so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// HTTP client whose connections start at the address of this VM.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client whose connections start at `source`.
    #[must_use]
    pub fn new(source: Option<IpAddr>, connect: Duration) -> Self {
        Self::build(source, connect, usize::MAX)
    }

    fn build(source: Option<IpAddr>, connect: Duration, idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source);
        connector.set_connect_timeout(Some(connect));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(idle)
            .build(connector);
        Self { client }
    }

    /// A client that closes each connection after its call, for servers that accept only a few
    /// connections.
    #[must_use]
    pub fn without_pool(source: Option<IpAddr>, connect: Duration) -> Self {
        Self::build(source, connect, 0)
    }

    /// Sends `request` and returns the answer as soon as its headers have arrived.
    ///
    /// # Errors
    /// When there is no answer with a final status; see [`PlatformError::is_unsent`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let answer = self.client.request(request).await.map_err(|e| {
            let text = error_chain(&e);
            if e.is_connect() {
                PlatformError::Connect(text)
            } else {
                PlatformError::Lost(text)
            }
        })?;
        check_final(answer.status())?;
        Ok(answer)
    }

    /// Sends `request` and reads the complete answer, of at most `limit` bytes, within `wait`.
    ///
    /// # Errors
    /// When there is no complete answer in time.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: usize,
    ) -> Result<Answer, PlatformError> {
        timeout(wait, self.read_counted(request, limit, []))
            .await
            .map_err(|_| PlatformError::Timeout)?
    }

    /// Sends `request` and reads the complete answer, of at most `limit` bytes. Adds the bytes of its
    /// body to `counters` as they arrive.
    ///
    /// # Errors
    /// When there is no complete answer. One whose length is stated and too large is not read.
    pub async fn read_counted<const N: usize>(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        counters: [&ReceivedBytes; N],
    ) -> Result<Answer, PlatformError> {
        let (parts, body) = self.send(request).await?.into_parts();
        if usize::try_from(body.size_hint().lower()).is_ok_and(|size| size > limit) {
            return Err(PlatformError::TooLarge);
        }
        let body = body.map_frame(|frame| {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            for counter in counters {
                counter.add(bytes);
            }
            frame
        });
        let read = Limited::new(body, limit).collect().await;
        let body = read.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return PlatformError::TooLarge;
            }
            PlatformError::Lost(error.to_smolstr())
        })?;
        let body = body.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Returns `status` if it is a final one.
///
/// # Errors
/// [`PlatformError::Lost`] for all others: the server may have run the call.
pub fn check_final(status: StatusCode) -> Result<StatusCode, PlatformError> {
    if is_final(status.as_u16()) {
        return Ok(status);
    }
    Err(PlatformError::Lost(format_smolstr!(
        "{status} is not a final status"
    )))
}

/// Builds a GET request to `address`.
///
/// # Errors
/// When the path is not valid.
pub fn get(address: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .map_err(|e| PlatformError::Malformed(e.to_smolstr()))
}

impl Answer {
    /// Returns the answer unless it has an error status.
    ///
    /// # Errors
    /// [`PlatformError::Busy`] for 429 and 503, [`PlatformError::Status`] for other error statuses.
    pub fn error_for_status(self) -> Result<Self, PlatformError> {
        if self.status.is_success() || self.status == StatusCode::NOT_MODIFIED {
            return Ok(self);
        }
        Err(error_from_response(self.status, &self.headers, &self.body))
    }
}

/// Converts an answer with an error status.
#[must_use]
pub fn error_from_response(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> PlatformError {
    if matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    ) {
        return PlatformError::Busy {
            retry: retry_after(headers),
        };
    }
    let start = &body[..body.len().min(DETAIL_BYTES)];
    let detail = SmolStr::new(String::from_utf8_lossy(start));
    PlatformError::Status {
        status: status.as_u16(),
        detail,
    }
}

/// Converts an answer with an error status whose body has not been read. At most `limit` bytes of the
/// body are read, for at most `wait`; what arrives until then is kept as its start.
pub async fn read_error(answer: Response<Incoming>, wait: Duration, limit: usize) -> PlatformError {
    let (parts, body) = answer.into_parts();
    let mut body = Limited::new(body, limit);
    let mut start = BytesMut::new();
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.data_ref().map_or(&[][..], Bytes::as_ref);
            let missing = DETAIL_BYTES.saturating_sub(start.len());
            start.extend_from_slice(&data[..data.len().min(missing)]);
        }
    };
    // The status counts also if its reason is incomplete.
    timeout(wait, reading).await.ok();
    error_from_response(parts.status, &parts.headers, &start)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.trim();
    Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
}

fn error_chain(error: &dyn std::error::Error) -> SmolStr {
    match error.source() {
        Some(source) => format_smolstr!("{error}: {source}"),
        None => error.to_smolstr(),
    }
}

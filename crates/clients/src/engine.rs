//! Client of a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Class, Digest, EntryName, Fence, RequestId, Version};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;
use crate::http_client::{HttpClient, get, read_error};
use crate::limit::{LIMIT_HEADER, NamedLimit};
use crate::sse::{DONE, EventReader};

/// Maximum size in bytes of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Timeout for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The version that an engine reports to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// Catalogue entry.
    pub name: EntryName,
    /// Version.
    pub version: Version,
    /// Digest of its manifest.
    pub manifest: Digest,
}

/// State that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Differs after each restart of the engine.
    pub boot: SmolStr,
    /// Version served.
    pub serving: Option<Serving>,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Highest fencing token seen.
    pub fence: Fence,
    /// Running requests; may be out of date.
    pub running: u32,
    /// Queued requests; may be out of date.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Catalogue entry.
    pub name: EntryName,
    /// Version.
    pub version: Version,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Base URL of the weights.
    pub source: SmolStr,
    /// Fencing token of the order.
    pub fence: Fence,
}

/// One event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token as sent by the engine, with the version that generated it.
    Token {
        /// Data of the event.
        data: Bytes,
        /// Version stated in the event.
        version: Version,
        /// Position of the token.
        index: u64,
    },
    /// The answer is complete.
    Done,
}

#[derive(Deserialize)]
struct TokenHeader {
    version: Version,
    index: u64,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
    address: SocketAddr,
}

impl EngineClient {
    /// A client of the engine at `address`.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads the state of the engine.
    ///
    /// # Errors
    /// When it does not answer in time.
    pub async fn state(&self, wait: Duration) -> Result<EngineState, PlatformError> {
        let request = get(self.address, "/v1/state")?;
        self.call_for_state(request, wait).await
    }

    /// Orders a load and waits until the engine serves the version.
    ///
    /// # Errors
    /// [`PlatformError::Status`] 409 when the fencing token is outdated, 422 when the weights
    /// cannot be read.
    pub async fn load(
        &self,
        order: &LoadOrder,
        wait: Duration,
    ) -> Result<EngineState, PlatformError> {
        let body = serde_json::to_vec(order);
        let body = body.map_err(|e| PlatformError::Malformed(e.to_smolstr()))?;
        let request = self.post("/v1/load", Full::from(body))?;
        self.call_for_state(request, wait).await
    }

    /// Starts a completion on `version`. Calls `record` with the limit that the engine names in any
    /// answer.
    ///
    /// # Errors
    /// When the engine does not accept the request.
    pub async fn complete(
        &self,
        request: RequestId,
        class: Class,
        version: &Version,
        body: Bytes,
        trace: &str,
        record: impl FnOnce(NamedLimit),
    ) -> Result<Completion, PlatformError> {
        let call = Request::post(format!("http://{}/v1/completions", self.address))
            .header("x-request-id", request.to_string())
            .header("x-priority", (class as u8).to_string())
            .header("x-version", version.as_str())
            .header("traceparent", trace)
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|e| PlatformError::Malformed(e.to_smolstr()))?;
        let answer = self.http.send(call).await?;
        record(NamedLimit::read(answer.headers(), &LIMIT_HEADER));
        if answer.status() != StatusCode::OK {
            return Err(read_error(answer, REFUSAL_TIMEOUT, MAX_ANSWER_BYTES).await);
        }
        Ok(Completion {
            body: answer.into_body(),
            events: EventReader::default(),
        })
    }

    /// Cancels a request. Returns whether the engine knew it.
    ///
    /// # Errors
    /// When the engine does not answer in time.
    pub async fn cancel(&self, request: RequestId, wait: Duration) -> Result<bool, PlatformError> {
        let call = self.post(&format!("/v1/cancel/{request}"), Full::default())?;
        let answer = self.http.call(call, wait, MAX_ANSWER_BYTES).await?;
        Ok(answer.status.is_success())
    }

    async fn call_for_state(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<EngineState, PlatformError> {
        let answer = self.http.call(request, wait, MAX_ANSWER_BYTES).await?;
        parse(&answer.error_for_status()?.body)
    }

    fn post(&self, path: &str, body: Full<Bytes>) -> Result<Request<Full<Bytes>>, PlatformError> {
        let request = Request::post(format!("http://{}{path}", self.address)).body(body);
        request.map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
}

/// The stream of one completion.
#[derive(Debug)]
pub struct Completion {
    body: Incoming,
    events: EventReader,
}

impl Completion {
    /// The next event.
    ///
    /// # Errors
    /// [`PlatformError::Lost`] when the stream ends before its last event.
    pub async fn next(&mut self) -> Result<EngineEvent, PlatformError> {
        loop {
            let event = self.events.next_event();
            if let Some(data) = event.map_err(|e| PlatformError::Malformed(e.to_smolstr()))? {
                return read_event(data);
            }
            let Some(frame) = self.body.frame().await else {
                return Err(PlatformError::Lost("the stream ended early".into()));
            };
            let frame = frame.map_err(|e| PlatformError::Lost(e.to_smolstr()))?;
            if let Some(data) = frame.data_ref() {
                self.events.push(data);
            }
        }
    }
}

fn read_event(data: Bytes) -> Result<EngineEvent, PlatformError> {
    if data == DONE {
        return Ok(EngineEvent::Done);
    }
    let head: TokenHeader = parse(&data)?;
    Ok(EngineEvent::Token {
        data,
        version: head.version,
        index: head.index,
    })
}

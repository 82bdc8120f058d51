//! HTTP client of the engine on this VM.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{Answer, HttpClient, error_from_response, get};
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::Timestamp;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use smol_str::ToSmolStr;

use crate::Context;
use crate::agent::order::{self, OrderError};
use crate::dialect::{EngineCalls, EngineReport, LoadOrder};

/// Time limit of a call over loopback.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a report, of a list of pieces and of an answer to a write, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Maximum size of a piece of unknown size, in bytes.
pub const MAX_PIECE_BYTES: usize = 16 << 20;

/// Answer of an engine to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine begins to execute it.
    Accepted,
    /// It was already in effect.
    InEffect,
    /// It does not fit the state of the engine, such as another order accepted meanwhile.
    Conflict,
}

/// Client of the engine on this VM.
#[derive(Clone)]
pub struct Engine {
    client: HttpClient,
    address: SocketAddr,
    calls: EngineCalls,
}

impl Engine {
    /// Creates a client of the engine at `address`.
    #[must_use]
    pub fn new(context: &Context, address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(None, CALL_TIMEOUT),
            address,
            calls: context.dialect.engine.clone(),
        }
    }

    /// Requests the engine's status report.
    ///
    /// # Errors
    /// When the engine does not respond, or its response is malformed.
    pub async fn report(&self) -> Result<EngineReport, PlatformError> {
        let answer = self
            .call(get(self.address, self.calls.report)?)
            .await?
            .error_for_status()?;
        (self.calls.read_report)(&answer.body).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }

    /// Lists the pieces of `model` in the engine's staging area.
    ///
    /// # Errors
    /// When the engine does not respond, or its response is malformed.
    pub async fn staged(&self, model: &str) -> Result<ChunkSet, PlatformError> {
        let path = (self.calls.list_pieces)(model);
        let answer = self
            .call(get(self.address, &path)?)
            .await?
            .error_for_status()?;
        (self.calls.read_pieces)(&answer.body).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }

    /// Reads a piece of at most `limit` bytes from the staging area without verifying it.
    ///
    /// # Errors
    /// When the engine does not return the piece.
    pub async fn get_piece(
        &self,
        model: &str,
        index: u32,
        limit: usize,
    ) -> Result<Bytes, PlatformError> {
        let path = (self.calls.get_piece)(model, index);
        let request = get(self.address, &path)?;
        let answer = self.client.call(request, CALL_TIMEOUT, limit).await?;
        Ok(answer.error_for_status()?.body)
    }

    /// Writes a piece to the staging area.
    ///
    /// # Errors
    /// When the engine rejected the piece, or it is unknown whether it accepted it.
    pub async fn put_piece(
        &self,
        model: &str,
        index: u32,
        bytes: Bytes,
    ) -> Result<(), PlatformError> {
        let path = (self.calls.put_piece)(model, index);
        let request = self.request(Method::PUT, &path, bytes)?;
        self.call(request).await?.error_for_status()?;
        Ok(())
    }

    /// Sends a load order, by `by` at the latest.
    ///
    /// # Errors
    /// [`OrderError::Expired`] when it was not sent; otherwise it is unknown whether the engine
    /// accepted the order, or it rejected it.
    pub async fn order(
        &self,
        order: &LoadOrder<'_>,
        by: Timestamp,
    ) -> Result<OrderAnswer, OrderError> {
        let body = (self.calls.load_order)(order);
        let mut request = self.request(Method::POST, self.calls.order, body)?;
        // The connection sends the request as it is, without the host in its target.
        *request.uri_mut() = Uri::from_static(self.calls.order);
        let host = HeaderValue::from_str(&self.address.to_string());
        request.headers_mut().extend(host.ok().map(|h| (HOST, h)));
        match order::send(self.address, request, by, CALL_TIMEOUT).await? {
            StatusCode::CONFLICT => Ok(OrderAnswer::Conflict),
            StatusCode::OK => Ok(OrderAnswer::InEffect),
            status if status.is_success() => Ok(OrderAnswer::Accepted),
            status => Err(error_from_response(status, &HeaderMap::new(), &[]).into()),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let address = self.address;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json");
        request
            .body(Full::new(body))
            .map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Result<Answer, PlatformError> {
        self.client
            .call(request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
    }
}

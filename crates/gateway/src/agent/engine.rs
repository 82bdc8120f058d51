//! Calls to the engine on this VM.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::transfer::ChunkSet;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use smol_str::ToSmolStr;

use crate::Context;
use crate::dialect::{EngineCalls, EngineReport};

/// Longest wait for an answer over loopback.
const WAIT: Duration = Duration::from_millis(800);

/// Largest answer of the engine, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// The engine on this VM.
#[derive(Clone)]
pub struct Engine {
    client: HttpClient,
    address: SocketAddr,
    calls: EngineCalls,
}

impl Engine {
    /// The engine at `address`.
    #[must_use]
    pub fn new(context: &Context, address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(None, WAIT),
            address,
            calls: context.dialect.engine.clone(),
        }
    }

    /// Its report.
    ///
    /// # Errors
    /// When it does not answer, or not in the form agreed.
    pub async fn report(&self) -> Result<EngineReport, PlatformError> {
        let answer = self
            .call(get(self.address, self.calls.report)?)
            .await?
            .error_for_status()?;
        (self.calls.read_report)(&answer.body).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }

    /// Pieces of `model` that lie staged beside it.
    ///
    /// # Errors
    /// When it does not answer, or not in the form agreed.
    pub async fn staged(&self, model: &str) -> Result<ChunkSet, PlatformError> {
        let path = (self.calls.list_pieces)(model);
        let answer = self
            .call(get(self.address, &path)?)
            .await?
            .error_for_status()?;
        (self.calls.read_pieces)(&answer.body).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
    }

    /// One staged piece, unverified.
    ///
    /// # Errors
    /// When it is not there.
    pub async fn get_piece(&self, model: &str, index: u32) -> Result<Bytes, PlatformError> {
        let path = (self.calls.get_piece)(model, index);
        Ok(self
            .call(get(self.address, &path)?)
            .await?
            .error_for_status()?
            .body)
    }

    /// Stages one piece.
    ///
    /// # Errors
    /// When it was not taken, or that is not known.
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

    /// Orders it to load `version` from the staged pieces. `before` is the number of orders that
    /// it reports. True when the order was taken or is in effect already.
    ///
    /// # Errors
    /// When it is not known whether the order was taken.
    pub async fn load(
        &self,
        model: &str,
        version: u64,
        before: u64,
    ) -> Result<bool, PlatformError> {
        let body = (self.calls.load_order)(model, version, before);
        let request = self.request(Method::POST, self.calls.order, body)?;
        let answer = self.call(request).await?;
        if answer.status == StatusCode::CONFLICT {
            return Ok(false);
        }
        answer.error_for_status()?;
        Ok(true)
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
        self.client.call(request, WAIT, ANSWER_BYTES).await
    }
}

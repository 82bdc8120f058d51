//! An HTTP client that reads complete responses.

use std::net::IpAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::StandinError;
use crate::server::text_of;

/// Connection pool used by [`Client`].
pub type Pool = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Value of the header `name`, as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        text_of(&self.headers, name)?.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Returns an error if the body does not have the expected form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StandinError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A client that reuses connections and never retries a request.
#[derive(Clone)]
pub struct Client(Pool);

impl Default for Client {
    fn default() -> Self {
        Self::new(None)
    }
}

impl Client {
    /// Creates a client that connects from the address `source`, or from any address.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self::make(source, false)
    }

    /// As [`Client::new`], using HTTP/2 with prior knowledge.
    #[must_use]
    pub fn http2(source: Option<IpAddr>) -> Self {
        Self::make(source, true)
    }

    fn make(source: Option<IpAddr>, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source);
        let pool = hyper_util::client::legacy::Builder::new(TokioExecutor::new())
            .retry_canceled_requests(false)
            .http2_only(http2)
            .build(connector);
        Self(pool)
    }

    /// Sends a request and returns the response without reading its body.
    ///
    /// # Errors
    /// Returns an error if the connection fails or breaks before the response headers.
    pub async fn open(
        &self,
        request: Request<Bytes>,
    ) -> Result<http::Response<hyper::body::Incoming>, StandinError> {
        Ok(self.0.request(request.map(Full::new)).await?)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// Returns an error if the connection fails or breaks.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Answer, StandinError> {
        let (head, body) = self.open(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a request without additional headers.
    ///
    /// # Errors
    /// Returns an error if the URI is invalid or the connection fails or breaks.
    pub async fn call(
        &self,
        method: Method,
        uri: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, StandinError> {
        let request = Request::builder().method(method).uri(uri);
        self.send(request.body(body.into())?).await
    }

    /// Fetches `uri`, which must respond with status 200.
    ///
    /// # Errors
    /// Returns an error for any other status and if the connection fails or breaks.
    pub async fn get(&self, uri: &str) -> Result<Bytes, StandinError> {
        let answer = self.call(Method::GET, uri, Bytes::new()).await?;
        if answer.status != StatusCode::OK {
            let (what, status) = (SmolStr::new(uri), answer.status);
            return Err(StandinError::Status { what, status });
        }
        Ok(answer.body)
    }
}

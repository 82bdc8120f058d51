//! A small HTTP client for whole answers.

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

/// The connection pool below [`Client`].
pub type Pool = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// The header `name` as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        text_of(&self.headers, name)?.parse().ok()
    }

    /// The body read as JSON.
    ///
    /// # Errors
    /// When it has another form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StandinError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A client that keeps connections and never repeats a request by itself.
#[derive(Clone)]
pub struct Client(Pool);

impl Default for Client {
    fn default() -> Self {
        Self::new(None)
    }
}

impl Client {
    /// A client whose connections come from `source`, or from any address.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self::make(source, false)
    }

    /// As [`Client::new`], by HTTP/2 with prior knowledge.
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

    /// Sends a request and gives the answer with its body unread.
    ///
    /// # Errors
    /// When no connection is made or it breaks before the head of the answer.
    pub async fn open(
        &self,
        request: Request<Bytes>,
    ) -> Result<http::Response<hyper::body::Incoming>, StandinError> {
        Ok(self.0.request(request.map(Full::new)).await?)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// When no connection is made or it breaks.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Answer, StandinError> {
        let (head, body) = self.open(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a request without headers.
    ///
    /// # Errors
    /// When the URI is wrong, no connection is made or it breaks.
    pub async fn call(
        &self,
        method: Method,
        uri: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, StandinError> {
        let request = Request::builder().method(method).uri(uri);
        self.send(request.body(body.into())?).await
    }

    /// Reads `uri`, which must answer 200.
    ///
    /// # Errors
    /// When it answers otherwise or the connection breaks.
    pub async fn get(&self, uri: &str) -> Result<Bytes, StandinError> {
        let answer = self.call(Method::GET, uri, Bytes::new()).await?;
        if answer.status != StatusCode::OK {
            let (what, status) = (SmolStr::new(uri), answer.status);
            return Err(StandinError::Status { what, status });
        }
        Ok(answer.body)
    }
}

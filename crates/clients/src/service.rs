//! Client of a plain service, which is not a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::RequestId;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;
use crate::http_client::HttpClient;

/// Maximum size in bytes of an answer of a plain service.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the request.
    pub request: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: SmolStr,
    /// Forwarded headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Trace of the request.
    pub trace: SmolStr,
}

/// The complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client of one plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ServiceClient {
    /// A client of the service at `address`.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Makes the call once, without retries, and returns the complete answer with any status.
    ///
    /// # Errors
    /// When there is no complete answer in time; see [`PlatformError::is_unsent`].
    pub async fn call(
        &self,
        call: ServiceCall,
        wait: Duration,
    ) -> Result<ServiceAnswer, PlatformError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .body(Full::from(call.body))
            .map_err(|e| PlatformError::Malformed(e.to_smolstr()))?;
        *request.headers_mut() = call.headers;
        let id = call.request.to_string();
        for (name, text) in [("x-request-id", id.as_str()), ("traceparent", &call.trace)] {
            let value = text
                .parse()
                .map_err(|_| PlatformError::Malformed(name.into()))?;
            request.headers_mut().insert(name, value);
        }
        let answer = self.http.call(request, wait, MAX_ANSWER_BYTES).await?;
        Ok(ServiceAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        })
    }
}

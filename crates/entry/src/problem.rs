//! Errors for callers as `application/problem+json`.

use std::time::Duration;

use apricothall_fleet::http_server::{Body, with_content_type};
use apricothall_types::{Outcome, RequestId};
use apricothall_wire::Refusal;
use http::{Response, StatusCode, header};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

const PROBLEM_TYPE: &str = "application/problem+json";

/// Why a caller gets no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// What the caller may conclude about the execution of the request.
    pub outcome: Outcome,
    /// Human-readable explanation.
    pub detail: SmolStr,
    /// Delay after which a retry may succeed, if any.
    pub retry: Option<Duration>,
}

impl Problem {
    /// Creates the problem for a malformed request, which was not run.
    #[must_use]
    pub fn bad_request(detail: impl Into<SmolStr>) -> Self {
        let status = StatusCode::BAD_REQUEST;
        Self {
            status,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry: None,
        }
    }

    /// Creates the problem for a request that was not run and may be retried after `retry`.
    #[must_use]
    pub fn unavailable(detail: impl Into<SmolStr>, retry: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self {
            status,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry: Some(retry),
        }
    }

    /// Creates the problem for a request that may or may not have run.
    #[must_use]
    pub fn unknown(detail: impl Into<SmolStr>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self {
            status,
            outcome: Outcome::Unknown,
            detail: detail.into(),
            retry: None,
        }
    }

    /// Creates the problem for a request that ran but has no complete answer.
    #[must_use]
    pub fn failed(detail: impl Into<SmolStr>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self {
            status,
            outcome: Outcome::Failed,
            detail: detail.into(),
            retry: None,
        }
    }

    /// Returns the problem as JSON.
    #[must_use]
    pub fn to_json(&self, request: RequestId) -> SmolStr {
        format_smolstr!(
            "{}",
            json!({
                "type": "about:blank",
                "title": self.status.canonical_reason().unwrap_or("error"),
                "status": self.status.as_u16(),
                "outcome": self.outcome,
                "detail": self.detail,
                "request": request,
                "retry_ms": self.retry.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
            })
        )
    }

    /// Returns the problem as an HTTP response.
    #[must_use]
    pub fn to_response(&self, request: RequestId) -> Response<Body> {
        let outcome = self.outcome.to_string();
        metrics::counter!("apricothall_caller_problems_total", "outcome" => outcome).increment(1);
        let text = self.to_json(request);
        let mut response = with_content_type(self.status, PROBLEM_TYPE, text.to_string());
        if let Some(retry) = self.retry {
            // `Retry-After` has whole seconds; rounded up so that no caller retries too early.
            let seconds = retry.as_millis().div_ceil(1_000).max(1).to_string();
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Self {
            status,
            outcome: refusal.outcome,
            detail: refusal.detail,
            retry: refusal.retry,
        }
    }
}

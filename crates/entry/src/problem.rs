//! Errors for callers as `application/problem+json`.

use std::time::Duration;

use apricothall_fleet::http_server::{Body, with_content_type};
use apricothall_types::{Outcome, RequestId};
use apricothall_wire::Refusal;
use http::{Response, StatusCode, header};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

const PROBLEM_TYPE: &str = "application/problem+json";

/// Why a caller gets no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Explanation for people.
    pub detail: SmolStr,
    /// When a later try may help.
    pub retry: Option<Duration>,
}

impl Problem {
    /// A request that is malformed and was not run.
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

    /// A request that was not run, with when to come back.
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

    /// A request of which it is not known whether it ran.
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

    /// A request that ran and has no whole answer.
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

    /// The problem as JSON text.
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

    /// The problem as an answer to the caller.
    #[must_use]
    pub fn to_response(&self, request: RequestId) -> Response<Body> {
        let outcome = self.outcome.to_string();
        metrics::counter!("apricothall_caller_problems_total", "outcome" => outcome).increment(1);
        let text = self.to_json(request);
        let mut response = with_content_type(self.status, PROBLEM_TYPE, text.to_string());
        if let Some(retry) = self.retry {
            // Whole seconds, rounded up so that no caller comes back too early.
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

//! Error responses, as clients parse them.

use apricothall_types::Outcome;
use http::{HeaderMap, StatusCode};
use serde_json::Value;

use crate::client::Answer;
use crate::server::text_of;

/// Content of an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Status of the response; 200 for an error within a stream.
    pub status: StatusCode,
    /// `outcome`, if it is a known value.
    pub outcome: Option<Outcome>,
    /// `detail`.
    pub detail: String,
    /// `Retry-After`, in seconds.
    pub retry: Option<u64>,
}

impl Problem {
    /// Parses a response. Returns `None` if it is not a problem report.
    #[must_use]
    pub fn of(answer: &Answer) -> Option<Self> {
        let kind = text_of(&answer.headers, "content-type")?;
        if !kind.starts_with("application/problem+json") {
            return None;
        }
        Some(Self::read(answer.status, &answer.headers, &answer.body))
    }

    /// Parses the body and headers of an error.
    #[must_use]
    pub fn read(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let outcome = serde_json::from_value(value["outcome"].clone()).ok();
        let text = String::from_utf8_lossy(body);
        let detail = value["detail"].as_str().unwrap_or(&text).to_owned();
        let retry = text_of(headers, "retry-after");
        Self {
            status,
            outcome,
            detail,
            retry: retry.and_then(|r| r.parse().ok()),
        }
    }
}

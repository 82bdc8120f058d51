//! Answers of this daemon's own: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// The answer cannot be completed; the caller's connection is broken off.
#[derive(Clone, Debug, Error)]
#[error("answer broken off: {0}")]
pub struct ResponseAborted(pub SmolStr);

/// Body of an answer.
pub type Body = BoxBody<Bytes, ResponseAborted>;

/// Shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A body held in memory.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// What is known of a request that is answered without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An answer without a server's: `reason` is for people.
#[must_use]
pub fn error_response(status: StatusCode, fate: RequestOutcome, reason: &str) -> Response<Body> {
    let outcome = match fate {
        RequestOutcome::NotRun => "not_run",
        RequestOutcome::Unknown => "unknown",
    };
    let text = format_smolstr!(r#"{{"outcome":"{outcome}","detail":"{reason}"}}"#);
    let mut response = Response::new(full(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// A refusal of a request that has not run, with the time to come back.
#[must_use]
pub fn retry_later_response(after: Duration, reason: &str) -> Response<Body> {
    let mut response = error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        RequestOutcome::NotRun,
        reason,
    );
    let seconds = format_smolstr!("{:.2}", after.max(MIN_RETRY_AFTER).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

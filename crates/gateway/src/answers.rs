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
pub struct Broken(pub SmolStr);

/// Body of an answer.
pub type Body = BoxBody<Bytes, Broken>;

/// Shortest time after which a refused caller may come back.
const SHORTEST: Duration = Duration::from_millis(100);

/// A body held in memory.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// What is known of a request that is answered without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An answer without a server's: `reason` is for people.
#[must_use]
pub fn own(status: StatusCode, fate: Fate, reason: &str) -> Response<Body> {
    let outcome = match fate {
        Fate::NotRun => "not_run",
        Fate::Unknown => "unknown",
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
pub fn refuse(after: Duration, reason: &str) -> Response<Body> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, Fate::NotRun, reason);
    let seconds = format_smolstr!("{:.2}", after.max(SHORTEST).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

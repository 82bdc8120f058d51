//! The body of a request, within the limits of size, memory and time.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::body::{Body as _, Incoming};

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::published::InForce;
use crate::whole_body::{BodyError, WholeBody};

/// `retry-after` when there is no memory for a body.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Timeout for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Reads the body of a request. There may be no memory for a large one now, but for smaller ones.
pub(super) async fn read_body(
    context: &Context,
    in_force: &InForce,
    body: Incoming,
) -> Result<Bytes, Box<Response<Body>>> {
    let limit = in_force.configuration.limits.body;
    let too_large = || {
        Box::new(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            RequestOutcome::NotRun,
            "body too large",
        ))
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let budget = &context.body_budget;
    let reading = async {
        let read = WholeBody::read(body, limit, budget).await?;
        Ok(read.into_bytes(budget)?)
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(BodyError::TooLarge)) => Err(too_large()),
        Ok(Err(BodyError::NoMemory(error))) => {
            tracing::info!(%error, used = budget.used(), "body not read");
            Err(Box::new(retry_later_response(
                MEMORY_RETRY_AFTER,
                "no memory for the body",
            )))
        }
        Ok(Err(error @ BodyError::Lost(_))) => {
            tracing::info!(%error, "body not read");
            Err(Box::new(error_response(
                StatusCode::BAD_REQUEST,
                RequestOutcome::NotRun,
                "body not whole",
            )))
        }
        Err(_) => Err(Box::new(error_response(
            StatusCode::REQUEST_TIMEOUT,
            RequestOutcome::NotRun,
            "body too slow",
        ))),
    }
}

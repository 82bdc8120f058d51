//! What the headers of a request state about its prompt.

use std::sync::Arc;
use std::time::Duration;

use apricothall_types::PromptPart;
use http::{HeaderMap, Response, StatusCode};

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::model::EngineService;

/// Divisor of the caller's time that gives the `retry-after` of a prompt that no engine can run: the
/// longest one that callers heed.
const TOO_LARGE_RETRY_DIVISOR: u32 = 3;

/// Number of prompt tokens of a request to `engines`, or the mean number if it states none. Requests
/// that no engine can run are rejected: they need not wait for their body, nor for their deadline.
pub(super) fn prompt_tokens(
    context: &Context,
    headers: &HeaderMap,
    engines: Option<&EngineService>,
    wait: Duration,
) -> Result<f64, Box<Response<Body>>> {
    let Some(engines) = engines else {
        return Ok(0.0);
    };
    let stated = (context.dialect.read_usage)(headers).map_err(|error| {
        tracing::info!(%error, "number of prompt tokens not understood");
        let reason = "the stated number of tokens is not a number";
        Box::new(error_response(
            StatusCode::BAD_REQUEST,
            RequestOutcome::NotRun,
            reason,
        ))
    })?;
    let Some(tokens) = stated else {
        return Ok(engines.timing.prompt);
    };
    let fits = engines.capacity.is_none_or(|capacity| tokens <= capacity);
    if !fits || !engines.timing.can_read_within(tokens.as_f64(), wait) {
        metrics::counter!("apricothall_prompts_too_large_total").increment(1);
        return Err(Box::new(retry_later_response(
            wait / TOO_LARGE_RETRY_DIVISOR,
            "no engine can read a prompt of this size in time",
        )));
    }
    Ok(tokens.as_f64())
}

/// Parts of the prompt that a request to `engines` may share with others.
pub(super) fn prompt_parts(
    context: &Context,
    headers: &HeaderMap,
    engines: Option<&EngineService>,
) -> Arc<[PromptPart]> {
    let Some(engines) = engines else {
        return Arc::default();
    };
    let model = &engines.model.name;
    let ids = (context.dialect.read_parts)(headers).into_iter();
    ids.map(|id| PromptPart {
        model: model.clone(),
        id,
    })
    .collect()
}

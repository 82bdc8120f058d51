//! What the headers of a request state about its prompt.

use std::sync::Arc;
use std::time::Duration;

use apricothall_types::{PromptPart, TokenCount};
use http::{HeaderMap, Response, StatusCode};

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::model::EngineService;

/// Divisor of the caller's time that gives the `retry-after` of a prompt that no engine can run: the
/// longest one that callers heed.
const TOO_LARGE_RETRY_DIVISOR: u32 = 3;

/// Size of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestSize {
    /// Number of prompt tokens.
    pub(super) prompt: f64,
    /// Tokens that it may need in the memory of an engine.
    pub(super) tokens: TokenCount,
}

/// Size of a request to `engines`, or the mean size if it states none. Requests that no engine can
/// run are rejected: they need not wait for their body, nor for their deadline.
pub(super) fn request_size(
    context: &Context,
    headers: &HeaderMap,
    engines: Option<&EngineService>,
    wait: Duration,
) -> Result<RequestSize, Box<Response<Body>>> {
    let Some(engines) = engines else {
        return Ok(RequestSize::default());
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
    let timing = &engines.timing;
    let Some(stated) = stated else {
        return Ok(RequestSize {
            prompt: timing.prompt,
            tokens: timing
                .mean_tokens()
                .min(engines.capacity.unwrap_or_default()),
        });
    };
    let answer = stated.answer.unwrap_or_default();
    let tokens = TokenCount(stated.prompt.0.saturating_add(answer.0));
    let fits = engines.capacity.is_none_or(|capacity| tokens <= capacity);
    let prompt = stated.prompt.as_f64();
    if !fits || !timing.can_read_within(prompt, wait) {
        metrics::counter!("apricothall_prompts_too_large_total").increment(1);
        return Err(Box::new(retry_later_response(
            wait / TOO_LARGE_RETRY_DIVISOR,
            "no engine can read a prompt of this size in time",
        )));
    }
    Ok(RequestSize { prompt, tokens })
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

//! Admission of callers' requests: either a call to be forwarded or an error response.

mod access;
mod body;
mod call;
mod headers;
mod prompt;
mod stated_timeouts;

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::priorities::Rank;
use apricothall_decide::routes::{Account, Route};
use apricothall_types::{Digest, Timestamp};
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use rand::Rng;
use smol_str::SmolStr;

use self::access::find_route;
pub use self::access::may_use_keys;
use self::body::read_body;
use self::call::request_priority;
pub use self::call::{Call, logged_parts};
pub use self::headers::end_to_end;
use self::headers::{forwarded_headers, header_millis, header_number};
use self::prompt::{prompt_parts, request_size};
pub use self::stated_timeouts::StatedTimeouts;
use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::published::InForce;

/// `retry-after` when there is no configuration or it is too old.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `retry-after` of an entry that has just started.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Checks `request` against the current configuration.
///
/// # Errors
/// The response to send if the request is not admitted.
pub async fn admit(
    context: &Context,
    stated_timeouts: &StatedTimeouts,
    request: Request<Incoming>,
    arrival: Timestamp,
) -> Result<Call, Box<Response<Body>>> {
    let in_force = current_configuration(context, arrival)?;
    let (parts, body) = request.into_parts();
    let (route, account) = find_route(context, &in_force, &parts, arrival)?;
    let names = &context.dialect.headers;
    let Some(attempt) = parts.headers.get(&names.attempt).cloned() else {
        let reason = "the request names no attempt";
        return Err(Box::new(error_response(
            StatusCode::BAD_REQUEST,
            RequestOutcome::NotRun,
            reason,
        )));
    };
    let service = draw_service(&route)?;
    let stated = header_millis(&parts.headers, &names.deadline);
    let wait = stated.unwrap_or(route.timeout).min(route.timeout);
    let engines = in_force.configuration.engines(&service).cloned();
    let size = request_size(context, &parts.headers, engines.as_ref(), wait)?;
    let body = read_body(context, &in_force, body).await?;
    let returning = stated.is_some() && stated_timeouts.record(&route.name, wait);
    let rank = rank(&in_force, &route, account.as_deref(), &service);
    let id = attempt.to_str().unwrap_or_default();
    let uri = path_and_query(&parts.uri);
    let prompt_parts = prompt_parts(context, &parts.headers, engines.as_ref());
    let account_regions = account.as_ref().map(|a| &a.regions);
    let regions =
        account_regions.map_or_else(|| route.regions.clone(), |r| route.regions.intersection(r));
    Ok(Call {
        fingerprint: fingerprint(&uri, account.as_deref(), &body),
        id: SmolStr::new(id),
        parts: prompt_parts,
        attempt,
        headers: forwarded_headers(context, &parts.headers, account.as_deref()),
        resume: header_number(&parts.headers, &names.resume),
        method: parts.method,
        uri,
        body,
        service,
        engines,
        account,
        configuration: in_force.revision,
        regions,
        arrival,
        deadline: arrival + wait,
        returning,
        prompt: size.prompt,
        tokens: size.tokens,
        rank,
        route,
    })
}

/// The current configuration, once this daemon has one and the crash records of the others.
fn current_configuration(
    context: &Context,
    now: Timestamp,
) -> Result<Arc<InForce>, Box<Response<Body>>> {
    let Some(in_force) = context.published.in_force() else {
        return Err(Box::new(retry_later_response(
            STALE_CONFIG_RETRY_AFTER,
            "no configuration is known yet",
        )));
    };
    if !context.quarantine.is_synced(now) {
        let reason = "this entry has just started";
        return Err(Box::new(retry_later_response(START_RETRY_AFTER, reason)));
    }
    Ok(in_force)
}

/// One of the services of `route`, drawn by their weights.
fn draw_service(route: &Route) -> Result<SmolStr, Box<Response<Body>>> {
    let draw = rand::rng().random::<f64>();
    let service = route.service(draw).cloned();
    service.ok_or_else(|| {
        Box::new(retry_later_response(
            STALE_CONFIG_RETRY_AFTER,
            "the route leads to no service",
        ))
    })
}

/// Rank of a request among all requests to `service`.
fn rank(in_force: &InForce, route: &Route, account: Option<&Account>, service: &str) -> Rank {
    let configuration = &in_force.configuration;
    let accounts = configuration.accounts.priorities();
    let priority = request_priority(route, account);
    configuration.routes.rank(service, priority, accounts)
}

fn path_and_query(uri: &Uri) -> Uri {
    let path = uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

/// Digest of path, client account and body.
fn fingerprint(uri: &Uri, account: Option<&Account>, body: &[u8]) -> Digest {
    let path = uri.to_string();
    let account = account.map_or("", |a| a.name.as_str());
    Digest::of_parts(&[path.as_bytes(), &[0], account.as_bytes(), &[0], body])
}

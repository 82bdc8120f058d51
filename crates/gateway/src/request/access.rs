//! The route of a request, and whether its caller may use it.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::routes::{Account, Caller, Lookup, Route};
use apricothall_types::Timestamp;
use http::header::HOST;
use http::request::Parts;
use http::{Response, StatusCode};

use super::STALE_CONFIG_RETRY_AFTER;
use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::published::InForce;

/// Safety margin subtracted from the time limit on accepting revoked keys.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);

/// `retry-after` of a request whose route or client account cannot be used.
const UNUSABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum age of a configuration by which a request is answered with "not found" or
/// "unauthorized".
const MAX_DENY_AGE: Duration = Duration::from_millis(1_800);

/// Route of a request, and its client account if the route requires a key.
pub(super) type RouteAndAccount = (Arc<Route>, Option<Arc<Account>>);

/// Finds the route and the client account of a request.
pub(super) fn find_route(
    context: &Context,
    in_force: &InForce,
    parts: &Parts,
    now: Timestamp,
) -> Result<RouteAndAccount, Box<Response<Body>>> {
    let configuration = &in_force.configuration;
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = match configuration.routes.lookup(host, parts.uri.path()) {
        Lookup::Found(route) => route,
        Lookup::Unusable(_) => return Err(Box::new(unusable("the route cannot be used"))),
        Lookup::Unknown => {
            return Err(Box::new(unusable("the place of a route cannot be read")));
        }
        Lookup::Missing => {
            return Err(Box::new(deny(
                context,
                StatusCode::NOT_FOUND,
                "no such route",
                now,
            )));
        }
    };
    let key = parts.headers.get(&context.dialect.headers.key);
    let key = key.and_then(|v| v.to_str().ok());
    match configuration.accounts.caller(route, key) {
        Caller::Anonymous => Ok((route.clone(), None)),
        Caller::Unknown => Err(Box::new(deny(
            context,
            StatusCode::UNAUTHORIZED,
            "no such key",
            now,
        ))),
        Caller::Unusable => Err(Box::new(unusable("the client account cannot be used"))),
        Caller::Known(account) => {
            if !may_use_keys(context, now) {
                return Err(Box::new(retry_later_response(
                    STALE_CONFIG_RETRY_AFTER,
                    "the configuration is too old for keys",
                )));
            }
            Ok((route.clone(), Some(account)))
        }
    }
}

/// Refuses a request whose item of the configuration cannot be used. Operators may correct it.
fn unusable(reason: &'static str) -> Response<Body> {
    metrics::counter!("apricothall_unusable_items_refused_total", "reason" => reason).increment(1);
    retry_later_response(UNUSABLE_RETRY_AFTER, reason)
}

/// Whether the configuration is recent enough to rule out that a key has been revoked.
#[must_use]
pub fn may_use_keys(context: &Context, now: Timestamp) -> bool {
    let Some(revoke) = context.settings().bounds.revoke else {
        return true;
    };
    context
        .published
        .is_fresh(revoke.saturating_sub(REVOKE_MARGIN), now)
}

/// Responds with the error `status` if the configuration is recent enough for a final answer,
/// otherwise with a refusal that permits a retry.
fn deny(context: &Context, status: StatusCode, reason: &str, now: Timestamp) -> Response<Body> {
    if context.published.is_fresh(MAX_DENY_AGE, now) {
        return error_response(status, RequestOutcome::NotRun, reason);
    }
    retry_later_response(
        STALE_CONFIG_RETRY_AFTER,
        "the configuration is too old to tell",
    )
}

//! From a caller's request to a call that may be forwarded, or to the reason why it may not.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::routes::{Account, CallKind, Caller, Route, is_highest_priority};
use apricothall_types::{Digest, Timestamp};
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use rand::Rng;
use smol_str::SmolStr;

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::model::EngineService;
use crate::published::InForce;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    EXPECT,
];

/// Time after which a caller may come back when the configuration is not known or too old.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time after which a caller may come back to an entry that has just started.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Part of the bound on revoked keys that is kept as a margin.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);

/// Age of the configuration up to which it may say that something does not exist.
const MAX_DENY_AGE: Duration = Duration::from_millis(1_800);

/// Longest wait for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the longest time that callers of a route state, in percent, below which a request is
/// taken for one that comes back.
const RETURN_PERCENT: u32 = 84;

/// A request that may be forwarded.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the caller's attempt, for logs.
    pub id: SmolStr,
    /// Id of the caller's attempt, as sent.
    pub attempt: HeaderValue,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that it goes to.
    pub service: SmolStr,
    /// The service's engines, if it has any.
    pub engines: Option<EngineService>,
    /// Client account.
    pub account: Option<Arc<Account>>,
    /// When it arrived.
    pub arrival: Timestamp,
    /// When its final answer is due.
    pub deadline: Timestamp,
    /// Whether the caller comes back after a refusal or failure.
    pub returning: bool,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Whether servers take it before all others that wait there.
    pub urgent: bool,
    /// What every attempt at the same request has in common.
    pub fingerprint: Digest,
    /// Id of the last event that the caller has.
    pub resume: Option<u64>,
}

impl Call {
    /// Rank of the request; 0 goes first.
    #[must_use]
    pub fn priority(&self) -> u8 {
        rank(&self.route, self.account.as_deref())
    }

    /// Whether a server's answer is a stream of events that may go on elsewhere.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.route.kind == CallKind::Stream
    }
}

/// Longest time that callers of each route were seen to wait.
#[derive(Default)]
pub struct StatedTimeouts {
    longest: Mutex<HashMap<SmolStr, Duration>>,
}

impl StatedTimeouts {
    /// Notes the time that a caller states, and whether it is that of one that comes back.
    pub fn record(&self, route: &SmolStr, stated: Duration) -> bool {
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = longest.entry(route.clone()).or_default();
        *known = (*known).max(stated);
        stated * 100 < *known * RETURN_PERCENT
    }
}

/// Checks `request` against the configuration in force.
///
/// # Errors
/// The answer to give in its place.
pub async fn admit(
    context: &Context,
    stated_timeouts: &StatedTimeouts,
    request: Request<Incoming>,
    arrival: Timestamp,
) -> Result<Call, Box<Response<Body>>> {
    let Some(in_force) = context.published.in_force() else {
        return Err(Box::new(retry_later_response(
            STALE_CONFIG_RETRY_AFTER,
            "no configuration is known yet",
        )));
    };
    if !context.quarantine.is_synced(arrival) {
        let reason = "this entry has just started";
        return Err(Box::new(retry_later_response(START_RETRY_AFTER, reason)));
    }
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
    let body = read_body(&in_force, body).await?;
    let draw = rand::rng().random::<f64>();
    let service = route.service(draw).cloned();
    let Some(service) = service else {
        return Err(Box::new(retry_later_response(
            STALE_CONFIG_RETRY_AFTER,
            "the route leads to no service",
        )));
    };
    let stated = header_number(&parts.headers, &names.deadline).map(Duration::from_millis);
    let wait = stated.unwrap_or(route.timeout).min(route.timeout);
    let returning = stated.is_some_and(|s| stated_timeouts.record(&route.name, s));
    let engines = in_force.configuration.engines(&service).cloned();
    let urgent = is_urgent(&in_force, &route, account.as_deref(), &service);
    let id = attempt.to_str().unwrap_or_default();
    let usage = parts
        .headers
        .get(&names.usage)
        .and_then(|v| v.to_str().ok());
    let stated_prompt = usage.and_then(|u| u.split(',').next()?.trim().parse::<f64>().ok());
    let usual = engines.as_ref().map_or(0.0, |e| e.timing.prompt);
    let uri = path(&parts.uri);
    Ok(Call {
        fingerprint: fingerprint(&uri, account.as_deref(), &body),
        id: SmolStr::new(id),
        attempt,
        headers: forwarded_headers(context, &parts.headers, account.as_deref()),
        resume: header_number(&parts.headers, &names.resume),
        method: parts.method,
        uri,
        body,
        service,
        engines,
        account,
        arrival,
        deadline: arrival + wait,
        returning,
        prompt: stated_prompt.unwrap_or(usual),
        urgent,
        route,
    })
}

/// Rank of a request; 0 goes first.
fn rank(route: &Route, account: Option<&Account>) -> u8 {
    account.and_then(|a| a.priority).unwrap_or(route.priority)
}

/// Whether a request goes before all others of `service`.
fn is_urgent(in_force: &InForce, route: &Route, account: Option<&Account>, service: &str) -> bool {
    let configuration = &in_force.configuration;
    let accounts = configuration.accounts.highest_priority();
    let ranks = configuration.routes.priorities(service);
    ranks.is_some_and(|ranks| is_highest_priority(rank(route, account), ranks, accounts))
}

/// The route of a request, and its client account if a key is needed.
type Admitted = (Arc<Route>, Option<Arc<Account>>);

/// The route and the client account of a request.
fn find_route(
    context: &Context,
    in_force: &InForce,
    parts: &Parts,
    now: Timestamp,
) -> Result<Admitted, Box<Response<Body>>> {
    let configuration = &in_force.configuration;
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let Some(route) = configuration.routes.find(host, parts.uri.path()) else {
        return Err(Box::new(deny(
            context,
            StatusCode::NOT_FOUND,
            "no such route",
            now,
        )));
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

/// Whether the configuration is fresh enough to trust that a key has not been taken away.
#[must_use]
pub fn may_use_keys(context: &Context, now: Timestamp) -> bool {
    let Some(revoke) = context.settings().bounds.revoke else {
        return true;
    };
    context
        .published
        .is_fresh(revoke.saturating_sub(REVOKE_MARGIN), now)
}

/// Says that something does not exist, if the configuration is fresh enough to know.
fn deny(context: &Context, status: StatusCode, reason: &str, now: Timestamp) -> Response<Body> {
    if context.published.is_fresh(MAX_DENY_AGE, now) {
        return error_response(status, RequestOutcome::NotRun, reason);
    }
    retry_later_response(
        STALE_CONFIG_RETRY_AFTER,
        "the configuration is too old to tell",
    )
}

async fn read_body(in_force: &InForce, body: Incoming) -> Result<Bytes, Box<Response<Body>>> {
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
    let reading = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect());
    match reading.await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => {
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

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn path(uri: &Uri) -> Uri {
    let path = uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

/// Digest of path, client account and body.
fn fingerprint(uri: &Uri, account: Option<&Account>, body: &[u8]) -> Digest {
    let path = uri.to_string();
    let account = account.map_or("", |a| a.name.as_str());
    Digest::of(&[path.as_bytes(), &[0], account.as_bytes(), &[0], body].concat())
}

/// Headers for the server: the caller's, without those of the connection and those that only
/// this daemon sets.
fn forwarded_headers(context: &Context, from: &HeaderMap, account: Option<&Account>) -> HeaderMap {
    let names = &context.dialect.headers;
    let set_here = [
        &names.deadline,
        &names.account,
        &names.server,
        &names.urgency,
        &names.version,
        &names.key,
        &names.resume,
    ];
    let mut headers = end_to_end(from);
    for name in set_here {
        headers.remove(name);
    }
    let account = account.and_then(|a| HeaderValue::from_str(&a.name).ok());
    if let Some(value) = account {
        headers.insert(names.account.clone(), value);
    }
    headers
}

/// All headers but those of one connection.
#[must_use]
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let named = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named: Vec<_> = named
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    let mut headers = from.clone();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

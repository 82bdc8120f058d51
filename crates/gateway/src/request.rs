//! Admission of callers' requests: either a call to be forwarded or an error response.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_decide::patience::answer_due;
use apricothall_decide::routes::{Account, CallKind, Caller, Route, is_highest_priority};
use apricothall_types::{Digest, PromptPart, Timestamp};
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::{Body as _, Incoming};
use rand::Rng;
use smol_str::{SmolStr, ToSmolStr};

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::model::EngineService;
use crate::published::InForce;
use crate::whole_body::{BodyError, WholeBody};

/// Hop-by-hop headers, which are not forwarded.
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

/// `retry-after` when there is no configuration or it is too old.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `retry-after` of an entry that has just started.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Safety margin subtracted from the time limit on accepting revoked keys.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);

/// Maximum age of a configuration by which a request is answered with "not found" or
/// "unauthorized".
const MAX_DENY_AGE: Duration = Duration::from_millis(1_800);

/// `retry-after` when there is no memory for a body.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Timeout for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// A request whose stated time is below this percentage of the longest time stated for its route is
/// considered a retry.
const RETRY_PERCENT: u32 = 84;

/// Divisor of the caller's time that gives the `retry-after` of a prompt that no engine can run: the
/// longest one that callers heed.
const TOO_LARGE_RETRY_DIVISOR: u32 = 3;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the caller's attempt, for logs.
    pub id: SmolStr,
    /// Id of the caller's attempt, as received.
    pub attempt: HeaderValue,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<Route>,
    /// Service to which it is forwarded.
    pub service: SmolStr,
    /// Engine settings, if it is a service of engines.
    pub engines: Option<EngineService>,
    /// Client account.
    pub account: Option<Arc<Account>>,
    /// When the request arrived.
    pub arrival: Timestamp,
    /// When the final response is due.
    pub deadline: Timestamp,
    /// Whether the request is a retry after a refusal or failure.
    pub returning: bool,
    /// Number of prompt tokens.
    pub prompt: f64,
    /// Whether servers run it before all other queued requests.
    pub urgent: bool,
    /// Digest that is equal for all attempts of the same request.
    pub fingerprint: Digest,
    /// Parts of the prompt that other requests may share.
    pub parts: Arc<[PromptPart]>,
    /// Id of the last event that the caller received.
    pub resume: Option<u64>,
}

impl Call {
    /// Priority of the request; 0 is highest.
    #[must_use]
    pub fn priority(&self) -> u8 {
        request_priority(&self.route, self.account.as_deref())
    }

    /// Whether the response is a stream of events that may be resumed at another server.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.route.kind == CallKind::Stream
    }

    /// When the response must begin. The caller of a stream leaves earlier than its deadline if no
    /// event arrives.
    #[must_use]
    pub fn first_due(&self) -> Timestamp {
        if !self.is_stream() {
            return self.deadline;
        }
        let due = answer_due(self.arrival, self.route.target, self.route.gap);
        self.deadline.min(due)
    }
}

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Ids of prompt parts for a log line.
#[must_use]
pub fn logged_parts(parts: &[PromptPart]) -> SmolStr {
    let shown: Vec<_> = parts.iter().take(MAX_LOGGED_PARTS).collect();
    let ids: Vec<_> = shown.iter().map(|p| p.id.as_str()).collect();
    ids.join(",").to_smolstr()
}

/// Longest time stated by callers, by route.
#[derive(Default)]
pub struct StatedTimeouts {
    longest: Mutex<HashMap<SmolStr, Duration>>,
}

impl StatedTimeouts {
    /// Records the time that a caller states, of which no more than that of the route may count: all
    /// later requests are compared with it. Returns whether the request is considered a retry.
    pub fn record(&self, route: &SmolStr, stated: Duration) -> bool {
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = longest.entry(route.clone()).or_default();
        *known = (*known).max(stated);
        stated * 100 < *known * RETRY_PERCENT
    }
}

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
    let engines = in_force.configuration.engines(&service).cloned();
    let prompt = prompt_tokens(context, &parts.headers, engines.as_ref(), wait)?;
    let body = read_body(context, &in_force, body).await?;
    let returning = stated.is_some() && stated_timeouts.record(&route.name, wait);
    let urgent = is_urgent(&in_force, &route, account.as_deref(), &service);
    let id = attempt.to_str().unwrap_or_default();
    let uri = path_and_query(&parts.uri);
    let prompt_parts = prompt_parts(context, &parts.headers, engines.as_ref());
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
        arrival,
        deadline: arrival + wait,
        returning,
        prompt,
        urgent,
        route,
    })
}

/// Number of prompt tokens of a request to `engines`, or the mean number if it states none. Requests
/// that no engine can run are rejected: they need not wait for their body, nor for their deadline.
fn prompt_tokens(
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
fn prompt_parts(
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

/// Priority of a request; 0 is highest.
fn request_priority(route: &Route, account: Option<&Account>) -> u8 {
    account.and_then(|a| a.priority).unwrap_or(route.priority)
}

/// Whether a request takes precedence over all others to `service`.
fn is_urgent(in_force: &InForce, route: &Route, account: Option<&Account>, service: &str) -> bool {
    let configuration = &in_force.configuration;
    let accounts = configuration.accounts.highest_priority();
    let route_priorities = configuration.routes.priorities(service);
    route_priorities.is_some_and(|route_priorities| {
        is_highest_priority(request_priority(route, account), route_priorities, accounts)
    })
}

/// Route of a request, and its client account if the route requires a key.
type RouteAndAccount = (Arc<Route>, Option<Arc<Account>>);

/// Finds the route and the client account of a request.
fn find_route(
    context: &Context,
    in_force: &InForce,
    parts: &Parts,
    now: Timestamp,
) -> Result<RouteAndAccount, Box<Response<Body>>> {
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

/// Reads the body of a request. There may be no memory for a large one now, but for smaller ones.
async fn read_body(
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

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
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

/// Headers to forward: those of the caller without hop-by-hop headers and those that only this
/// daemon may set.
fn forwarded_headers(context: &Context, from: &HeaderMap, account: Option<&Account>) -> HeaderMap {
    let names = &context.dialect.headers;
    let own_headers = [
        &names.deadline,
        &names.account,
        &names.server,
        &names.urgency,
        &names.version,
        &names.key,
        &names.resume,
    ];
    let mut headers = end_to_end(from);
    for name in own_headers {
        headers.remove(name);
    }
    let account = account.and_then(|a| HeaderValue::from_str(&a.name).ok());
    if let Some(value) = account {
        headers.insert(names.account.clone(), value);
    }
    headers
}

/// All headers except hop-by-hop headers.
#[must_use]
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let connection_values = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let connection_headers: Vec<_> = connection_values
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    let mut headers = from.clone();
    for name in HOP_BY_HOP.iter().chain(&connection_headers) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

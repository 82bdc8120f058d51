//! `/v1/services/{name}/{path}`: forwards a call to a plain service.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::rank;
use apricothall_fleet::Trace;
use apricothall_fleet::http_server::{Body, full};
use apricothall_kernel::Clock;
use apricothall_types::{CatalogueEntry, Class, EntryKind, EntryName, Member, Outcome, Role};
use apricothall_wire::{Answer, Call, Header, Order, Payload};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use smol_str::{SmolStr, format_smolstr};

use crate::callers::EntryContext;
use crate::forward::{AnswerEvent, Attempt, ForwardError};
use crate::home;
use crate::limits::LimitQuery;
use crate::problem::Problem;
use crate::request_meta::{self, RequestMeta};

/// Path prefix of service calls.
pub const PREFIX: &str = "/v1/services/";

/// Request headers that are not forwarded to the service.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "traceparent",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-ticket",
];

/// `Retry-After` while no agent has the service.
const NO_AGENT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Handles a service call.
///
/// # Errors
/// Returns the problem to report.
pub async fn handle(
    entry: Arc<EntryContext>,
    request: Request<Incoming>,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    let meta = entry.request_meta(request.headers(), trace)?;
    let (name, path) = split_path(request.uri())?;
    let method = SmolStr::new(request.method().as_str());
    let headers = forwarded_headers(request.headers());
    let body = request_meta::read_body(request, &entry.config).await?;
    let catalogue = entry.catalogue.current();
    let catalogue = &catalogue.value;
    let service = catalogue
        .entry(&name)
        .filter(|e| e.kind == EntryKind::Service);
    let service = service.ok_or_else(|| unknown_service(&name))?;
    let class = granted_class(&entry, service, &meta, body.len())?;
    let meta = RequestMeta {
        class: Some(class),
        ..meta
    };
    let call = Call::Service {
        method,
        path,
        headers,
        body: Payload(body),
    };
    let run = async {
        if service.repeatable {
            return call_any_agent(&entry, service, &meta, call).await;
        }
        home::handle(&entry, service, &meta, call).await
    };
    let Ok(done) = tokio::time::timeout(meta.budget, run).await else {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return Err(Problem {
            status,
            ..Problem::unknown("the deadline has passed")
        });
    };
    done
}

/// Checks the call against the limits and returns its class.
fn granted_class(
    entry: &EntryContext,
    service: &CatalogueEntry,
    meta: &RequestMeta,
    body: usize,
) -> Result<Class, Problem> {
    let checked = entry.limits.check(LimitQuery {
        entry: service,
        caller: &meta.caller,
        class: meta.class,
        tokens: Some(0),
        body,
    });
    let repeated = meta.key.is_some() || meta.ticket.is_some();
    checked.map_err(|refusal| {
        if !repeated {
            return refusal;
        }
        // An earlier copy of the call may have run.
        let outcome = Outcome::Unknown;
        Problem { outcome, ..refusal }
    })
}

fn split_path(uri: &http::Uri) -> Result<(EntryName, SmolStr), Problem> {
    let path_and_query = uri
        .path_and_query()
        .map_or("", http::uri::PathAndQuery::as_str);
    let rest = path_and_query.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let parsed: Result<EntryName, _> = name.parse();
    let name = parsed.map_err(|e| Problem::bad_request(format_smolstr!("{e}")))?;
    let slash = if path.starts_with('/') { "" } else { "/" };
    Ok((name, format_smolstr!("{slash}{path}")))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let parsed_headers = forwarded.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().into(),
            value: SmolStr::new(value.to_str().ok()?),
        })
    });
    parsed_headers.collect()
}

fn unknown_service(name: &EntryName) -> Problem {
    let detail = format_smolstr!("the catalogue has no service {name}");
    Problem {
        status: StatusCode::NOT_FOUND,
        ..Problem::bad_request(detail)
    }
}

async fn call_any_agent(
    entry: &EntryContext,
    service: &CatalogueEntry,
    meta: &RequestMeta,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let Some(agent) = choose_agent(entry, service, meta) else {
        let detail = format_smolstr!("no agent has service {}", service.name);
        return Err(Problem::unavailable(detail, NO_AGENT_RETRY_AFTER));
    };
    let order = Order {
        request: meta.trace.request,
        caller: meta.caller.clone(),
        name: service.name.clone(),
        class: meta
            .class
            .map_or(service.class, |asked| asked.min(service.class)),
        budget: meta.budget,
        sent: Clock.wall(),
        record: None,
        once: None,
        call,
    };
    let trace = meta.trace.child(&mut rand::rng()).to_string();
    let answered = collect_answer(entry, &agent, order, &trace).await;
    answered.map_err(|error| Problem::from(error.refusal()))
}

/// Returns the first agent, in rank order for the call's key, that has the service.
fn choose_agent(
    entry: &EntryContext,
    service: &CatalogueEntry,
    meta: &RequestMeta,
) -> Option<Member> {
    let alive = entry
        .view
        .alive()
        .into_iter()
        .filter(|m| m.role == Role::Agent);
    let capable = alive.filter(|m| m.holdings.iter().any(|h| h.name == service.name));
    let capable: Vec<_> = capable.collect();
    let subject = meta
        .key
        .as_ref()
        .map_or_else(|| meta.trace.to_string(), ToString::to_string);
    let first = rank::order(subject.as_bytes(), capable.iter().map(|m| &m.id))
        .first()
        .copied()?;
    capable.iter().find(|m| m.id == *first).cloned()
}

/// Sends `order` to `agent` and collects the whole answer.
pub(crate) async fn collect_answer(
    entry: &EntryContext,
    agent: &Member,
    order: Order,
    trace: &str,
) -> Result<Response<Body>, ForwardError> {
    let mut attempt = Attempt::start(&entry.connector, agent, order, trace).await?;
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match attempt.next().await? {
            AnswerEvent::Head(answer) => head = Some(answer),
            AnswerEvent::Data(data) => body.extend_from_slice(&data),
            AnswerEvent::End(_) => break,
        }
    }
    let Some(Answer::Head {
        status, headers, ..
    }) = head
    else {
        return Err(ForwardError::OutOfSequence);
    };
    Ok(response(status, headers, body.freeze()))
}

fn response(status: u16, headers: Vec<Header>, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&header.value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

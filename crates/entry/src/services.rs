//! `/v1/services/{name}/{path}`: a call to a plain service.

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

use crate::ask::{self, Ask};
use crate::callers::Entry;
use crate::forward::{Attempt, ForwardError, Step};
use crate::home;
use crate::limits::Asked;
use crate::problem::Problem;

/// Start of the paths of service calls.
pub const PREFIX: &str = "/v1/services/";

/// Headers of a caller that are not passed to the service.
const OWN_HEADERS: [&str; 10] = [
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

/// When to come back while no agent has the service.
const NO_AGENT_RETRY: Duration = Duration::from_secs(2);

/// Answers a service call.
///
/// # Errors
/// The problem to report.
pub async fn answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    let waited = entry.arrival.waited(entry.clock.now());
    let ask = Ask::read(request.headers(), trace, &entry.config)?.after(waited)?;
    let (name, path) = split(request.uri())?;
    let method = SmolStr::new(request.method().as_str());
    let headers = passed(request.headers());
    let body = ask::body(request, &entry.config).await?;
    let catalogue = entry.catalogue.current();
    let catalogue = &catalogue.value;
    let service = catalogue
        .entry(&name)
        .filter(|e| e.kind == EntryKind::Service);
    let service = service.ok_or_else(|| unknown_service(&name))?;
    let class = granted(&entry, service, &ask, body.len())?;
    let ask = Ask {
        class: Some(class),
        ..ask
    };
    let call = Call::Service {
        method,
        path,
        headers,
        body: Payload(body),
    };
    let run = async {
        if service.repeatable {
            return run(&entry, service, &ask, call).await;
        }
        home::answer(&entry, service, &ask, call).await
    };
    let Ok(done) = tokio::time::timeout(ask.budget, run).await else {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return Err(Problem {
            status,
            ..Problem::unknown("the deadline has passed")
        });
    };
    done
}

/// Class that the limits grant the call.
fn granted(
    entry: &Entry,
    service: &CatalogueEntry,
    ask: &Ask,
    body: usize,
) -> Result<Class, Problem> {
    let checked = entry.limits.check(Asked {
        entry: service,
        caller: &ask.caller,
        class: ask.class,
        tokens: Some(0),
        body,
    });
    let repeated = ask.key.is_some() || ask.ticket.is_some();
    checked.map_err(|refusal| {
        if !repeated {
            return refusal;
        }
        // An earlier copy of the call may have run.
        let outcome = Outcome::Unknown;
        Problem { outcome, ..refusal }
    })
}

fn split(uri: &http::Uri) -> Result<(EntryName, SmolStr), Problem> {
    let whole = uri
        .path_and_query()
        .map_or("", http::uri::PathAndQuery::as_str);
    let rest = whole.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let parsed: Result<EntryName, _> = name.parse();
    let name = parsed.map_err(|e| Problem::bad_request(format_smolstr!("{e}")))?;
    let slash = if path.starts_with('/') { "" } else { "/" };
    Ok((name, format_smolstr!("{slash}{path}")))
}

fn passed(headers: &HeaderMap) -> Vec<Header> {
    let shown = headers
        .iter()
        .filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()));
    let text = shown.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().into(),
            value: SmolStr::new(value.to_str().ok()?),
        })
    });
    text.collect()
}

fn unknown_service(name: &EntryName) -> Problem {
    let detail = format_smolstr!("the catalogue has no service {name}");
    Problem {
        status: StatusCode::NOT_FOUND,
        ..Problem::bad_request(detail)
    }
}

async fn run(
    entry: &Entry,
    service: &CatalogueEntry,
    ask: &Ask,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let Some(agent) = agent_of(entry, service, ask) else {
        let detail = format_smolstr!("no agent has service {}", service.name);
        return Err(Problem::unavailable(detail, NO_AGENT_RETRY));
    };
    let order = Order {
        request: ask.trace.request,
        caller: ask.caller.clone(),
        name: service.name.clone(),
        class: ask
            .class
            .map_or(service.class, |asked| asked.min(service.class)),
        budget: ask.budget,
        sent: Clock.wall(),
        record: None,
        once: None,
        call,
    };
    let trace = ask.trace.child(&mut rand::rng()).to_string();
    let answered = whole(entry, &agent, order, &trace).await;
    answered.map_err(|error| Problem::from(error.refusal()))
}

/// First agent by rank for the call's key that has the service.
fn agent_of(entry: &Entry, service: &CatalogueEntry, ask: &Ask) -> Option<Member> {
    let alive = entry
        .view
        .alive()
        .into_iter()
        .filter(|m| m.role == Role::Agent);
    let able = alive.filter(|m| m.holdings.iter().any(|h| h.name == service.name));
    let able: Vec<_> = able.collect();
    let subject = ask
        .key
        .as_ref()
        .map_or_else(|| ask.trace.to_string(), ToString::to_string);
    let first = rank::order(subject.as_bytes(), able.iter().map(|m| &m.id))
        .first()
        .copied()?;
    able.iter().find(|m| m.id == *first).cloned()
}

/// Sends `order` to `agent` and waits for the whole answer.
pub(crate) async fn whole(
    entry: &Entry,
    agent: &Member,
    order: Order,
    trace: &str,
) -> Result<Response<Body>, ForwardError> {
    let mut attempt = Attempt::start(&entry.connector, agent, order, trace).await?;
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match attempt.next().await? {
            Step::Head(answer) => head = Some(answer),
            Step::Data(data) => body.extend_from_slice(&data),
            Step::End(_) => break,
        }
    }
    let Some(Answer::Head {
        status, headers, ..
    }) = head
    else {
        return Err(ForwardError::Crossed);
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

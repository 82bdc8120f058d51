//! `POST /v1/completions`: a draft by an engine, streamed or whole.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::Trace;
use apricothall_fleet::http_server::{Body, json};
use apricothall_kernel::Clock;
use apricothall_kernel::lifecycle::WorkGuard;
use apricothall_platform::sse;
use apricothall_types::{CatalogueEntry, EntryName, Kind, Outcome, Version};
use apricothall_wire::{Call, Order, Payload};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde_json::json;
use smol_str::{ToSmolStr, format_smolstr};
use tokio::sync::mpsc;

use crate::ask::{self, Ask};
use crate::callers::Entry;
use crate::choose::choose;
use crate::forward::{Attempt, ForwardError, Step};
use crate::problem::Problem;
use crate::quarantine::Suspect;

/// Agents that are tried for one request.
const MAX_TRIES: usize = 3;

/// When to come back while no agent serves the version.
const NO_AGENT_RETRY: Duration = Duration::from_secs(2);

/// Events that wait for a slow caller.
const EVENT_BUFFER: usize = 64;

/// The parts of a completion call that the entry looks at.
#[derive(Deserialize)]
struct Head {
    model: EntryName,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Token {
    text: String,
}

/// An answer whose first step has arrived.
struct Started {
    attempt: Attempt,
    version: Version,
    first: Bytes,
}

/// Answers a completion call.
///
/// # Errors
/// The problem to report when the answer has not begun.
pub async fn answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    let ask = Ask::read(request.headers(), trace, &entry.config)?;
    let body = ask::body(request, &entry.config).await?;
    let head: Head = serde_json::from_slice(&body)
        .map_err(|e| Problem::bad_request(format_smolstr!("malformed body: {e}")))?;
    let catalogue = entry.catalogue.current();
    let catalogue = &catalogue.value;
    let model = catalogue
        .entry(&head.model)
        .filter(|e| e.kind == Kind::Model);
    let model = model.ok_or_else(|| unknown_model(&head.model))?;
    let deadline = tokio::time::Instant::now() + ask.budget;
    let started = tokio::time::timeout_at(deadline, begin(&entry, model, &ask, body)).await;
    let started = started.map_err(|_| too_late())??;
    if head.stream {
        let work = entry.lifecycle.begin();
        return Ok(stream(started, ask, deadline, work));
    }
    let whole = tokio::time::timeout_at(deadline, collect(started, &ask, &head.model)).await;
    whole.map_err(|_| too_late())?
}

fn unknown_model(name: &EntryName) -> Problem {
    let detail = format_smolstr!("the catalogue has no model {name}");
    Problem {
        status: StatusCode::NOT_FOUND,
        ..Problem::bad_request(detail)
    }
}

fn too_late() -> Problem {
    let status = StatusCode::GATEWAY_TIMEOUT;
    Problem {
        status,
        ..Problem::unknown("the deadline has passed")
    }
}

/// Tries agents until one sends the first piece of an answer.
async fn begin(
    entry: &Entry,
    model: &CatalogueEntry,
    ask: &Ask,
    body: Bytes,
) -> Result<Started, Problem> {
    let no_version = || Problem::unavailable("the model has no current version", NO_AGENT_RETRY);
    let version = model.current.clone().ok_or_else(no_version)?;
    let class = ask
        .class
        .map_or(model.class, |asked| asked.min(model.class));
    let suspect = entry.pairs.suspect(&model.name, &version, class, &body);
    let mut outcome = None;
    let mut tried = Vec::new();
    let mut last = None;
    while tried.len() < MAX_TRIES {
        let barred = suspect.barred(outcome)?;
        let closed = [tried.as_slice(), &barred].concat();
        let chosen = choose(
            &entry.view,
            &model.name,
            &version,
            &closed,
            &mut rand::rng(),
        );
        let Some(agent) = chosen else {
            break;
        };
        let order = Order {
            request: ask.trace.request,
            caller: ask.caller.clone(),
            name: model.name.clone(),
            class,
            budget: ask.budget,
            sent: Clock.wall(),
            record: suspect.record(),
            once: None,
            call: Call::Completion {
                version: version.clone(),
                body: Payload(body.clone()),
            },
        };
        let trace = ask.trace.child(&mut rand::rng()).to_string();
        match first(entry, &agent, order, &trace, &suspect).await {
            Ok((attempt, first)) => {
                return Ok(Started {
                    attempt,
                    version,
                    first,
                });
            }
            Err(error) => {
                tracing::info!(agent = %agent.id, %error, "try failed");
                let refusal = error.refusal();
                if refusal.outcome != Outcome::NotRun {
                    outcome = Some(refusal.outcome);
                }
                let again = error.is_not_run() || model.repeatable;
                last = Some(Problem::from(error.refusal()));
                if !again {
                    break;
                }
            }
        }
        tried.push(agent.id);
    }
    let none = format_smolstr!("no agent serves {} {version}", model.name);
    Err(last.unwrap_or_else(|| Problem::unavailable(none, NO_AGENT_RETRY)))
}

async fn first(
    entry: &Entry,
    agent: &apricothall_types::Member,
    order: Order,
    trace: &str,
    suspect: &Suspect,
) -> Result<(Attempt, Bytes), ForwardError> {
    let mut attempt = Attempt::start(&entry.connector, agent, order, trace).await?;
    attempt.watch(suspect.clone());
    loop {
        match attempt.next().await? {
            Step::Head(_) => {}
            Step::Data(data) => return Ok((attempt, data)),
            Step::End(_) => return Ok((attempt, Bytes::new())),
        }
    }
}

/// Passes the answer on as server-sent events. A broken one ends with an `error` event.
fn stream(
    started: Started,
    ask: Ask,
    deadline: tokio::time::Instant,
    work: WorkGuard,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel::<Bytes>(EVENT_BUFFER);
    tokio::spawn(async move {
        let relayed = tokio::time::timeout_at(deadline, relay(started, &sender)).await;
        let last = match relayed {
            Ok(Ok(())) => sse::event(sse::DONE),
            Ok(Err(error)) => error_event(&broken(&error), &ask),
            Err(_) => error_event(&late_stream(), &ask),
        };
        // An error means that the caller has gone.
        let _ = sender.send(last).await;
        drop(work);
    });
    let events = futures::stream::unfold(receiver, |mut receiver| async move {
        let event = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(event)), receiver))
    });
    let mut response = Response::new(StreamBody::new(events).boxed());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn error_event(problem: &Problem, ask: &Ask) -> Bytes {
    sse::error_event(&problem.to_json(ask.trace.request))
}

fn late_stream() -> Problem {
    Problem {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Problem::failed("the deadline has passed")
    }
}

fn broken(error: &ForwardError) -> Problem {
    Problem::failed(error.to_smolstr())
}

async fn relay(started: Started, sender: &mpsc::Sender<Bytes>) -> Result<(), ForwardError> {
    let Started {
        mut attempt, first, ..
    } = started;
    if first.is_empty() {
        return Ok(());
    }
    let mut next = first;
    loop {
        if sender.send(sse::event(&next)).await.is_err() {
            // The caller has gone; dropping the attempt cancels the request.
            return Ok(());
        }
        next = match attempt.next().await? {
            Step::Data(data) => data,
            Step::End(_) => return Ok(()),
            Step::Head(_) => return Err(ForwardError::Crossed),
        };
    }
}

/// Answers with the whole text at once.
async fn collect(started: Started, ask: &Ask, name: &EntryName) -> Result<Response<Body>, Problem> {
    let Started {
        mut attempt,
        version,
        first,
    } = started;
    let mut text = String::new();
    let mut next = first;
    while !next.is_empty() {
        let token: Token = serde_json::from_slice(&next)
            .map_err(|e| Problem::failed(format_smolstr!("malformed token: {e}")))?;
        text.push_str(&token.text);
        next = match attempt.next().await.map_err(|e| broken(&e))? {
            Step::Data(data) => data,
            Step::End(_) => break,
            Step::Head(_) => return Err(broken(&ForwardError::Crossed)),
        };
    }
    let value = json!({
        "id": ask.trace.request, "model": name, "version": version,
        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
    });
    Ok(json(StatusCode::OK, &value))
}

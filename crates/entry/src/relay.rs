//! Relays the answer of an agent to the caller.
//!
//! A stream that fails after its first piece is not continued on another replica, since engines
//! need not produce the same text twice. It ends with an `error` event.

use std::convert::Infallible;
use std::time::Duration;

use apricothall_clients::sse;
use apricothall_fleet::http_server::{Body, json};
use apricothall_types::{EntryName, Version};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::json;
use smol_str::{ToSmolStr, format_smolstr};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::forward::{AnswerEvent, Attempt, ForwardError};
use crate::problem::Problem;
use crate::request_meta::RequestMeta;
use crate::routing::InFlightAttempt;

/// Number of events buffered for a slow caller; further ones wait at the agent.
const EVENT_BUFFER: usize = 64;

#[derive(Deserialize)]
struct Token {
    text: String,
}

/// An answer whose first piece has arrived.
pub struct StartedAnswer {
    /// The answer stream of the agent.
    pub attempt: Attempt,
    /// Counts the request as in flight at the agent.
    pub flight: InFlightAttempt,
    /// Model version that produces the answer.
    pub version: Version,
    /// The first piece; empty if the answer is empty.
    pub first: Bytes,
    /// Time without a frame after which the agent counts as lost.
    pub silence: Duration,
}

impl StartedAnswer {
    /// Returns the next piece after `self.first`, or `None` once the answer is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, ForwardError> {
        if self.first.is_empty() {
            return Ok(None);
        }
        let step = self.attempt.next_within(self.silence).await;
        if let Some(load) = self.attempt.take_load() {
            self.flight.note_load(load);
        }
        match step {
            Ok(AnswerEvent::Data(data)) => Ok(Some(data)),
            Ok(AnswerEvent::End(_)) => {
                self.flight.completed();
                Ok(None)
            }
            Ok(AnswerEvent::Head(_)) => Err(self.record_failure(ForwardError::OutOfSequence)),
            Err(error) => Err(self.record_failure(error)),
        }
    }

    fn record_failure(&self, error: ForwardError) -> ForwardError {
        self.flight.failed(&error);
        metrics::counter!("apricothall_answers_broken_total", "reason" => error.label())
            .increment(1);
        error
    }
}

/// Relays the answer as server-sent events. A failed answer ends with an `error` event.
pub fn stream(started: StartedAnswer, meta: RequestMeta, deadline: Instant) -> Response<Body> {
    let (sender, receiver) = mpsc::channel::<Bytes>(EVENT_BUFFER);
    tokio::spawn(async move {
        let relayed = tokio::select! {
            relayed = timeout_at(deadline, relay(started, &sender)) => relayed,
            // Dropping the attempt cancels the request at the agent.
            () = sender.closed() => {
                metrics::counter!("apricothall_callers_gone_total").increment(1);
                return;
            }
        };
        let last = match relayed {
            Ok(Ok(())) => sse::event(sse::DONE),
            Ok(Err(error)) => error_event(&failed_problem(&error), &meta),
            Err(_) => error_event(&deadline_problem(), &meta),
        };
        // An error means that the caller has disconnected.
        let _ = sender.send(last).await;
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

fn error_event(problem: &Problem, meta: &RequestMeta) -> Bytes {
    sse::error_event(&problem.to_json(meta.trace.request))
}

fn deadline_problem() -> Problem {
    Problem {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Problem::failed("the deadline has passed")
    }
}

fn failed_problem(error: &ForwardError) -> Problem {
    Problem::failed(error.to_smolstr())
}

async fn relay(
    mut started: StartedAnswer,
    sender: &mpsc::Sender<Bytes>,
) -> Result<(), ForwardError> {
    if started.first.is_empty() {
        return Ok(());
    }
    let mut next = Some(started.first.clone());
    while let Some(data) = next {
        if sender.send(sse::event(&data)).await.is_err() {
            return Ok(());
        }
        next = started.next().await?;
    }
    Ok(())
}

/// Collects the whole text and returns it in one response.
///
/// # Errors
/// When the answer is incomplete.
pub async fn collect(
    mut started: StartedAnswer,
    meta: &RequestMeta,
    name: &EntryName,
) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let mut next = Some(started.first.clone()).filter(|first| !first.is_empty());
    while let Some(data) = next {
        let token: Token = serde_json::from_slice(&data)
            .map_err(|e| Problem::failed(format_smolstr!("malformed token: {e}")))?;
        text.push_str(&token.text);
        next = started.next().await.map_err(|e| failed_problem(&e))?;
    }
    let value = json!({
        "id": meta.trace.request, "model": name, "version": started.version,
        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
    });
    Ok(json(StatusCode::OK, &value))
}

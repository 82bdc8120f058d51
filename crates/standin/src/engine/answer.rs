//! HTTP handlers of the engine interface and the streamed response.

use std::io;
use std::sync::Arc;

use apricothall_types::{Digest, Version};
use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::batch::Reservation;
use super::load::load;
use super::{Core, Run, Serving};
use crate::server::{Call, Reply, json, reply, retry_later};
use crate::text;

/// `Retry-After` of a refusal, in seconds.
const RETRY_SECONDS: u64 = 1;

/// Number of tokens of an answer if the request states none.
const DEFAULT_TOKENS: u32 = 16;

/// Priority of a request that states none.
const DEFAULT_PRIORITY: u8 = 1;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model.
    pub model: SmolStr,
    /// Prompt to complete.
    pub prompt: SmolStr,
    /// Number of tokens to generate.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Must be true.
    #[serde(default)]
    pub stream: bool,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Id of the request.
    pub id: SmolStr,
    /// Name of the model.
    pub model: SmolStr,
    /// Version that generated the token, as reported by the engine.
    pub version: Version,
    /// Text of the token.
    pub text: String,
    /// Index of the token, from 0.
    pub index: u32,
}

pub(super) async fn answer(core: Arc<Core>, call: Call) -> Reply {
    let method = call.request.method().clone();
    match (method, call.path()) {
        (Method::GET, "/v1/state") => json(StatusCode::OK, &core.report(Instant::now())),
        (Method::POST, "/v1/load") => match serde_json::from_slice(call.request.body()) {
            Ok(order) => load(core, order).await,
            Err(e) => reply(StatusCode::BAD_REQUEST, e.to_string()),
        },
        (Method::POST, "/v1/completions") => complete(&core, &call),
        (Method::POST, path) => match path.strip_prefix("/v1/cancel/") {
            Some(request) => cancel(&core, request),
            None => reply(StatusCode::NOT_FOUND, ""),
        },
        _ => reply(StatusCode::NOT_FOUND, ""),
    }
}

fn cancel(core: &Core, request: &str) -> Reply {
    let mut state = core.lock();
    let found = state.active.iter().find(|(_, a)| a.request == request);
    let Some((&ticket, active)) = found else {
        return reply(StatusCode::NOT_FOUND, "");
    };
    active.stop.cancel();
    state.waiting.retain(|(_, waiting), _| *waiting != ticket);
    reply(StatusCode::OK, "")
}

fn complete(core: &Arc<Core>, call: &Call) -> Reply {
    let body: Completion = match serde_json::from_slice(call.request.body()) {
        Ok(body) => body,
        Err(e) => return reply(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if !body.stream {
        return reply(StatusCode::BAD_REQUEST, "stream must be true");
    }
    let Some((serving, weights)) = core.lock().serving.clone() else {
        return reply(StatusCode::CONFLICT, "nothing is served");
    };
    let reported = core.lock().faults.reported.clone();
    let version = reported.unwrap_or_else(|| serving.version.clone());
    let requested = call.header("x-version");
    if serving.name.as_str() != body.model || requested.is_some_and(|v| v != version.as_str()) {
        return reply(StatusCode::CONFLICT, "not served");
    }
    let request = SmolStr::new(call.header("x-request-id").unwrap_or_default());
    let priority = call.header("x-priority").and_then(|p| p.parse().ok());
    let priority = priority.unwrap_or(DEFAULT_PRIORITY);
    let Some(reservation) = Reservation::acquire(core, request.clone(), priority) else {
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_SECONDS);
    };
    let session = Session {
        core: core.clone(),
        reservation,
        request,
        body,
        serving,
        weights,
        version,
        index: 0,
        step: Step::Start,
    };
    stream_reply(session)
}

fn stream_reply(session: Session) -> Reply {
    let frames = stream::unfold(session, |mut session| async move {
        let frame = session.next().await?;
        Some((frame.map(Frame::data), session))
    });
    let mut reply = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Progress of a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Start,
    Tokens,
    End,
}

/// A request that is being answered.
struct Session {
    core: Arc<Core>,
    reservation: Reservation,
    request: SmolStr,
    body: Completion,
    serving: Serving,
    weights: Digest,
    version: Version,
    index: u32,
    step: Step,
}

impl Session {
    /// Returns the next part of the response body, an error if the request was aborted, and `None`
    /// after the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.step == Step::End {
            return None;
        }
        let stop = self.reservation.stop.clone();
        let chunk = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            chunk = self.next_chunk() => chunk,
        };
        if chunk.is_none() {
            self.step = Step::End;
        }
        Some(chunk.ok_or_else(|| io::Error::other("request aborted")))
    }

    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.step == Step::Start {
            self.start_run().await?;
        }
        if self.index == self.body.max_tokens {
            self.reservation.finish();
            self.step = Step::End;
            return Some(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        self.wait_for_token().await;
        if self.is_poison() {
            self.core.crash();
            return None;
        }
        let event = Event {
            id: self.request.clone(),
            model: self.body.model.clone(),
            version: self.version.clone(),
            text: text::token(self.weights, &self.body.prompt, self.index),
            index: self.index,
        };
        self.index += 1;
        let event = serde_json::to_string(&event).ok()?;
        Some(format!("data: {event}\n\n").into())
    }

    async fn start_run(&mut self) -> Option<()> {
        if !self.reservation.wait_for_slot().await {
            return None;
        }
        self.reservation.record(Run {
            request: self.request.clone(),
            prompt: self.body.prompt.clone(),
            version: self.serving.version.clone(),
            weights: self.weights,
            finished: false,
        });
        self.step = Step::Tokens;
        tokio::time::sleep(self.core.settings.prefill).await;
        Some(())
    }

    /// Waits for the time of one token, which grows with the number of running requests, and while
    /// tokens are withheld or the engine is frozen.
    async fn wait_for_token(&self) {
        let running = self.core.lock().running;
        let settings = &self.core.settings;
        tokio::time::sleep(settings.base + settings.share * running).await;
        let index = self.index;
        let mut pause = self.core.pause.subscribe();
        let passes = |at: &Option<u32>| at.is_none_or(|at| index < at);
        let _ = pause.wait_for(passes).await;
        self.core.gate.wait_unfrozen().await;
    }

    fn is_poison(&self) -> bool {
        let state = self.core.lock();
        let marker = state.faults.poison.as_ref();
        marker.is_some_and(|m| self.body.prompt.contains(m.as_str()))
    }
}

//! Streamed completions sent by a simulated client, and checks of their responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Digest, Outcome, Version};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::StandinError;
use crate::caller::{CallOptions, Caller};
use crate::engine::answer::{Completion, Event};
use crate::problem::Problem;
use crate::sse::{SseEvent, SseParser};
use crate::text;

/// Data of the event that ends a complete response.
const DONE: &str = "[DONE]";

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With the final event.
    Done,
    /// With an error response or error event.
    Problem(Problem),
    /// Without a final event or an error; holds the reason.
    Broken(String),
    /// No connection could be established.
    Unreachable(String),
}

/// The received part of a streamed response.
#[derive(Clone, Debug)]
pub struct StreamedAnswer {
    /// The request.
    pub request: Completion,
    /// Token events, in order of arrival.
    pub events: Vec<Event>,
    /// How the response ended.
    pub ended: StreamEnd,
    /// Response headers.
    pub headers: HeaderMap,
    /// Time from sending the request to the first token.
    pub first: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Result of checking a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The complete response, generated from the correct weights of one version.
    Whole,
    /// An error that states an outcome.
    Refused(Outcome),
    /// Some tokens, without a final event or an error.
    Truncated,
    /// No tokens, no final event and no error.
    Lost,
    /// The response ended normally, but tokens are missing, duplicated or out of order.
    OutOfSequence,
    /// A token differs from the one that the correct weights of its version generate, or the
    /// version changes within the response.
    Mixed,
}

impl StreamedAnswer {
    /// Text of all tokens.
    #[must_use]
    pub fn text(&self) -> String {
        self.events.iter().map(|e| e.text.as_str()).collect()
    }

    /// Checks the response. `weights` holds the digest of the correct bytes of each version.
    #[must_use]
    pub fn verdict(&self, weights: &HashMap<Version, Digest>) -> Verdict {
        if self
            .events
            .iter()
            .any(|e| !self.matches_weights(e, weights))
        {
            return Verdict::Mixed;
        }
        if self.events.windows(2).any(|w| w[0].version != w[1].version) {
            return Verdict::Mixed;
        }
        let mut indices = self.events.iter().zip(0..);
        if indices.any(|(event, index)| event.index != index) {
            return Verdict::OutOfSequence;
        }
        let whole = self.events.len() == self.request.max_tokens as usize;
        match &self.ended {
            StreamEnd::Done if whole => Verdict::Whole,
            StreamEnd::Done => Verdict::OutOfSequence,
            StreamEnd::Problem(Problem {
                outcome: Some(outcome),
                ..
            }) => Verdict::Refused(*outcome),
            _ if self.events.is_empty() => Verdict::Lost,
            _ => Verdict::Truncated,
        }
    }

    fn matches_weights(&self, event: &Event, weights: &HashMap<Version, Digest>) -> bool {
        let Some(digest) = weights.get(&event.version) else {
            return false;
        };
        event.text == text::token(*digest, &self.request.prompt, event.index)
    }
}

impl Caller {
    /// Sends a streamed completion through the next entry.
    pub async fn complete(&self, request: Completion, options: &CallOptions) -> StreamedAnswer {
        match self.next_entry().await {
            Ok(address) => self.complete_at(address, request, options).await,
            Err(e) => StreamedAnswer::new(request, StreamEnd::Unreachable(e.to_string())),
        }
    }

    /// Sends a streamed completion through the entry at `address`.
    pub async fn complete_at(
        &self,
        address: SocketAddr,
        request: Completion,
        options: &CallOptions,
    ) -> StreamedAnswer {
        let start = Instant::now();
        let mut streamed = StreamedAnswer::new(request, StreamEnd::Broken(String::new()));
        match self.open(address, &streamed.request, options).await {
            Ok(answer) => streamed.receive(answer, start).await,
            Err(StandinError::Connect(e)) if e.is_connect() => {
                streamed.ended = StreamEnd::Unreachable(e.to_string());
            }
            Err(e) => streamed.ended = StreamEnd::Broken(e.to_string()),
        }
        streamed
    }

    async fn open(
        &self,
        address: SocketAddr,
        request: &Completion,
        options: &CallOptions,
    ) -> Result<http::Response<Incoming>, StandinError> {
        let uri = format!("http://{address}/v1/completions");
        let body = Bytes::from(serde_json::to_vec(request)?);
        let builder = self.request(Method::POST, &uri, options);
        let builder = builder.header("content-type", "application/json");
        self.client().open(builder.body(body)?).await
    }
}

impl StreamedAnswer {
    fn new(request: Completion, ended: StreamEnd) -> Self {
        Self {
            request,
            events: Vec::new(),
            ended,
            headers: HeaderMap::new(),
            first: None,
            gaps: Vec::new(),
        }
    }

    /// Reads the response to its end.
    async fn receive(&mut self, answer: http::Response<Incoming>, start: Instant) {
        let (head, body) = answer.into_parts();
        self.headers = head.headers;
        if head.status == StatusCode::OK {
            self.read_events(body, start).await;
            return;
        }
        self.ended = match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                StreamEnd::Problem(Problem::read(head.status, &self.headers, &body))
            }
            Err(e) => StreamEnd::Broken(e.to_string()),
        };
    }

    async fn read_events(&mut self, mut body: Incoming, start: Instant) {
        let mut parser = SseParser::default();
        let mut last = start;
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(e) => {
                    self.ended = StreamEnd::Broken(e.to_string());
                    return;
                }
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            for event in parser.push(data) {
                if let Some(ended) = self.handle_event(&event, &mut last) {
                    self.ended = ended;
                    return;
                }
            }
        }
        self.ended = StreamEnd::Broken("stream ended without the final event".to_owned());
    }

    /// Processes one event. Returns how the response ended if this was its last event.
    fn handle_event(&mut self, event: &SseEvent, last: &mut Instant) -> Option<StreamEnd> {
        if event.data == DONE {
            return Some(StreamEnd::Done);
        }
        if event.kind == "error" {
            let headers = HeaderMap::new();
            let body = event.data.as_bytes();
            return Some(StreamEnd::Problem(Problem::read(
                StatusCode::OK,
                &headers,
                body,
            )));
        }
        let token: Event = match serde_json::from_str(&event.data) {
            Ok(token) => token,
            Err(e) => return Some(StreamEnd::Broken(format!("{e}: {}", event.data))),
        };
        let now = Instant::now();
        let gap = now.duration_since(*last);
        *last = now;
        match self.first {
            None => self.first = Some(gap),
            Some(_) => self.gaps.push(gap),
        }
        self.events.push(token);
        None
    }
}

/// Creates a streamed completion request for `tokens` tokens.
#[must_use]
pub fn completion(model: &str, prompt: &str, tokens: u32) -> Completion {
    Completion {
        model: SmolStr::new(model),
        prompt: SmolStr::new(prompt),
        max_tokens: tokens,
        stream: true,
    }
}

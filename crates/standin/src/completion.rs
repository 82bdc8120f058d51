//! Completions sent by a caller, and what became of them.

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

/// Last event of a whole answer.
const DONE: &str = "[DONE]";

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With the last event of a whole answer.
    Done,
    /// With an error that says what is known.
    Problem(Problem),
    /// Without either.
    Broken(String),
    /// No connection was made.
    Unreachable(String),
}

/// An answer as far as it came.
#[derive(Clone, Debug)]
pub struct StreamedAnswer {
    /// What was asked.
    pub request: Completion,
    /// The events, in order of arrival.
    pub events: Vec<Event>,
    /// How it ended.
    pub ended: StreamEnd,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Time from the call to the first token.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// What an answer is worth to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The whole answer to the request, from the true weights of one version.
    Whole,
    /// An error with an outcome.
    Refused(Outcome),
    /// Some tokens and neither their end nor an error.
    Truncated,
    /// Neither tokens, nor an end, nor an error.
    Lost,
    /// It looks whole and tokens are missing, doubled or out of order.
    OutOfSequence,
    /// A token is not the one that the true weights of its version give.
    Mixed,
}

impl StreamedAnswer {
    /// The text.
    #[must_use]
    pub fn text(&self) -> String {
        self.events.iter().map(|e| e.text.as_str()).collect()
    }

    /// Judges the answer. `weights` holds the digest of the true bytes of each version.
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

    /// Reads the answer to its end.
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
        self.ended = StreamEnd::Broken("the stream ended without its last event".to_owned());
    }

    /// Takes one event. Gives how the answer ended when it was the last one.
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

/// A completion of `tokens` tokens, streamed.
#[must_use]
pub fn completion(model: &str, prompt: &str, tokens: u32) -> Completion {
    Completion {
        model: SmolStr::new(model),
        prompt: SmolStr::new(prompt),
        max_tokens: tokens,
        stream: true,
    }
}

//! A server's stream of events.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_clients::sse::{RawEvent, RawEventSplitter};
use apricothall_types::Timestamp;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::channels::Channel;
use crate::exchange::Answer;
use crate::fleet::{Place, Placed};
use crate::flight::InFlight;
use crate::quarantine::Loss;
use crate::servers::News;

/// Why a server's stream does not go on.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The connection ended before the stream did.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// Nothing came in time.
    #[error("no event in time")]
    Stalled,
    /// The bytes are no events.
    #[error("malformed: {0}")]
    Malformed(SmolStr),
    /// An event is missing.
    #[error("event {found} follows {last}")]
    Gap {
        /// Last event passed on.
        last: u64,
        /// Event that came.
        found: u64,
    },
}

/// A server's stream.
pub struct Feed {
    body: Incoming,
    events: RawEventSplitter,
    ready: VecDeque<RawEvent>,
    framed: bool,
    ended: bool,
    /// Connection, to be kept once the stream has ended.
    pub channel: Channel,
    /// Counts the request at the server.
    pub flight: InFlight,
    /// The server that it comes from.
    pub server: Place,
    /// When the request was sent.
    pub sent: Timestamp,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Requests that were thought to be at the server.
    pub load: u32,
    /// How old what was known of the servers was when it was chosen.
    pub news: Option<News>,
    /// Time from the request's arrival to the first event.
    pub first: Duration,
}

impl Feed {
    /// The stream in `answer`.
    #[must_use]
    pub fn new(answer: Answer, placed: &Placed) -> Self {
        Self {
            framed: answer.is_framed(),
            body: answer.body,
            events: RawEventSplitter::default(),
            ready: VecDeque::new(),
            ended: false,
            channel: answer.channel,
            flight: answer.flight,
            server: Place::from(&placed.server),
            sent: answer.sent,
            predicted: placed.predicted,
            load: placed.load,
            news: placed.news,
            first: Duration::ZERO,
        }
    }

    /// The server that it comes from.
    #[must_use]
    pub fn server(&self) -> &Place {
        &self.server
    }

    /// Notes that the stream was lost.
    pub fn note_lost(&self, error: &FeedError) {
        match error {
            FeedError::Lost(_) => self.flight.lost(Loss::Broken),
            FeedError::Stalled => self.flight.lost(Loss::Silent),
            FeedError::Malformed(_) | FeedError::Gap { .. } => {}
        }
    }

    /// The next event; none at the end.
    ///
    /// # Errors
    /// When the stream has not ended and does not go on.
    pub async fn next(&mut self, patience: Duration) -> Result<Option<RawEvent>, FeedError> {
        let read = tokio::time::timeout(patience, self.read());
        read.await.map_err(|_| FeedError::Stalled)?
    }

    async fn read(&mut self) -> Result<Option<RawEvent>, FeedError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish()?,
                Some(Err(error)) => return Err(FeedError::Lost(error.to_smolstr())),
                Some(Ok(frame)) => self.take(frame)?,
            }
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Result<(), FeedError> {
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.events.push(&data);
        let fail = |e: apricothall_clients::sse::EventTooLong| FeedError::Malformed(e.to_smolstr());
        while let Some(event) = self.events.next_event().map_err(fail)? {
            self.ready.push_back(event);
        }
        Ok(())
    }

    /// Without framing the end of the connection is the end, unless it cuts an event.
    fn finish(&mut self) -> Result<(), FeedError> {
        self.ended = true;
        let rest = self.events.take_remainder();
        if rest.is_empty() {
            return Ok(());
        }
        if !self.framed {
            return Err(FeedError::Lost("it ends inside an event".into()));
        }
        self.ready.push_back(RawEvent {
            bytes: rest,
            id: None,
        });
        Ok(())
    }
}

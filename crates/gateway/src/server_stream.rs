//! A server's stream of events.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_clients::sse::{RawEvent, RawEvents};
use apricothall_types::Timestamp;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::connections::ServerConnection;
use crate::exchange::Answer;
use crate::fleet::{Placed, ServerRef};
use crate::in_flight::InFlight;
use crate::quarantine::Loss;
use crate::servers::ServerListAge;

/// Why a server's stream does not go on.
#[derive(Debug, Error)]
pub enum StreamError {
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
pub struct ServerStream {
    body: Incoming,
    events: RawEvents,
    ready: VecDeque<RawEvent>,
    framed: bool,
    ended: bool,
    /// Connection, to be kept once the stream has ended.
    pub connection: ServerConnection,
    /// Counts the request at the server.
    pub flight: InFlight,
    /// The server that it comes from.
    pub server: ServerRef,
    /// When the request was sent.
    pub sent: Timestamp,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Requests that were thought to be at the server.
    pub load: u32,
    /// How old what was known of the servers was when it was chosen.
    pub list_age: Option<ServerListAge>,
    /// Time from the request's arrival to the first event.
    pub first: Duration,
}

impl ServerStream {
    /// The stream in `answer`.
    #[must_use]
    pub fn new(answer: Answer, placed: &Placed) -> Self {
        Self {
            framed: answer.is_framed(),
            body: answer.body,
            events: RawEvents::default(),
            ready: VecDeque::new(),
            ended: false,
            connection: answer.connection,
            flight: answer.flight,
            server: ServerRef::from(&placed.server),
            sent: answer.sent,
            predicted: placed.predicted,
            load: placed.load,
            list_age: placed.list_age,
            first: Duration::ZERO,
        }
    }

    /// The server that it comes from.
    #[must_use]
    pub fn server(&self) -> &ServerRef {
        &self.server
    }

    /// Notes that the stream was lost.
    pub fn note_lost(&self, error: &StreamError) {
        match error {
            StreamError::Lost(_) => self.flight.lost(Loss::Broken),
            StreamError::Stalled => self.flight.lost(Loss::Silent),
            StreamError::Malformed(_) | StreamError::Gap { .. } => {}
        }
    }

    /// The next event; none at the end.
    ///
    /// # Errors
    /// When the stream has not ended and does not go on.
    pub async fn next(&mut self, patience: Duration) -> Result<Option<RawEvent>, StreamError> {
        let read = tokio::time::timeout(patience, self.read());
        read.await.map_err(|_| StreamError::Stalled)?
    }

    async fn read(&mut self) -> Result<Option<RawEvent>, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish()?,
                Some(Err(error)) => return Err(StreamError::Lost(error.to_smolstr())),
                Some(Ok(frame)) => self.take(frame)?,
            }
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Result<(), StreamError> {
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.events.push(&data);
        let fail =
            |e: apricothall_clients::sse::EventTooLong| StreamError::Malformed(e.to_smolstr());
        while let Some(event) = self.events.next_event().map_err(fail)? {
            self.ready.push_back(event);
        }
        Ok(())
    }

    /// Without framing the end of the connection is the end, unless it cuts an event.
    fn finish(&mut self) -> Result<(), StreamError> {
        self.ended = true;
        let rest = self.events.rest();
        if rest.is_empty() {
            return Ok(());
        }
        if !self.framed {
            return Err(StreamError::Lost("it ends inside an event".into()));
        }
        self.ready.push_back(RawEvent {
            bytes: rest,
            id: None,
        });
        Ok(())
    }
}

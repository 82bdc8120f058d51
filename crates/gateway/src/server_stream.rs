//! Event stream from a server.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_clients::sse::{RawEvent, RawEventSplitter};
use apricothall_decide::server_limits::PassedOver;
use apricothall_types::Timestamp;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::body_budget::{BodyBudget, BudgetExceeded, Reservation};
use crate::connections::ServerConnection;
use crate::exchange::Answer;
use crate::fleet::{Placed, ServerRef};
use crate::in_flight::InFlight;
use crate::quarantine::Loss;
use crate::servers::ServerListAge;

/// Reason why a server's stream cannot be continued.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The connection was lost before the end of the stream.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// No event arrived in time.
    #[error("no event within the time limit")]
    Stalled,
    /// The data cannot be parsed as events.
    #[error("malformed event: {0}")]
    Malformed(SmolStr),
    /// The response does not go on where the stream of another server broke off.
    #[error("response does not continue the stream")]
    NotContinued,
    /// An event is missing.
    #[error("gap in the stream: event {found} follows event {last}")]
    Gap {
        /// Id of the last forwarded event.
        last: u64,
        /// Id of the received event.
        found: u64,
    },
}

/// Event stream from a server.
pub struct ServerStream {
    body: Incoming,
    events: RawEventSplitter,
    ready: VecDeque<RawEvent>,
    budget: BodyBudget,
    /// Memory of the incomplete event.
    incomplete: Option<Reservation>,
    ended: bool,
    /// Whether events are awaited that go on where another server's stream broke off.
    pub resuming: bool,
    /// Connection, to be returned to the pool once the stream has ended.
    pub connection: ServerConnection,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// The server that sends the stream.
    pub server: ServerRef,
    /// When the request was sent.
    pub sent: Timestamp,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Estimated number of requests at the server.
    pub load: u32,
    /// Age of the server list when the server was selected.
    pub list_age: Option<ServerListAge>,
    /// A server that was passed over because of its limit.
    pub passed_over: Option<PassedOver>,
    /// Time from the arrival of the request to the first event.
    pub first: Duration,
}

impl ServerStream {
    /// Creates the stream of `answer`.
    #[must_use]
    pub fn new(answer: Answer, placed: &Placed, budget: &BodyBudget) -> Self {
        Self {
            body: answer.body,
            events: RawEventSplitter::default(),
            ready: VecDeque::new(),
            budget: budget.clone(),
            incomplete: None,
            ended: false,
            resuming: false,
            connection: answer.connection,
            in_flight: answer.in_flight,
            server: ServerRef::from(&placed.server),
            sent: answer.sent,
            predicted: placed.predicted,
            load: placed.load,
            list_age: placed.list_age,
            passed_over: placed.passed_over.clone(),
            first: Duration::ZERO,
        }
    }

    /// The server that sends the stream.
    #[must_use]
    pub fn server(&self) -> &ServerRef {
        &self.server
    }

    /// Records a lost or stalled stream with the quarantine.
    pub fn record_loss(&self, error: &StreamError) {
        match error {
            StreamError::Lost(_) => self.in_flight.lost(Loss::Broken),
            StreamError::Stalled => self.in_flight.lost(Loss::Silent),
            StreamError::Malformed(_) | StreamError::NotContinued | StreamError::Gap { .. } => {}
        }
    }

    /// Returns the next event, or `None` at the end.
    ///
    /// # Errors
    /// If the stream is interrupted before its end.
    pub async fn next(&mut self, max_wait: Duration) -> Result<Option<RawEvent>, StreamError> {
        let read = tokio::time::timeout(max_wait, self.read());
        read.await.map_err(|_| StreamError::Stalled)?
    }

    async fn read(&mut self) -> Result<Option<RawEvent>, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.in_flight.event_received();
                return Ok(Some(event));
            }
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish()?,
                Some(Err(error)) => return Err(StreamError::Lost(error.to_smolstr())),
                Some(Ok(frame)) => self.handle_frame(frame)?,
            }
        }
    }

    fn handle_frame(&mut self, frame: Frame<Bytes>) -> Result<(), StreamError> {
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.events.push(&data);
        let fail =
            |e: apricothall_clients::sse::EventTooLong| StreamError::Malformed(e.to_smolstr());
        let too_large = |e: BudgetExceeded| StreamError::Malformed(e.to_smolstr());
        self.incomplete = None;
        while let Some(event) = self.events.next_event().map_err(fail)? {
            let size = event.bytes.len();
            let reserved = self.budget.reserve(0, size).map_err(too_large)?;
            let bytes = reserved.hold(event.bytes);
            self.ready.push_back(RawEvent { bytes, ..event });
        }
        let left = self.events.len();
        if left > 0 {
            self.incomplete = Some(self.budget.reserve(0, left).map_err(too_large)?);
        }
        Ok(())
    }

    /// The end of the response ends the stream, unless it truncates an event.
    fn finish(&mut self) -> Result<(), StreamError> {
        self.ended = true;
        if self.events.take_remainder().is_empty() {
            return Ok(());
        }
        Err(StreamError::Lost("stream ended within an event".into()))
    }
}

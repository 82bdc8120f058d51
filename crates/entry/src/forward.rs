//! One attempt to run a request on one agent.

use std::time::Duration;

use apricothall_decide::statuses::is_final;
use apricothall_types::{Load, Member, Outcome, RequestId, Sequence};
use apricothall_wire::answer::RETRY_IMMEDIATELY;
use apricothall_wire::{
    Answer, AnswerFrame, Channel, Connector, Order, RUN_PATH, Refusal, TrafficClass, WireError,
};
use futures::{SinkExt, StreamExt};
use http::StatusCode;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::quarantine::CompletionTracker;

/// Why an attempt gave no complete answer.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// No byte of the order reached the agent.
    #[error("not sent: {0}")]
    Unsent(WireError),
    /// The agent refused.
    #[error("refused: {}", .0.detail)]
    Refused(Refusal),
    /// The connection was lost, or timed out, after the order may have arrived.
    #[error("lost: {0}")]
    Lost(WireError),
    /// A frame has another request id or sequence number than expected.
    #[error("a frame is out of place")]
    OutOfSequence,
    /// The answer or refusal has no final status.
    #[error("status {0} is not a final one")]
    InvalidStatus(u16),
    /// The length of the received data differs from the length stated in the last frame.
    #[error("the answer is not whole")]
    Truncated,
}

impl ForwardError {
    /// Returns the refusal to report if no further attempt is made.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal.clone(),
            Self::Unsent(_) => self.as_refusal(Outcome::NotRun, 503),
            _ => self.as_refusal(Outcome::Unknown, 502),
        }
    }

    /// Returns whether outlier detection counts the failure against the agent.
    #[must_use]
    pub fn counts_against_agent(&self) -> bool {
        match self {
            Self::Refused(refusal) => {
                let is_timeout = refusal.status == StatusCode::GATEWAY_TIMEOUT;
                refusal.outcome != Outcome::NotRun && !is_timeout
            }
            _ => true,
        }
    }

    /// Returns whether the refusal requests an immediate attempt at another agent, as this one is
    /// leaving or cannot serve the request.
    #[must_use]
    pub fn wants_other_agent(&self) -> bool {
        matches!(self, Self::Refused(r) if r.retry == Some(RETRY_IMMEDIATELY))
    }

    /// Returns the label for metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::Refused(_) => "refused",
            Self::Lost(WireError::Timeout) => "silent",
            Self::Lost(_) => "lost",
            Self::OutOfSequence => "crossed",
            Self::InvalidStatus(_) => "status",
            Self::Truncated => "truncated",
        }
    }

    /// Returns whether this attempt certainly did not run the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Unsent(_) => true,
            Self::Refused(refusal) => refusal.outcome == Outcome::NotRun,
            _ => false,
        }
    }

    fn as_refusal(&self, outcome: Outcome, status: u16) -> Refusal {
        Refusal {
            outcome,
            status,
            detail: self.to_smolstr(),
            retry: None,
        }
    }
}

/// Part of an answer whose request id and sequence number have been checked.
#[derive(Debug)]
pub enum AnswerEvent {
    /// The backend server has accepted the request.
    Head(Answer),
    /// The next piece of data.
    Data(bytes::Bytes),
    /// The answer is complete.
    End(Load),
}

/// The answer stream of one agent for one order.
pub struct Attempt {
    channel: Channel<AnswerFrame, Order>,
    request: RequestId,
    expected_sequence: Sequence,
    length: u64,
    load: Option<Load>,
    agent: Member,
    tracker: Option<CompletionTracker>,
    placement: Option<(SmolStr, bool)>,
}

impl Attempt {
    /// Opens a stream to `agent` and sends `order`.
    ///
    /// # Errors
    /// [`ForwardError::Unsent`] when no stream could be opened, [`ForwardError::Lost`] when the
    /// order could not be sent on it.
    pub async fn start(
        connector: &Connector,
        agent: &Member,
        order: Order,
        trace: &str,
    ) -> Result<Self, ForwardError> {
        let opened = connector
            .open(agent.address, TrafficClass::Live, RUN_PATH, Some(trace))
            .await;
        let mut channel: Channel<AnswerFrame, Order> = opened.map_err(ForwardError::Unsent)?;
        let request = order.request;
        channel.send(order).await.map_err(ForwardError::Lost)?;
        Ok(Self {
            channel,
            request,
            expected_sequence: Sequence(0),
            length: 0,
            load: None,
            agent: agent.clone(),
            tracker: None,
            placement: None,
        })
    }

    /// Reports crashes of the server while it runs this request to `tracker`.
    pub fn track_crashes(&mut self, tracker: CompletionTracker) {
        self.tracker = Some(tracker);
    }

    /// Reports that the connection was lost while the request was placed on a server, which may
    /// have crashed.
    fn report_lost_connection(&mut self) {
        if let (Some(tracker), Some((boot, alone))) = (&self.tracker, self.placement.take()) {
            tracker.connection_lost(&self.agent, boot, alone);
        }
    }

    /// Returns the load that the agent has reported since the last call.
    pub fn take_load(&mut self) -> Option<Load> {
        self.load.take()
    }

    /// Returns the next event of the answer, skipping heartbeats.
    ///
    /// # Errors
    /// When the answer can no longer be completed.
    pub async fn next(&mut self) -> Result<AnswerEvent, ForwardError> {
        loop {
            if let Some(event) = self.next_frame().await? {
                return Ok(event);
            }
        }
    }

    /// Like [`Self::next`], but fails if the agent sends no frame, not even a heartbeat, for
    /// `silence`.
    ///
    /// # Errors
    /// When the answer can no longer be completed.
    pub async fn next_within(&mut self, silence: Duration) -> Result<AnswerEvent, ForwardError> {
        loop {
            let event = tokio::time::timeout(silence, self.next_frame()).await;
            let Ok(event) = event else {
                self.report_lost_connection();
                return Err(ForwardError::Lost(WireError::Timeout));
            };
            if let Some(event) = event? {
                return Ok(event);
            }
        }
    }

    /// Reads one frame. Returns `None` for heartbeats and for frames about placement and crashes.
    async fn next_frame(&mut self) -> Result<Option<AnswerEvent>, ForwardError> {
        let frame = self.channel.next().await.unwrap_or(Err(WireError::Ended));
        let frame = frame.map_err(|error| {
            self.report_lost_connection();
            ForwardError::Lost(error)
        })?;
        if frame.request != self.request || frame.sequence != self.expected_sequence {
            metrics::counter!("apricothall_frames_crossed_total").increment(1);
            return Err(ForwardError::OutOfSequence);
        }
        self.expected_sequence = self.expected_sequence.next();
        match frame.answer {
            Answer::Pending(load) => {
                self.load = Some(load);
                Ok(None)
            }
            Answer::Placed { boot, alone } => {
                self.placement = Some((boot, alone));
                Ok(None)
            }
            Answer::Crashed(record) => {
                if let Some(tracker) = &self.tracker {
                    tracker.record_crash(record);
                }
                Ok(None)
            }
            Answer::Data(payload) => {
                self.length += payload.len() as u64;
                Ok(Some(AnswerEvent::Data(payload.0)))
            }
            Answer::End { length, load } if length == self.length => {
                self.load = Some(load);
                Ok(Some(AnswerEvent::End(load)))
            }
            Answer::End { .. } => Err(ForwardError::Truncated),
            Answer::Head { status, .. } if !is_final(status) => {
                Err(ForwardError::InvalidStatus(status))
            }
            Answer::Refused { refusal, .. } if !is_final(refusal.status) => {
                Err(ForwardError::InvalidStatus(refusal.status))
            }
            Answer::Refused { refusal, load } => {
                self.load = Some(load);
                Err(ForwardError::Refused(refusal))
            }
            head @ Answer::Head { .. } => Ok(Some(AnswerEvent::Head(head))),
        }
    }
}

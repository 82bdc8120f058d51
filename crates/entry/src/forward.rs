//! One try of a request at one agent.

use std::time::Duration;

use apricothall_types::{Load, Member, Outcome, RequestId, Sequence};
use apricothall_wire::answer::RETRY_IMMEDIATELY;
use apricothall_wire::{
    Answer, AnswerFrame, Channel, Connector, Order, RUN_PATH, Refusal, TrafficClass, WireError,
};
use futures::{SinkExt, StreamExt};
use http::StatusCode;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::quarantine::Suspect;

/// Why a try has no whole answer.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// No byte of the order reached the agent.
    #[error("not sent: {0}")]
    Unsent(WireError),
    /// The agent refused.
    #[error("refused: {}", .0.detail)]
    Refused(Refusal),
    /// The connection was lost after the order may have arrived.
    #[error("lost: {0}")]
    Lost(WireError),
    /// A frame belongs to another answer or place.
    #[error("a frame is out of place")]
    Crossed,
    /// The pieces do not add up to the length stated at the end.
    #[error("the answer is not whole")]
    Truncated,
}

impl ForwardError {
    /// What the caller may conclude when nothing else is tried.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal.clone(),
            Self::Unsent(_) => self.as_refusal(Outcome::NotRun, 503),
            _ => self.as_refusal(Outcome::Unknown, 502),
        }
    }

    /// Whether the failure speaks against the agent or the way to it.
    #[must_use]
    pub fn is_fault(&self) -> bool {
        match self {
            Self::Refused(refusal) => {
                let late = refusal.status == StatusCode::GATEWAY_TIMEOUT;
                refusal.outcome != Outcome::NotRun && !late
            }
            _ => true,
        }
    }

    /// Whether the agent leaves, so that another one may be asked at once.
    #[must_use]
    pub fn is_elsewhere(&self) -> bool {
        matches!(self, Self::Refused(r) if r.retry == Some(RETRY_IMMEDIATELY))
    }

    /// Label for metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::Refused(_) => "refused",
            Self::Lost(WireError::Timeout) => "silent",
            Self::Lost(_) => "lost",
            Self::Crossed => "crossed",
            Self::Truncated => "truncated",
        }
    }

    /// Whether it is certain that the request was not run by this try.
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

/// A piece of an answer that is known to be in its place.
#[derive(Debug)]
pub enum Step {
    /// The backend server has accepted the request.
    Head(Answer),
    /// The next piece.
    Data(bytes::Bytes),
    /// The answer is whole.
    End(Load),
}

/// The answer of one agent to one order.
pub struct Attempt {
    channel: Channel<AnswerFrame, Order>,
    request: RequestId,
    due: Sequence,
    length: u64,
    load: Option<Load>,
    agent: Member,
    suspect: Option<Suspect>,
    placed: Option<(SmolStr, bool)>,
}

impl Attempt {
    /// Sends `order` to `agent`.
    ///
    /// # Errors
    /// [`ForwardError::Unsent`] when no byte was sent.
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
            due: Sequence(0),
            length: 0,
            load: None,
            agent: agent.clone(),
            suspect: None,
            placed: None,
        })
    }

    /// Notes crashes of the server under this request.
    pub fn watch(&mut self, suspect: Suspect) {
        self.suspect = Some(suspect);
    }

    /// Whether the server may have crashed under the request, as far as the connection tells.
    fn note_lost(&mut self) {
        if let (Some(suspect), Some((boot, alone))) = (&self.suspect, self.placed.take()) {
            suspect.lost(&self.agent, boot, alone);
        }
    }

    /// Takes the load that the agent reported since the last call.
    pub fn take_load(&mut self) -> Option<Load> {
        self.load.take()
    }

    /// The next step of the answer, signs of life left out.
    ///
    /// # Errors
    /// When the answer cannot become whole any more.
    pub async fn next(&mut self) -> Result<Step, ForwardError> {
        loop {
            if let Some(step) = self.step().await? {
                return Ok(step);
            }
        }
    }

    /// As [`Self::next`], but an agent that sends nothing at all for `silence` counts as lost.
    ///
    /// # Errors
    /// When the answer cannot become whole any more.
    pub async fn next_within(&mut self, silence: Duration) -> Result<Step, ForwardError> {
        loop {
            let step = tokio::time::timeout(silence, self.step()).await;
            let Ok(step) = step else {
                self.note_lost();
                return Err(ForwardError::Lost(WireError::Timeout));
            };
            if let Some(step) = step? {
                return Ok(step);
            }
        }
    }

    /// The next frame; none for a sign of life.
    async fn step(&mut self) -> Result<Option<Step>, ForwardError> {
        let frame = self.channel.next().await.unwrap_or(Err(WireError::Ended));
        let frame = frame.map_err(|error| {
            self.note_lost();
            ForwardError::Lost(error)
        })?;
        if frame.request != self.request || frame.sequence != self.due {
            metrics::counter!("apricothall_frames_crossed_total").increment(1);
            return Err(ForwardError::Crossed);
        }
        self.due = self.due.next();
        match frame.answer {
            Answer::Pending(load) => {
                self.load = Some(load);
                Ok(None)
            }
            Answer::Placed { boot, alone } => {
                self.placed = Some((boot, alone));
                Ok(None)
            }
            Answer::Crashed(record) => {
                if let Some(suspect) = &self.suspect {
                    suspect.crashed(record);
                }
                Ok(None)
            }
            Answer::Data(payload) => {
                self.length += payload.len() as u64;
                Ok(Some(Step::Data(payload.0)))
            }
            Answer::End { length, load } if length == self.length => {
                self.load = Some(load);
                Ok(Some(Step::End(load)))
            }
            Answer::End { .. } => Err(ForwardError::Truncated),
            Answer::Refused { refusal, load } => {
                self.load = Some(load);
                Err(ForwardError::Refused(refusal))
            }
            head @ Answer::Head { .. } => Ok(Some(Step::Head(head))),
        }
    }
}

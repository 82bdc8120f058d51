//! Frames in which an agent answers an order.

use std::time::Duration;

use apricothall_decide::quarantine::Record;
use apricothall_types::{Load, Outcome, RequestId, Sequence, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Header, Payload};

/// Value of [`Refusal::retry`] from a leaving agent: the entry may try another one immediately.
pub const RETRY_IMMEDIATELY: Duration = Duration::ZERO;

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// HTTP status for the caller.
    pub status: u16,
    /// Human-readable explanation.
    pub detail: SmolStr,
    /// Delay after which a retry may succeed, if it may at all.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Marks the refusal so that the entry tries another agent immediately.
    #[must_use]
    pub fn with_immediate_retry(self) -> Self {
        let retry = Some(RETRY_IMMEDIATELY);
        Self { retry, ..self }
    }
}

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The order is queued or running. Repeated while there is nothing else to send.
    Pending(Load),
    /// The request is about to be sent to a server. Lets the entry attribute a crash to it.
    Placed {
        /// Boot id of the server, which identifies one start of it.
        boot: SmolStr,
        /// Whether the server runs no other request.
        alone: bool,
    },
    /// The server crashed while the request ran. Carries the updated crash record.
    Crashed(Record),
    /// The backend server has accepted the request.
    Head {
        /// HTTP status of the backend server.
        status: u16,
        /// Forwarded headers.
        headers: Vec<Header>,
        /// Version that serves the request; models only.
        version: Option<Version>,
    },
    /// Part of the answer's body.
    Data(Payload),
    /// The answer is complete.
    End {
        /// Total length of the body in bytes.
        length: u64,
        /// Load of the agent after this request.
        load: Load,
    },
    /// There is no complete answer, and none will follow.
    Refused {
        /// Reason and outcome.
        refusal: Refusal,
        /// Load of the agent.
        load: Load,
    },
}

/// A step of an answer with its position in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// Id of the answered request.
    pub request: RequestId,
    /// Position in the stream, from 0.
    pub sequence: Sequence,
    /// The step.
    pub answer: Answer,
}

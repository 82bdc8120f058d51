//! What an agent answers to an order.

use std::time::Duration;

use apricothall_decide::quarantine::Record;
use apricothall_types::{Load, Outcome, RequestId, Sequence, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Header, Payload};

/// Value of [`Refusal::retry`] of an agent that leaves: another one may be asked at once.
pub const RETRY_IMMEDIATELY: Duration = Duration::ZERO;

/// Why a request has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// HTTP status for the caller.
    pub status: u16,
    /// Explanation for people.
    pub detail: SmolStr,
    /// When a later try may help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// The same refusal, by which the entry asks another agent at once.
    #[must_use]
    pub fn with_immediate_retry(self) -> Self {
        let retry = Some(RETRY_IMMEDIATELY);
        Self { retry, ..self }
    }
}

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The agent has the order, which waits or runs; sent again while nothing else is.
    Pending(Load),
    /// The request is about to be sent to a server, so that the entry can name a crash of it.
    Placed {
        /// Start of the server.
        boot: SmolStr,
        /// Whether the request runs alone.
        alone: bool,
    },
    /// The server crashed while the request ran: what is known of the request now.
    Crashed(Record),
    /// The backend server has accepted the request.
    Head {
        /// HTTP status of the backend server.
        status: u16,
        /// Headers passed on.
        headers: Vec<Header>,
        /// Version that answers; models only.
        version: Option<Version>,
    },
    /// A piece of the answer.
    Data(Payload),
    /// The answer is whole.
    End {
        /// Bytes of all pieces together.
        length: u64,
        /// Work at the agent after this request.
        load: Load,
    },
    /// There is no whole answer, and there will be none.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Work at the agent.
        load: Load,
    },
}

/// A step of an answer with its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// Request that is answered.
    pub request: RequestId,
    /// Position in the stream, from 0.
    pub sequence: Sequence,
    /// The step.
    pub answer: Answer,
}

//! What an entry asks of an agent.

use std::time::Duration;

use apricothall_types::{CallerId, Class, EntryName, RequestId, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Payload;

/// An HTTP header that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: SmolStr,
    /// Value.
    pub value: SmolStr,
}

/// The call to make at the backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A completion by an engine that serves `version`.
    Completion {
        /// Version that the request is pinned to.
        version: Version,
        /// Body of the completion call.
        body: Payload,
    },
    /// A call to a plain service.
    Service {
        /// HTTP method.
        method: SmolStr,
        /// Path and query at the service.
        path: SmolStr,
        /// Headers passed on.
        headers: Vec<Header>,
        /// Body.
        body: Payload,
    },
}

/// One request, sent once on its own stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the request.
    pub request: RequestId,
    /// Account that is charged.
    pub caller: CallerId,
    /// Catalogue entry.
    pub name: EntryName,
    /// Rank of the request.
    pub class: Class,
    /// Time left until the caller's deadline.
    pub budget: Duration,
    /// What to do.
    pub call: Call,
}

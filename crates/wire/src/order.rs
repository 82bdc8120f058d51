//! Orders that an entry sends to an agent.

use std::time::Duration;

use apricothall_decide::dedupe::{CallKey, Home};
use apricothall_decide::quarantine::Record;
use apricothall_types::{CallerId, Class, Digest, EntryName, RequestId, Version, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Payload;

/// A forwarded HTTP header.
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
        /// Forwarded headers.
        headers: Vec<Header>,
        /// Body.
        body: Payload,
    },
}

/// How a non-repeatable call was bound to the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Binding {
    /// By a ticket that names the home of the call.
    Ticket {
        /// The only daemon that may run the call.
        home: Home,
        /// Last time at which the ticket is accepted.
        expires: WallTime,
    },
    /// By its key alone; the agent obtains claims before it runs the call.
    Claims {
        /// Creation time encoded in the key, if any.
        created: Option<WallTime>,
    },
}

/// Parameters of a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceCall {
    /// Key of the call.
    pub key: CallKey,
    /// Digest of the call's content.
    pub fingerprint: Digest,
    /// How the call was bound to the agent.
    pub binding: Binding,
    /// Whether to return only a stored answer or tombstone and not to run the call.
    #[serde(rename = "ask")]
    pub lookup_only: bool,
}

/// One request, sent once on its own stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the request.
    pub request: RequestId,
    /// Client account that the request is charged to.
    pub caller: CallerId,
    /// Catalogue entry.
    pub name: EntryName,
    /// Priority class of the request.
    pub class: Class,
    /// Time left until the caller's deadline.
    pub budget: Duration,
    /// Wall-clock time at which the entry sent the order, used to detect a late one.
    pub sent: WallTime,
    /// Present for non-repeatable calls.
    pub once: Option<OnceCall>,
    /// Crash record of the request, if the entry has one.
    pub record: Option<Record>,
    /// The call to make.
    pub call: Call,
}

//! What an entry asks of an agent.

use std::time::Duration;

use apricothall_decide::dedupe::{CallKey, Home};
use apricothall_decide::quarantine::Record;
use apricothall_types::{CallerId, Class, Digest, EntryName, RequestId, Version, WallTime};
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

/// How a call that may not be repeated was bound to the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Binding {
    /// By a ticket that names its home.
    Ticket {
        /// The only daemon that may run the call.
        home: Home,
        /// Last time at which the ticket is accepted.
        expires: WallTime,
    },
    /// By its key alone: the agent obtains claims.
    Claims {
        /// Time of creation that the key holds, if any.
        created: Option<WallTime>,
    },
}

/// What a call that may not be repeated carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceCall {
    /// Names the call.
    pub key: CallKey,
    /// What the call asks for.
    pub fingerprint: Digest,
    /// How it was bound.
    pub binding: Binding,
    /// Whether only the answer or a tombstone is asked for, and not a run.
    pub ask: bool,
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
    /// Wall clock of the entry when it sent the order, by which a late one is recognized.
    pub sent: WallTime,
    /// Present for calls that may not be repeated.
    pub once: Option<OnceCall>,
    /// What the entry knows of a request that crashed servers.
    pub record: Option<Record>,
    /// What to do.
    pub call: Call,
}

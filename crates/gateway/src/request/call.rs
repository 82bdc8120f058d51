//! An admitted request.

use std::sync::Arc;

use apricothall_decide::patience::{
    ReadPause, answer_due, answer_pause, longest_pause, stream_pause,
};
use apricothall_decide::priorities::Rank;
use apricothall_decide::residency::AllowedRegions;
use apricothall_decide::routes::{Account, CallKind, Route};
use apricothall_types::{ConfigurationRevision, Digest, PromptPart, Timestamp, TokenCount};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use smol_str::{SmolStr, ToSmolStr};

use crate::model::EngineService;

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the caller's attempt, for logs.
    pub id: SmolStr,
    /// Id of the caller's attempt, as received.
    pub attempt: HeaderValue,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<Route>,
    /// Service to which it is forwarded.
    pub service: SmolStr,
    /// Engine settings, if it is a service of engines.
    pub engines: Option<EngineService>,
    /// Client account.
    pub account: Option<Arc<Account>>,
    /// Revision of the configuration by which it was admitted.
    pub configuration: ConfigurationRevision,
    /// Regions in which it may be processed.
    pub regions: AllowedRegions,
    /// When the request arrived.
    pub arrival: Timestamp,
    /// When the final response is due.
    pub deadline: Timestamp,
    /// Whether the request is a retry after a refusal or failure.
    pub returning: bool,
    /// Number of prompt tokens.
    pub prompt: f64,
    /// Tokens that it may need in the memory of an engine, prompt and answer.
    pub tokens: TokenCount,
    /// Rank of its priority among those of the service.
    pub rank: Rank,
    /// Digest that is equal for all attempts of the same request.
    pub fingerprint: Digest,
    /// Parts of the prompt that other requests may share.
    pub parts: Arc<[PromptPart]>,
    /// Id of the last event that the caller received.
    pub resume: Option<u64>,
}

impl Call {
    /// Priority of the request; 0 is highest.
    #[must_use]
    pub fn priority(&self) -> u8 {
        request_priority(&self.route, self.account.as_deref())
    }

    /// Whether the response is a stream of events that may be resumed at another server.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.route.kind == CallKind::Stream
    }

    /// How long the caller may take nothing of the answer.
    #[must_use]
    pub fn read_pause(&self) -> ReadPause {
        if self.is_stream() {
            return stream_pause(longest_pause(self.route.target, self.route.gap));
        }
        answer_pause(self.deadline.since(self.arrival))
    }

    /// When the response must begin. The caller of a stream leaves earlier than its deadline if no
    /// event arrives.
    #[must_use]
    pub fn first_due(&self) -> Timestamp {
        if !self.is_stream() {
            return self.deadline;
        }
        let due = answer_due(self.arrival, self.route.target, self.route.gap);
        self.deadline.min(due)
    }
}

/// Priority of a request; 0 is highest.
pub(super) fn request_priority(route: &Route, account: Option<&Account>) -> u8 {
    account.and_then(|a| a.priority).unwrap_or(route.priority)
}

/// Ids of prompt parts for a log line.
#[must_use]
pub fn logged_parts(parts: &[PromptPart]) -> SmolStr {
    let shown: Vec<_> = parts.iter().take(MAX_LOGGED_PARTS).collect();
    let ids: Vec<_> = shown.iter().map(|p| p.id.as_str()).collect();
    ids.join(",").to_smolstr()
}

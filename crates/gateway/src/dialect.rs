//! Interface between the daemon and the API of a platform.
//!
//! A [`Dialect`] describes the names and formats of one platform as plain data and functions,
//! without any decisions. The package in `platform/` provides it.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::layers::LayerRange;
use apricothall_decide::servers::Server;
pub use apricothall_decide::store_reachability::Subject;
use apricothall_decide::token_memory::MemoryReport;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{Era, MemberId, PartId, StoreRevision, TokenCount, Zone};
use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use smol_str::SmolStr;
use thiserror::Error;

use crate::model::Configuration;

/// Data from the platform could not be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct DialectError(pub SmolStr);

/// API of one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header names.
    pub headers: Headers,
    /// Parts of a prompt that a request may share with others.
    pub read_parts: fn(&HeaderMap) -> Vec<PartId>,
    /// Numbers of tokens, if a request states them.
    pub read_usage: fn(&HeaderMap) -> Result<Option<StatedTokens>, DialectError>,
    /// Calls to the platform's store.
    pub store: StoreCalls,
    /// Calls to model engines.
    pub engine: EngineCalls,
    /// Calls to the origin of weights.
    pub origin: OriginCalls,
    /// Endpoints called by callers and by the platform.
    pub directory: DirectoryCalls,
}

/// Header names.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of the caller's attempt.
    pub attempt: HeaderName,
    /// Remaining time of the sender, in milliseconds.
    pub deadline: HeaderName,
    /// Id of the last event that the caller received.
    pub resume: HeaderName,
    /// Set by a server on the responses that it generates itself; required on successful ones.
    pub seal: HeaderName,
    /// Name of the client account, sent to servers.
    pub account: HeaderName,
    /// Id of the only server that may run the request.
    pub server: HeaderName,
    /// Set by a server that did not run the request.
    pub not_run: HeaderName,
    /// Set by a server that is shutting down.
    pub leaving: HeaderName,
    /// Requests per second that a server accepts from all entries together.
    pub limit: HeaderName,
    /// Admission order at an engine; 0 is admitted first.
    pub urgency: HeaderName,
    /// Version of weights that the request must run on.
    pub version: HeaderName,
    /// API key of the client account.
    pub key: HeaderName,
    /// Era of the store, set on its answers.
    pub era: HeaderName,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: SmolStr,
    /// Its raw value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A page of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items ordered by key.
    pub items: Vec<Item>,
    /// Whether there are more pages.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: StoreRevision,
}

/// A change in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// An item was removed.
    Removed {
        /// Key of the item.
        key: SmolStr,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

impl Change {
    /// Revision of the change.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision from which to continue.
    pub revision: StoreRevision,
}

/// Parsed content of a store item.
#[derive(Clone, Debug)]
pub enum Fact {
    /// The latest configuration.
    Configuration(Box<Configuration>),
    /// The latest version of a model.
    Version {
        /// Name of the model.
        model: SmolStr,
        /// Its version.
        version: u64,
    },
    /// A backend server.
    Server(Server),
    /// An item that this daemon does not use.
    Other,
}

/// Calls to the store.
#[derive(Clone, Debug)]
pub struct StoreCalls {
    /// Path of a list request, starting after a key.
    pub list: fn(Subject, Option<&str>) -> String,
    /// Path of a long-poll request for changes after a revision.
    pub watch: fn(Subject, StoreRevision, Duration) -> String,
    /// Parses a list response of an era.
    pub read_list: fn(Era, &[u8]) -> Result<Page, DialectError>,
    /// Parses a changes response of an era.
    pub read_changes: fn(Era, &[u8]) -> Result<Changes, DialectError>,
    /// Parses an item.
    pub read_item: fn(&Item) -> Result<Fact, DialectError>,
    /// Whether the item with this key is the configuration.
    pub is_configuration: fn(&str) -> bool,
    /// Id of the server whose entry has this key.
    pub server_of: fn(&str) -> Option<MemberId>,
    /// Zone that is evacuated while an item with this key exists.
    pub evacuated_zone: fn(&str) -> Option<Zone>,
}

/// Numbers of tokens that a request states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedTokens {
    /// Tokens of its prompt.
    pub prompt: TokenCount,
    /// Maximum tokens of its answer, if it states them.
    pub answer: Option<TokenCount>,
}

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Model versions whose layers are all loaded.
    pub loaded: Vec<(SmolStr, u64)>,
    /// Layers that it holds, if it tells.
    pub layers: Option<LayerRange>,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of load orders accepted since the engine started.
    pub orders: u64,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Slowdown factor compared with the published timing.
    pub pace: f64,
    /// Memory for the tokens of requests, if it tells.
    pub memory: Option<MemoryReport>,
    /// Start time of the engine, in ms since the Unix epoch.
    pub born: u64,
}

/// An order to load a version of a model after running requests have ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// The version.
    pub version: u64,
    /// It takes effect only if the engine has accepted exactly this number of orders before.
    pub orders: u64,
    /// Layers to hold; all if `None`. Others are given up.
    pub layers: Option<LayerRange>,
}

/// Calls to model engines.
#[derive(Clone, Debug)]
pub struct EngineCalls {
    /// Path of the status report.
    pub report: &'static str,
    /// Parses a status report.
    pub read_report: fn(&[u8]) -> Result<EngineReport, DialectError>,
    /// Path of a load order, which is a `POST` of [`EngineCalls::load_order`].
    pub order: &'static str,
    /// Body of a load order.
    pub load_order: fn(&LoadOrder<'_>) -> Bytes,
    /// Path for uploading one staged piece of a model.
    pub put_piece: fn(&str, u32) -> String,
    /// Path for downloading one staged piece of a model.
    pub get_piece: fn(&str, u32) -> String,
    /// Path of the list of staged pieces of a model.
    pub list_pieces: fn(&str) -> String,
    /// Parses the list of staged pieces.
    pub read_pieces: fn(&[u8]) -> Result<ChunkSet, DialectError>,
}

/// Digests of the pieces of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceDigests {
    /// Version of the model.
    pub version: u64,
    /// SHA-256 digest of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// Calls to the origin of weights.
#[derive(Clone, Debug)]
pub struct OriginCalls {
    /// Path of the digests of a version.
    pub manifest: fn(&str, u64) -> String,
    /// Parses the digests.
    pub read_manifest: fn(&[u8]) -> Result<PieceDigests, DialectError>,
    /// Path of one piece of a version.
    pub piece: fn(&str, u64, u32) -> String,
}

/// Location of a caller, and the host that it wants to reach.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Its availability zone.
    pub zone: Option<SmolStr>,
    /// Its region.
    pub region: Option<SmolStr>,
    /// The host.
    pub host: Option<SmolStr>,
}

/// Endpoints called by callers and by the platform.
#[derive(Clone, Debug)]
pub struct DirectoryCalls {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Path of the entry discovery request.
    pub entries: &'static str,
    /// Parses the query of an entry discovery request.
    pub read_location: fn(&str) -> CallerLocation,
    /// Body of an entry discovery response: addresses, and the seconds for which they may be
    /// cached.
    pub write_entries: fn(&[SocketAddr], u64) -> Bytes,
}

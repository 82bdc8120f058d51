//! The line between the product and a platform's way of talking.
//!
//! A [`Dialect`] holds the names and forms of one platform as plain data and functions. It
//! decides nothing. The package in `platform/` fills it in.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::servers::Server;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{MemberId, Revision};
use bytes::Bytes;
use http::HeaderName;
use smol_str::SmolStr;
use thiserror::Error;

use crate::model::Configuration;

/// Something from the platform could not be understood.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct DialectError(pub SmolStr);

/// How one platform talks.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of headers.
    pub headers: Headers,
    /// Calls to the platform's store.
    pub store: StoreCalls,
    /// Calls to model engines.
    pub engine: EngineCalls,
    /// Calls to the origin of weights.
    pub origin: OriginCalls,
    /// Calls that callers and the platform make.
    pub directory: DirectoryCalls,
}

/// Names of headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of one attempt of a caller.
    pub attempt: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline: HeaderName,
    /// Id of the last event that the caller has.
    pub resume: HeaderName,
    /// A server's mark on its own answer.
    pub seal: HeaderName,
    /// Name of the client account, for servers.
    pub account: HeaderName,
    /// Id of the only server that may run the request.
    pub server: HeaderName,
    /// A server's word that it did not run the request.
    pub not_run: HeaderName,
    /// A server's word that it is leaving.
    pub leaving: HeaderName,
    /// Order of admission at an engine, 0 first.
    pub urgency: HeaderName,
    /// Version of weights that the request must run on.
    pub version: HeaderName,
    /// Key of the client account.
    pub key: HeaderName,
    /// Tokens of the prompt, and most tokens of the answer.
    pub usage: HeaderName,
}

/// Which part of the store is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// What operators write: configuration and versions.
    Operators,
    /// Entries of backend servers.
    Servers,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: SmolStr,
    /// Value as written.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
}

/// A page of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: Revision,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// An item was removed.
    Removed {
        /// Its key.
        key: SmolStr,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Its revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision to go on from.
    pub revision: Revision,
}

/// What an item of the store says.
#[derive(Clone, Debug)]
pub enum Fact {
    /// The newest configuration.
    Configuration(Configuration),
    /// The newest version of a model.
    Version {
        /// The model.
        model: SmolStr,
        /// Its version.
        version: u64,
    },
    /// A backend server.
    Server(Server),
    /// Nothing of interest here.
    Other,
}

/// Calls to the store.
#[derive(Clone, Debug)]
pub struct StoreCalls {
    /// Path of a list, after a key.
    pub list: fn(Subject, Option<&str>) -> String,
    /// Path of a wait for changes after a revision.
    pub watch: fn(Subject, Revision, Duration) -> String,
    /// Reads a list.
    pub read_list: fn(&[u8]) -> Result<Page, DialectError>,
    /// Reads changes.
    pub read_changes: fn(&[u8]) -> Result<Changes, DialectError>,
    /// What an item says.
    pub read_item: fn(&Item) -> Result<Fact, DialectError>,
    /// The server whose entry has this key.
    pub server_of: fn(&str) -> Option<MemberId>,
}

/// An engine's own report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Model versions whose layers are all loaded.
    pub loaded: Vec<(SmolStr, u64)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted in this life.
    pub orders: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// How many times slower than published it is.
    pub pace: f64,
    /// Start of its present life, in ms since the Unix epoch.
    pub born: u64,
}

/// Calls to model engines.
#[derive(Clone, Debug)]
pub struct EngineCalls {
    /// Path of the report.
    pub report: &'static str,
    /// Reads a report.
    pub read_report: fn(&[u8]) -> Result<EngineReport, DialectError>,
    /// Path of the order, which is a `POST` of [`EngineCalls::load_order`].
    pub order: &'static str,
    /// Body of the order to load a version of a model once running requests have ended, if the
    /// engine has accepted just so many orders before.
    pub load_order: fn(&str, u64, u64) -> Bytes,
    /// Path to put or get one staged piece of a model.
    pub put_piece: fn(&str, u32) -> String,
    /// Path to get one staged piece of a model.
    pub get_piece: fn(&str, u32) -> String,
    /// Path of the list of staged pieces of a model.
    pub list_pieces: fn(&str) -> String,
    /// Reads the list of staged pieces.
    pub read_pieces: fn(&[u8]) -> Result<ChunkSet, DialectError>,
}

/// Digests of the pieces of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceDigests {
    /// Version of the model.
    pub version: u64,
    /// SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// Calls to the origin of weights.
#[derive(Clone, Debug)]
pub struct OriginCalls {
    /// Path of the digests of a version.
    pub manifest: fn(&str, u64) -> String,
    /// Reads the digests.
    pub read_manifest: fn(&[u8]) -> Result<PieceDigests, DialectError>,
    /// Path of one piece of a version.
    pub piece: fn(&str, u64, u32) -> String,
}

/// Where a caller asks from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Its availability zone.
    pub zone: Option<SmolStr>,
    /// Its region.
    pub region: Option<SmolStr>,
}

/// Calls that callers and the platform make.
#[derive(Clone, Debug)]
pub struct DirectoryCalls {
    /// Path of the question whether this entry takes callers.
    pub ready: &'static str,
    /// Path of the question which entries to use.
    pub entries: &'static str,
    /// Reads the query of that question.
    pub read_location: fn(&str) -> CallerLocation,
    /// Body of its answer: addresses and the seconds to keep them.
    pub write_entries: fn(&[SocketAddr], u64) -> Bytes,
}

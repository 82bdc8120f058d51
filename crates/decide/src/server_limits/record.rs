//! What entries tell each other of the limit of a server.

use std::cmp::Reverse;
use std::fmt;
use std::time::Duration;

use apricothall_types::{MemberId, Quota, Sequence, Timestamp, WallTime, Zone};
use serde::{Deserialize, Serialize};

use super::share::Place;

/// The limit of a server, as one entry tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// Id of the server.
    pub server: MemberId,
    /// Start of the server process.
    pub born: WallTime,
    /// Availability zone of the server's VM.
    pub zone: Zone,
    /// Requests per second from all entries together; `None` once the limit has ended.
    pub limit: Option<Quota>,
    /// Grows with each answer that an entry has taken into account.
    pub version: Sequence,
    /// Number of latest answers without the limit.
    pub clean: u8,
    /// Time since the latest of these answers, in ms.
    pub age: u64,
}

/// How an entry learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From an answer of the server.
    Answer,
    /// From another entry.
    Peer,
    /// From what shows that a server is cold.
    Cold(ColdSource),
}

/// What shows that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// Its entry in the store.
    Entry,
    /// Its start.
    Start,
    /// The end of the evacuation of its zone.
    Evacuation,
}

/// A server that became cold, or whose limit was lifted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Id of the server.
    pub server: MemberId,
    /// Limit from now on; `None` if it was lifted.
    pub limit: Option<Quota>,
    /// What shows that it is, or was, cold.
    pub source: ColdSource,
    /// Time since that was seen.
    pub age: Duration,
    /// Time until it is no longer cold.
    pub left: Duration,
}

/// A server process, in terms of limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLife {
    /// Id of the server.
    pub id: MemberId,
    /// Start of the server process.
    pub born: WallTime,
    /// Location of its VM.
    pub place: Place,
}

/// A limit that became known, changed or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Id of the server.
    pub server: MemberId,
    /// Limit before, if there was one.
    pub before: Option<Quota>,
    /// Limit from now on; `None` if it has ended.
    pub limit: Option<Quota>,
    /// Who told it.
    pub source: Source,
    /// Age of the answer that told it.
    pub age: Duration,
}

/// An entry began or ceased to send to a limited server, or sends at another rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareChange {
    /// Id of the server.
    pub server: MemberId,
    /// Rate before, if it sent.
    pub before: Option<Quota>,
    /// Rate from now on; `None` if other entries send.
    pub share: Option<Quota>,
}

/// Why a server was passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassedOver {
    /// Id of the server.
    pub server: MemberId,
    /// Its limit.
    pub limit: Quota,
    /// Rate that this entry uses of it; `None` if other entries send to the server.
    pub share: Option<Quota>,
    /// Requests that this entry has sent to the server in the last window of its limit.
    pub taken: usize,
    /// Who told the limit.
    pub source: Source,
    /// Age of what told it.
    pub age: Duration,
    /// Time until the server takes another request, from this entry or another one.
    pub wait: Duration,
}

impl fmt::Display for PassedOver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            server,
            limit,
            share,
            taken,
            source,
            age,
            wait: _,
        } = self;
        let age = age.as_millis();
        let share = share.unwrap_or_default();
        write!(
            f,
            "{server}: limit {limit}, share {share}, taken {taken}, {source:?} {age} ms ago"
        )
    }
}

/// What is known of the limit of a server, in an order that is the same at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// See [`LimitRecord::version`].
    pub version: Sequence,
    /// See [`LimitRecord::limit`].
    pub limit: Option<Quota>,
    /// See [`LimitRecord::clean`].
    pub clean: u8,
    /// Time of the latest answer that counted, by the clock of this entry.
    pub observed: Timestamp,
    /// Who told it.
    pub source: Source,
}

impl Knowledge {
    /// Whether this takes precedence over `other`: the larger version, and of equal ones the
    /// stricter.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |k: &Self| {
            let limit = k.limit.map_or(u64::MAX, |limit| limit.0);
            (k.version, Reverse(limit), Reverse(k.clean))
        };
        key(self) > key(other)
    }
}

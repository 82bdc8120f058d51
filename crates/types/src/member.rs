//! Membership records that daemons exchange about themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{EntryName, Incarnation, MemberId, Region, Revision, Sequence, Version, Zone};

/// The text is not a role.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a role is entry or agent")]
pub struct RoleError;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers on an entry VM.
    Entry,
    /// Serves the backend servers of its VM.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        })
    }
}

impl FromStr for Role {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            _ => Err(RoleError),
        }
    }
}

/// Membership state of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Running and accepting new work.
    Alive,
    /// Completing its running work and accepting no new work.
    Leaving,
    /// Stopped, or silent for longer than the failure timeout.
    Gone,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// State of a version on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldingState {
    /// Some chunks are held.
    Partial,
    /// All chunks are held and verified.
    Complete,
    /// A planned reload with it is in progress on an engine that served before.
    Loading,
    /// The engines report that they serve it.
    Serving,
}

impl fmt::Display for HoldingState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Partial => "partial",
            Self::Complete => "complete",
            Self::Loading => "loading",
            Self::Serving => "serving",
        })
    }
}

/// A version that a member holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Catalogue entry.
    pub name: EntryName,
    /// Version of the entry; the entry's current one for a plain service.
    pub version: Version,
    /// State of the version.
    pub state: HoldingState,
}

/// Load of the backend servers of one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests queued at the agent.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// A member's record of itself. Only the member itself raises `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the member.
    pub id: MemberId,
    /// Start of the daemon that this record describes.
    pub incarnation: Incarnation,
    /// Version of the record within the incarnation.
    pub sequence: Sequence,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for callers; entries only.
    pub public: Option<SocketAddr>,
    /// Role of the member.
    pub role: Role,
    /// Region of the VM.
    pub region: Region,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Membership state.
    pub state: MemberState,
    /// Revision of the catalogue in force at the member.
    pub revision: Revision,
    /// Versions held; agents only.
    pub holdings: Vec<Holding>,
}

impl Member {
    /// Whether this record replaces `other` of the same id.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Whether the member accepts new work.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether the member's engines serve `version` of `name`.
    #[must_use]
    pub fn serves(&self, name: &EntryName, version: &Version) -> bool {
        self.holdings
            .iter()
            .any(|h| h.state == HoldingState::Serving && h.name == *name && h.version == *version)
    }
}

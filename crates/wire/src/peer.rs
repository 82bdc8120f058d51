//! Plain calls between daemons.

use apricothall_decide::claims::{Ask, Reply};
use apricothall_decide::membership::GossipMessage;
use apricothall_types::{EntryName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A value of the platform that spreads between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The catalogue, from the configuration service.
    Catalogue,
    /// The VM list.
    Vms,
}

/// A value with the revision under which it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Revision of the text.
    pub revision: Revision,
    /// Text as published.
    pub text: SmolStr,
}

/// Calls that each daemon answers.
#[tarpc::service]
pub trait Peer {
    /// One exchange of gossip.
    async fn exchange(message: GossipMessage) -> GossipMessage;
    /// The value of a subject that is in force.
    async fn published(subject: Subject) -> Option<Published>;
    /// A claim on a key of a catalogue entry; no answer from a daemon outside its pool.
    async fn claim(name: EntryName, ask: Ask) -> Option<Reply>;
}

//! RPCs between daemons.

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_decide::delta::Patch;
use apricothall_decide::membership::GossipMessage;
use apricothall_types::{Digest, EntryName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A platform value that daemons pass on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The catalogue, from the configuration service.
    Catalogue,
    /// The VM list.
    Vms,
}

/// A published text, in full or as a patch of one that the other daemon has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedText {
    /// The full text.
    Whole(SmolStr),
    /// Patch of the text that was given as the base.
    Patch(Patch),
}

/// A value with the revision under which it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Revision of the text.
    pub revision: Revision,
    /// The text.
    pub text: PublishedText,
}

/// RPCs that each daemon serves.
#[tarpc::service]
pub trait Peer {
    /// One exchange of gossip.
    async fn exchange(message: GossipMessage) -> GossipMessage;
    /// Returns the value in force; `base` is the digest of the requester's text, if it has one.
    async fn published(subject: Subject, base: Option<Digest>) -> Option<Published>;
    /// Claims a key of a catalogue entry. A daemon outside the entry's pool returns `None`.
    async fn claim(name: EntryName, ask: ClaimRequest) -> Option<ClaimReply>;
}

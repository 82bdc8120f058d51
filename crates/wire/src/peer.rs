//! Plain calls between daemons.

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_decide::delta::Patch;
use apricothall_decide::membership::GossipMessage;
use apricothall_types::{Digest, EntryName, Revision};
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

/// A text as published, whole or as a change of one that the other daemon has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedText {
    /// The text.
    Whole(SmolStr),
    /// How to make it from the text that was named as the base.
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

/// Calls that each daemon answers.
#[tarpc::service]
pub trait Peer {
    /// One exchange of gossip.
    async fn exchange(message: GossipMessage) -> GossipMessage;
    /// The value of a subject that is in force; `base` is the digest of the asker's text, if any.
    async fn published(subject: Subject, base: Option<Digest>) -> Option<Published>;
    /// A claim on a key of a catalogue entry; no answer from a daemon outside its pool.
    async fn claim(name: EntryName, ask: ClaimRequest) -> Option<ClaimReply>;
}

//! Plain calls between daemons.

use apricothall_types::{Member, Revision, VmList};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A catalogue with the revision under which it was published.
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
    /// Exchanges what both sides know of members.
    async fn exchange(members: Vec<Member>) -> Vec<Member>;
    /// The catalogue in force.
    async fn catalogue() -> Option<Published>;
    /// The newest VM list seen.
    async fn vms() -> Option<VmList>;
}

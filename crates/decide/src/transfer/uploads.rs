//! Which requests for chunks an agent serves at once.

use std::time::Duration;

use apricothall_types::MemberId;

use crate::configs::TransferConfig;

/// Chunks being uploaded to peers.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    active: Vec<MemberId>,
}

/// Answer to a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Send the chunk, then call [`Uploads::release`].
    Granted,
    /// Refused; the peer may come back after this time.
    Busy(Duration),
}

impl Uploads {
    /// Takes a slot for `peer`. `is_far` tells that it is in another region; `typical` is the
    /// usual time of one upload.
    ///
    /// A chunk that crosses regions goes on to many agents, so the last slots are kept for these.
    pub fn request(
        &mut self,
        config: &TransferConfig,
        peer: &MemberId,
        is_far: bool,
        typical: Duration,
    ) -> Slot {
        let of_peer = self.active.iter().filter(|id| *id == peer).count();
        let reserved = if is_far { 0 } else { config.far_slots };
        if self.active.len() + reserved >= config.slots || of_peer >= config.peer_slots {
            return Slot::Busy(typical);
        }
        self.active.push(peer.clone());
        Slot::Granted
    }

    /// Frees a slot of `peer` after an upload has ended or failed.
    pub fn release(&mut self, peer: &MemberId) {
        if let Some(at) = self.active.iter().position(|id| id == peer) {
            self.active.swap_remove(at);
        }
    }
}

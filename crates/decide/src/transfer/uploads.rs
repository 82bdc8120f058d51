//! Limits on concurrent chunk uploads to peers.

use std::time::Duration;

use apricothall_types::MemberId;

use crate::configs::TransferConfig;

/// Uploads in progress, one entry per occupied slot.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    active: Vec<MemberId>,
}

/// Answer to a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// Send the chunk, then call [`Uploads::release`].
    Granted,
    /// No slot is free. The peer may retry after this time.
    Busy(Duration),
}

impl Uploads {
    /// Requests an upload slot for `peer`. `is_far` is true if the peer is in another region, and
    /// `typical` is the average duration of an upload.
    ///
    /// The last slots are reserved for peers in other regions, because a chunk that crosses
    /// regions is passed on to many agents.
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

    /// Releases a slot of `peer` after an upload has finished or failed.
    pub fn release(&mut self, peer: &MemberId) {
        if let Some(at) = self.active.iter().position(|id| id == peer) {
            self.active.swap_remove(at);
        }
    }
}

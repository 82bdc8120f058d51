//! Selection of the peers to request bitmaps from.

use apricothall_types::{ChunkIndex, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::Transfer;
use super::fetch::Action;
use crate::configs::TransferStrategy;

impl Transfer {
    /// Requests bitmaps from owners of missing chunks, in this region and the store's, and from
    /// random peers.
    pub(super) fn plan_bitmap_requests(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let is_due = now.since(self.last_asked) >= self.config.ask_every.0;
        if !is_due || self.config.strategy == TransferStrategy::Origin {
            return;
        }
        self.last_asked = now;
        let mut targets: Vec<_> = self
            .bitmap_targets(now)
            .into_iter()
            .choose_multiple(rng, self.config.fanout);
        let region = &self.view.me.region;
        let is_stalled = self.is_stalled(now);
        let useful = |at: &usize| is_stalled || self.peers[*at].peer.region == *region;
        let random = (0..self.peers.len()).filter(useful);
        targets.extend(random.choose_multiple(rng, self.config.fanout));
        targets.sort_unstable();
        targets.dedup();
        let ids = targets.into_iter().map(|at| self.peers[at].peer.id.clone());
        actions.extend(ids.map(Action::RequestBitmap));
    }

    /// Returns the peers whose bitmaps determine whether this agent must fetch a chunk from
    /// outside its region, or from which peer.
    fn bitmap_targets(&self, now: Timestamp) -> Vec<usize> {
        let unseen = (0..self.count())
            .map(ChunkIndex)
            .filter(|c| self.is_missing(*c) && self.counts[c.0 as usize] == 0);
        let mut found: Vec<_> = unseen.filter_map(|c| self.bitmap_target(c, now)).collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    fn bitmap_target(&self, chunk: ChunkIndex, now: Timestamp) -> Option<usize> {
        let at = chunk.0 as usize;
        let Some((last_progress, wait)) = self.takeover_wait(chunk) else {
            return self.home_owners[at].as_ref().and_then(|id| self.index(id));
        };
        let is_half_overdue = now.since(last_progress) * 2 > wait;
        is_half_overdue.then(|| self.index(&self.gateways[at].owner))?
    }
}

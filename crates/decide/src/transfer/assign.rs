//! Assignment of chunks to the agents that fetch them from outside their region.

use apricothall_types::{ChunkIndex, MemberId, Timestamp};

use super::Transfer;
use super::pace::Pacer;
use super::peers::{gateway, subject};
use crate::configs::TransferStrategy;

impl Transfer {
    /// Computes the owner of each chunk in this region and in the store's region.
    pub(super) fn assign(&mut self, now: Timestamp) {
        let count = self.count();
        let me = &self.view.me;
        let near = || self.peers.iter().filter(|p| p.peer.region == me.region);
        let home_peers = || {
            self.peers
                .iter()
                .filter(|p| p.peer.region == self.view.home)
        };
        let home_owner = |s: &[u8]| {
            let first = &home_peers().next()?.peer.id;
            let rest = home_peers().map(|p| &p.peer.id);
            Some(gateway(s, first, rest.filter(|id| *id != first)).owner)
        };
        let subjects: Vec<_> = (0..count).map(|c| self.subject(ChunkIndex(c))).collect();
        let gateways: Vec<_> = subjects
            .iter()
            .map(|s| gateway(s, &me.id, near().map(|p| &p.peer.id)))
            .collect();
        let home_owners = subjects
            .iter()
            .map(|s| if self.is_home() { None } else { home_owner(s) })
            .collect();
        let holders = |c| near().filter(|p| p.held.contains(ChunkIndex(c))).count();
        let counts = (0..count)
            .map(|c| u32::try_from(holders(c)).unwrap_or(u32::MAX))
            .collect();
        let owned = |id: &MemberId| gateways.iter().filter(|g| g.owner == *id).count();
        let owned_count = |id: &MemberId| u32::try_from(owned(id)).unwrap_or(u32::MAX);
        let own_count = owned_count(&me.id);
        let shares: Vec<_> = self.peers.iter().map(|p| owned_count(&p.peer.id)).collect();
        for (peer, share) in self.peers.iter_mut().zip(shares) {
            peer.owned = share;
            peer.last_progress = now;
        }
        self.owned = own_count;
        self.gateways = gateways;
        self.home_owners = home_owners;
        self.counts = counts;
    }

    /// Spreads the first outside fetches of a region's agents over one interval.
    pub(super) fn stagger(&mut self, now: Timestamp) {
        let me = &self.view.me;
        let near = self.peers.iter().filter(|p| p.peer.region == me.region);
        let (before, after): (Vec<_>, Vec<_>) = near.partition(|p| p.peer.id < me.id);
        let total = u32::try_from(before.len() + after.len() + 1).unwrap_or(u32::MAX);
        let position = u32::try_from(before.len()).unwrap_or(0);
        self.pacer = Pacer::new(now + self.outside_interval(self.owned) / total * position);
    }

    fn subject(&self, chunk: ChunkIndex) -> Vec<u8> {
        match self.config.strategy {
            TransferStrategy::Chain => self.version.0.to_vec(),
            TransferStrategy::Origin | TransferStrategy::Ranked => subject(&self.version.0, chunk),
        }
    }
}

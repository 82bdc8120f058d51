//! Decides whether this agent fetches a chunk from outside the region, and from which source.

use std::time::Duration;

use apricothall_types::{ChunkIndex, Timestamp, TransferObjective};
use rand::Rng;

use super::Transfer;
use super::fetch::Source;
use super::peers::PeerState;
use crate::configs::TransferStrategy;

/// Number of fetch intervals that an owner may miss before its chunks are taken over.
const SLACK_INTERVALS: u32 = 2;
/// Number of take-over delays without a new chunk after which an agent also uses sources that are
/// normally reserved for other agents.
const STALL_DELAYS: u32 = 5;

impl Transfer {
    /// Returns whether this agent must fetch a missing chunk from outside the region now.
    pub(super) fn should_fetch_outside(&self, chunk: ChunkIndex, now: Timestamp) -> bool {
        if self.config.strategy == TransferStrategy::Origin {
            return true;
        }
        let rank = self.gateways[chunk.0 as usize].rank;
        if now.since(self.last_chunk) > self.takeover() * (STALL_DELAYS + rank) {
            return true;
        }
        let is_overdue = self
            .takeover_wait(chunk)
            .is_none_or(|(last_progress, wait)| now.since(last_progress) > wait);
        is_overdue && !self.has_near_holder(chunk, now)
    }

    /// Returns whether no new chunk has arrived for so long that peers are no longer relied on.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        now.since(self.last_chunk) > self.takeover() * STALL_DELAYS
    }

    /// Returns whether a usable peer of the region is known to hold the chunk.
    fn has_near_holder(&self, chunk: ChunkIndex, now: Timestamp) -> bool {
        let region = &self.view.me.region;
        let is_usable =
            |p: &PeerState| p.retry_at <= now + self.takeover() && p.held.contains(chunk);
        self.counts[chunk.0 as usize] > 0
            && self
                .peers
                .iter()
                .any(|p| p.peer.region == *region && is_usable(p))
    }

    pub(super) fn takeover(&self) -> Duration {
        match self.weighting {
            TransferObjective::Bytes => self.config.takeover.0,
            TransferObjective::Time => self.config.hasty_takeover.0,
        }
    }

    /// Returns the last progress of the chunk's owner and how long to wait after it, or `None` if
    /// this agent owns the chunk.
    pub(super) fn takeover_wait(&self, chunk: ChunkIndex) -> Option<(Timestamp, Duration)> {
        let gateway = &self.gateways[chunk.0 as usize];
        if gateway.rank == 0 {
            return None;
        }
        let owner = &self.peers[self.index(&gateway.owner)?];
        let slack = self.outside_interval(owner.owned) * SLACK_INTERVALS;
        Some((owner.last_progress, slack + self.takeover() * gateway.rank))
    }

    pub(super) fn outside_source(
        &self,
        chunk: ChunkIndex,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Source> {
        let is_direct = self.is_home() || self.config.strategy == TransferStrategy::Origin;
        if is_direct {
            return self.direct_source(chunk, now);
        }
        let home_peers = |p: &&PeerState| p.peer.region == self.view.home;
        let usable = |p: &&PeerState| p.retry_at <= now && p.held.contains(chunk);
        let has_no_home_peers = !self.peers.iter().any(|p| home_peers(&p));
        if (self.is_stalled(now) || has_no_home_peers)
            && let Some(direct) = self.direct_source(chunk, now)
        {
            return Some(direct);
        }
        let holders = self.peers.iter().filter(home_peers).filter(usable);
        let cheapest = holders.min_by_key(|p| self.jittered_cost(p, rng))?;
        Some(Source::Peer(cheapest.peer.id.clone()))
    }

    /// Returns the store or the origin. Both are used in parallel, odd chunks from the origin, if
    /// the weighting favours time.
    fn direct_source(&self, chunk: ChunkIndex, now: Timestamp) -> Option<Source> {
        let is_odd = chunk.0 % 2 == 1;
        let origin_first = self.weighting == TransferObjective::Time && is_odd;
        let store = (Source::Store, self.store.retry_at);
        let origin = (Source::Origin, self.origin.retry_at);
        let order = if origin_first {
            [origin, store]
        } else {
            [store, origin]
        };
        order
            .into_iter()
            .find(|(_, retry_at)| *retry_at <= now)
            .map(|(source, _)| source)
    }

    pub(super) fn hedge_source(
        &self,
        chunk: ChunkIndex,
        first: &Source,
        now: Timestamp,
    ) -> Option<Source> {
        let Source::Peer(id) = first else {
            let other = match first {
                Source::Store => (Source::Origin, self.origin.retry_at),
                _ => (Source::Store, self.store.retry_at),
            };
            return (other.1 <= now).then_some(other.0);
        };
        let region = &self.peers[self.index(id)?].peer.region;
        self.peers
            .iter()
            .filter(|p| p.peer.region == *region && p.peer.id != *id)
            .filter(|p| p.retry_at <= now && p.held.contains(chunk))
            .min_by_key(|p| (p.in_flight, p.fetch_nanos))
            .map(|p| Source::Peer(p.peer.id.clone()))
    }
}

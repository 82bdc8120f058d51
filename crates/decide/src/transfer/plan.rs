//! Steps of a planning round: manifest, hedged, outside and peer fetches.

use std::time::Duration;

use apricothall_types::{Bytes, ChunkIndex, MemberId, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::chunks::ChunkSet;
use super::fetch::{Action, InFlight, Source};
use super::peers::{PeerState, gateway};
use super::{FULL_PERCENT, Transfer};
use crate::configs::TransferStrategy;
use crate::rank;

/// Manifest requests per interval between two rounds of bitmap requests.
const MANIFEST_REQUESTS: u32 = 4;
/// A fetch is hedged after this multiple of the average fetch time.
const HEDGE_FACTOR: u64 = 4;
/// Cost of a peer in another zone, as a percentage of that of a peer in the same zone.
const OTHER_ZONE_PERCENT: u64 = 125;
/// Range of the random factor applied to the cost of a peer, in percent.
const JITTER_PERCENT: std::ops::Range<u64> = 50..150;
/// Minimum estimate for a peer without measurements, in nanoseconds.
const DEFAULT_FETCH_NANOS: u64 = 1_000_000;

impl Transfer {
    /// Requests the manifest. The highest-ranked agent of the region requests it from outside;
    /// the others ask peers of the region until the take-over delay for their rank has passed.
    pub(super) fn plan_manifest(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if now.since(self.last_asked) < self.config.ask_every.0 / MANIFEST_REQUESTS {
            return;
        }
        self.last_asked = now;
        let region = &self.view.me.region;
        let near = self.peers.iter().filter(|p| p.peer.region == *region);
        let ids = near.clone().map(|p| &p.peer.id);
        let rank = gateway(&self.version.0, &self.view.me.id, ids).rank;
        let is_due = now.since(self.last_chunk) >= self.takeover() * rank;
        let peer = near.choose(rng).map(|p| p.peer.id.clone());
        let source = match peer {
            Some(id) if !is_due => Source::Peer(id),
            _ if rng.random_range(0..4_u8) == 0 => Source::Origin,
            _ => Source::Store,
        };
        actions.push(Action::Manifest { source });
    }

    /// Starts hedged fetches of late chunks within the byte budget.
    pub(super) fn plan_hedges(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let size = self.manifest.as_ref().map_or(0, |m| m.size.0);
        let budget = Bytes(size * u64::from(self.config.hedge_budget) / FULL_PERCENT);
        let chunk_size = self.chunk_size();
        if self.config.strategy == TransferStrategy::Origin {
            return;
        }
        let late: Vec<_> = self
            .in_flight
            .iter()
            .filter(|f| !f.hedged && self.is_late(f, now))
            .map(|f| (f.chunk, f.source.clone()))
            .collect();
        for (chunk, first) in late {
            let second = self.hedge_source(chunk, &first, now);
            if matches!(first, Source::Peer(_)) {
                self.back_off(&first, self.config.down.0, now);
            }
            let Some(second) = second else {
                self.cancel_late(chunk, first, actions);
                continue;
            };
            if self.hedged_bytes + chunk_size > budget {
                continue;
            }
            self.hedged_bytes += chunk_size;
            self.start_fetch(chunk, second, now, actions);
            for fetch in self.in_flight.iter_mut().filter(|f| f.chunk == chunk) {
                fetch.hedged = true;
            }
        }
    }

    fn is_late(&self, fetch: &InFlight, now: Timestamp) -> bool {
        let typical = self
            .typical_nanos(&fetch.source)
            .saturating_mul(HEDGE_FACTOR);
        let limit = self.config.hedge_after.0.max(Duration::from_nanos(typical));
        now.since(fetch.since) > limit
    }

    /// Cancels a late fetch from a peer if no other holder of the chunk is known, so that the
    /// chunk can be fetched from outside.
    fn cancel_late(&mut self, chunk: ChunkIndex, source: Source, actions: &mut Vec<Action>) {
        if matches!(source, Source::Peer(_)) {
            self.finish(chunk, &source);
            actions.push(Action::Cancel { chunk, source });
        }
    }

    /// Starts fetches of the chunks that this agent must fetch from outside its region.
    pub(super) fn plan_outside_fetches(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let is_direct = self.config.strategy == TransferStrategy::Origin;
        while is_direct || self.pacer.is_due(now) {
            let in_flight = self.in_flight.iter().filter(|f| !self.is_near(&f.source));
            if in_flight.count() >= self.config.flights {
                return;
            }
            let Some((chunk, source)) = self.next_outside(now, rng) else {
                return;
            };
            self.start_fetch(chunk, source, now, actions);
            self.pacer.start(self.outside_interval(self.owned), now);
        }
    }

    fn next_outside(&self, now: Timestamp, rng: &mut impl Rng) -> Option<(ChunkIndex, Source)> {
        (0..self.count())
            .map(ChunkIndex)
            .filter(|c| self.is_missing(*c) && self.should_fetch_outside(*c, now))
            .find_map(|c| Some((c, self.outside_source(c, now, rng)?)))
    }

    pub(super) fn is_missing(&self, chunk: ChunkIndex) -> bool {
        !self.held.contains(chunk) && !self.in_flight.iter().any(|f| f.chunk == chunk)
    }

    /// Starts fetches from peers of the region: the cheapest peer first, then its rarest chunk.
    pub(super) fn plan_peer_fetches(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.config.strategy == TransferStrategy::Origin {
            return;
        }
        let mut wanted = self.held.clone();
        for fetch in &self.in_flight {
            wanted.insert(fetch.chunk);
        }
        let in_flight = self.in_flight.iter().filter(|f| self.is_near(&f.source));
        let free = self.config.flights.saturating_sub(in_flight.count());
        for _ in 0..free {
            let Some(at) = self.next_peer(&wanted, now, rng) else {
                return;
            };
            let rarity = |c: &ChunkIndex| self.counts[c.0 as usize];
            let candidates = self.peers[at].held.difference(&wanted);
            let Some(chunk) = candidates.min_by_key(|c| (rarity(c), rng.random::<u32>())) else {
                return;
            };
            wanted.insert(chunk);
            let source = Source::Peer(self.peers[at].peer.id.clone());
            self.start_fetch(chunk, source, now, actions);
        }
    }

    fn next_peer(&self, wanted: &ChunkSet, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let me = &self.view.me;
        let usable = |p: &PeerState| {
            p.peer.region == me.region
                && p.retry_at <= now
                && p.in_flight < self.config.depth
                && p.held.difference(wanted).next().is_some()
        };
        let usable = self.peers.iter().enumerate().filter(|(_, p)| usable(p));
        if self.config.strategy == TransferStrategy::Chain {
            let weight = |id: &MemberId| rank::weight(&self.version.0, id);
            let own = weight(&me.id);
            return usable
                .map(|(at, p)| (weight(&p.peer.id), at))
                .filter(|(other, _)| *other > own)
                .min()
                .map(|(_, at)| at);
        }
        usable
            .min_by_key(|(_, p)| self.jittered_cost(p, rng))
            .map(|(at, _)| at)
    }

    pub(super) fn jittered_cost(&self, peer: &PeerState, rng: &mut impl Rng) -> u64 {
        self.cost(peer)
            .saturating_mul(rng.random_range(JITTER_PERCENT))
    }

    fn cost(&self, peer: &PeerState) -> u64 {
        let time = if peer.fetch_nanos == 0 {
            self.near_nanos.max(DEFAULT_FETCH_NANOS)
        } else {
            peer.fetch_nanos
        };
        let zone = if peer.peer.zone == self.view.me.zone {
            FULL_PERCENT
        } else {
            OTHER_ZONE_PERCENT
        };
        let load = peer.in_flight as u64 + 1;
        // Milliseconds keep the product small and avoid overflow.
        (time / 1_000_000 + 1) * zone * load * (peer.failures + 1)
    }
}

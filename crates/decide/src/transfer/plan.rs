//! The steps of one round of planning.

use std::time::Duration;

use apricothall_types::{Bytes, ChunkIndex, MemberId, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::chunks::ChunkSet;
use super::fetch::{Action, Flight, Source};
use super::peers::{Known, gateway};
use super::{FULL_PERCENT, Transfer};
use crate::configs::TransferStrategy;
use crate::rank;

/// Requests for the manifest in the time between two rounds of asking for bitmaps.
const MANIFEST_ASKS: u32 = 4;
/// A fetch that takes this many times the usual time is hedged.
const HEDGE_FACTOR: u64 = 4;
/// Extra cost of a peer in another zone, as a percentage.
const ZONE_COST: u64 = 125;
/// Spread of the random factor in the choice of a peer, as percentages.
const JITTER: std::ops::Range<u64> = 50..150;
/// Estimate for a peer that was never measured, in nanoseconds.
const UNKNOWN_TIME: u64 = 1_000_000;

impl Transfer {
    /// Asks for the manifest: the first of the region's order from outside, the others from peers
    /// of the region until the take-over delay of their rank has passed.
    pub(super) fn plan_manifest(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if now.since(self.asked) < self.config.ask_every.0 / MANIFEST_ASKS {
            return;
        }
        self.asked = now;
        let region = &self.view.me.region;
        let near = self.peers.iter().filter(|k| k.peer.region == *region);
        let ids = near.clone().map(|k| &k.peer.id);
        let rank = gateway(&self.version.0, &self.view.me.id, ids).rank;
        let is_due = now.since(self.advanced) >= self.takeover() * rank;
        let peer = near.choose(rng).map(|k| k.peer.id.clone());
        let source = match peer {
            Some(id) if !is_due => Source::Peer(id),
            _ if rng.random_range(0..4_u8) == 0 => Source::Origin,
            _ => Source::Store,
        };
        actions.push(Action::Manifest { source });
    }

    /// Starts second fetches of chunks that take too long, within the budget.
    pub(super) fn plan_hedges(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let size = self.manifest.as_ref().map_or(0, |m| m.size.0);
        let budget = Bytes(size * u64::from(self.config.hedge_budget) / FULL_PERCENT);
        let chunk_size = self.chunk_size();
        if self.config.strategy == TransferStrategy::Origin {
            return;
        }
        let late: Vec<_> = self
            .flights
            .iter()
            .filter(|f| !f.hedged && self.is_late(f, now))
            .map(|f| (f.chunk, f.source.clone()))
            .collect();
        for (chunk, first) in late {
            let second = self.second_source(chunk, &first, now);
            if matches!(first, Source::Peer(_)) {
                self.rest(&first, self.config.down.0, now);
            }
            let Some(second) = second else {
                self.abandon(chunk, first, actions);
                continue;
            };
            if self.hedged + chunk_size > budget {
                continue;
            }
            self.hedged += chunk_size;
            self.launch(chunk, second, now, actions);
            for flight in self.flights.iter_mut().filter(|f| f.chunk == chunk) {
                flight.hedged = true;
            }
        }
    }

    fn is_late(&self, flight: &Flight, now: Timestamp) -> bool {
        let usual = self.usual(&flight.source).saturating_mul(HEDGE_FACTOR);
        let limit = self.config.hedge_after.0.max(Duration::from_nanos(usual));
        now.since(flight.since) > limit
    }

    /// Gives up a late fetch from a peer when nobody else is known to hold the chunk, so that it
    /// can be drawn from outside.
    fn abandon(&mut self, chunk: ChunkIndex, source: Source, actions: &mut Vec<Action>) {
        if matches!(source, Source::Peer(_)) {
            self.land(chunk, &source);
            actions.push(Action::Cancel { chunk, source });
        }
    }

    /// Fetches chunks that this agent draws from outside its region.
    pub(super) fn plan_outside(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let is_direct = self.config.strategy == TransferStrategy::Origin;
        while is_direct || self.pace.is_due(now) {
            let flying = self.flights.iter().filter(|f| !self.is_near(&f.source));
            if flying.count() >= self.config.flights {
                return;
            }
            let Some((chunk, source)) = self.next_outside(now, rng) else {
                return;
            };
            self.launch(chunk, source, now, actions);
            self.pace.start(self.outside_interval(self.owned), now);
        }
    }

    fn next_outside(&self, now: Timestamp, rng: &mut impl Rng) -> Option<(ChunkIndex, Source)> {
        (0..self.count())
            .map(ChunkIndex)
            .filter(|c| self.is_missing(*c) && self.is_duty(*c, now))
            .find_map(|c| Some((c, self.outside_source(c, now, rng)?)))
    }

    pub(super) fn is_missing(&self, chunk: ChunkIndex) -> bool {
        !self.held.contains(chunk) && !self.flights.iter().any(|f| f.chunk == chunk)
    }

    /// Fetches from peers of the region: the least loaded peer first, then its rarest chunk.
    pub(super) fn plan_peers(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.config.strategy == TransferStrategy::Origin {
            return;
        }
        let mut wanted = self.held.clone();
        for flight in &self.flights {
            wanted.insert(flight.chunk);
        }
        let flying = self.flights.iter().filter(|f| self.is_near(&f.source));
        let free = self.config.flights.saturating_sub(flying.count());
        for _ in 0..free {
            let Some(at) = self.next_peer(&wanted, now, rng) else {
                return;
            };
            let rarity = |c: &ChunkIndex| self.counts[c.0 as usize];
            let candidates = self.peers[at].held.minus(&wanted);
            let Some(chunk) = candidates.min_by_key(|c| (rarity(c), rng.random::<u32>())) else {
                return;
            };
            wanted.insert(chunk);
            let source = Source::Peer(self.peers[at].peer.id.clone());
            self.launch(chunk, source, now, actions);
        }
    }

    fn next_peer(&self, wanted: &ChunkSet, now: Timestamp, rng: &mut impl Rng) -> Option<usize> {
        let me = &self.view.me;
        let usable = |k: &Known| {
            k.peer.region == me.region
                && k.resume <= now
                && k.flights < self.config.depth
                && k.held.minus(wanted).next().is_some()
        };
        let usable = self.peers.iter().enumerate().filter(|(_, k)| usable(k));
        if self.config.strategy == TransferStrategy::Chain {
            let weight = |id: &MemberId| rank::weight(&self.version.0, id);
            let own = weight(&me.id);
            return usable
                .map(|(at, k)| (weight(&k.peer.id), at))
                .filter(|(other, _)| *other > own)
                .min()
                .map(|(_, at)| at);
        }
        usable
            .min_by_key(|(_, k)| self.jittered(k, rng))
            .map(|(at, _)| at)
    }

    pub(super) fn jittered(&self, known: &Known, rng: &mut impl Rng) -> u64 {
        self.cost(known).saturating_mul(rng.random_range(JITTER))
    }

    fn cost(&self, known: &Known) -> u64 {
        let time = if known.pace == 0 {
            self.near_time.max(UNKNOWN_TIME)
        } else {
            known.pace
        };
        let zone = if known.peer.zone == self.view.me.zone {
            FULL_PERCENT
        } else {
            ZONE_COST
        };
        let load = known.flights as u64 + 1;
        // Milliseconds keep the product small.
        (time / 1_000_000 + 1) * zone * load * (known.failures + 1)
    }
}

//! Weight transfer: decides which chunk to fetch, from which source and when.
//!
//! A [`Transfer`] plans the fetch of one version by one agent. The caller passes its inputs
//! (view, manifest, bitmaps, results) and executes the [`Action`]s returned by
//! [`Transfer::tick`]. Each version has its own [`Transfer`]; versions never share chunks.

mod assign;
mod bitmap_requests;
mod chunks;
mod fetch;
mod pace;
mod peers;
mod plan;
mod retention;
mod sources;
mod uploads;

use apricothall_types::{Bytes, ChunkIndex, Digest, Manifest, MemberId, Region, Timestamp};
use apricothall_types::{Rate, TransferObjective};
use rand::Rng;

pub use chunks::ChunkSet;
pub use fetch::{Action, Failure, Source, Verified};
pub use pace::{Pacer, interval};
pub use peers::Peer;
pub use retention::{CachedVersion, evict};
pub use uploads::{Slot, Uploads};

use crate::configs::TransferConfig;
use fetch::{InFlight, SourceHealth};
use peers::{Gateway, PeerState};

const FULL_PERCENT: u64 = 100;

/// Live members as seen by one agent.
#[derive(Clone, Debug)]
pub struct View {
    /// The planning agent.
    pub me: Peer,
    /// Region of the weight store.
    pub home: Region,
    /// Other live agents that need or hold the version.
    pub peers: Vec<Peer>,
}

/// Planner for the fetch of one version by one agent.
#[derive(Clone, Debug)]
pub struct Transfer {
    config: TransferConfig,
    weighting: TransferObjective,
    version: Digest,
    manifest: Option<Manifest>,
    view: View,
    peers: Vec<PeerState>,
    gateways: Vec<Gateway>,
    home_owners: Vec<Option<MemberId>>,
    held: ChunkSet,
    counts: Vec<u32>,
    in_flight: Vec<InFlight>,
    store: SourceHealth,
    origin: SourceHealth,
    pacer: Pacer,
    owned: u32,
    /// Time at which the last chunk was received.
    last_chunk: Timestamp,
    last_asked: Timestamp,
    hedged_bytes: Bytes,
    near_nanos: u64,
    far_nanos: u64,
}

impl Transfer {
    /// Creates a transfer of the version whose manifest digest is `version`.
    #[must_use]
    pub fn new(
        config: TransferConfig,
        weighting: TransferObjective,
        version: Digest,
        view: View,
        now: Timestamp,
    ) -> Self {
        let peers = peer_states(&view, &[], now);
        Self {
            config,
            weighting,
            version,
            manifest: None,
            view,
            peers,
            gateways: Vec::new(),
            home_owners: Vec::new(),
            held: ChunkSet::default(),
            counts: Vec::new(),
            in_flight: Vec::new(),
            store: SourceHealth::default(),
            origin: SourceHealth::default(),
            pacer: Pacer::new(now),
            owned: 0,
            last_chunk: now,
            last_asked: Timestamp::default(),
            hedged_bytes: Bytes::default(),
            near_nanos: 0,
            far_nanos: 0,
        }
    }

    /// Digest of the manifest of the version being fetched.
    #[must_use]
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Returns the chunks verified so far, which is the bitmap to report to peers.
    #[must_use]
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Returns the bytes requested by hedged fetches.
    #[must_use]
    pub fn hedged(&self) -> Bytes {
        self.hedged_bytes
    }

    /// Returns whether every chunk is held. It is false while the manifest is unknown.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let Some(manifest) = &self.manifest else {
            return false;
        };
        self.held.count() == manifest.count()
    }

    /// Sets the manifest. The caller has checked its published bytes against the version.
    ///
    /// An inconsistent manifest and any manifest after the first are ignored.
    pub fn on_manifest(&mut self, manifest: Manifest, now: Timestamp) {
        if self.manifest.is_some() || !manifest.is_consistent() {
            return;
        }
        self.manifest = Some(manifest);
        self.assign(now);
        self.stagger(now);
    }

    /// Updates the view, preserving held chunks and the health of the remaining peers.
    ///
    /// Ownership is reassigned only if the peers or this agent have changed.
    pub fn on_view(&mut self, view: View, now: Timestamp) {
        let peers = peer_states(&view, &self.peers, now);
        let ids = |peers: &[PeerState]| peers.iter().map(|s| s.peer.clone()).collect::<Vec<_>>();
        let is_same = ids(&peers) == ids(&self.peers) && view.me == self.view.me;
        self.view = view;
        if is_same {
            return;
        }
        self.peers = peers;
        self.assign(now);
    }

    /// Records the bitmap reported by `peer`. It replaces the previous one, because a restarted
    /// peer holds no chunks.
    pub fn on_bitmap(&mut self, peer: &MemberId, held: &ChunkSet, now: Timestamp) {
        let Some(at) = self.index(peer) else {
            return;
        };
        let count = self.count();
        let mut reported = held.clone();
        reported.truncate(count);
        let before = std::mem::replace(&mut self.peers[at].held, reported.clone());
        let is_near = self.peers[at].peer.region == self.view.me.region;
        for chunk in reported.difference(&before) {
            self.counts[chunk.0 as usize] += u32::from(is_near);
            if self.gateways[chunk.0 as usize].owner == *peer {
                self.peers[at].last_progress = now;
            }
        }
        for chunk in before.difference(&reported) {
            self.counts[chunk.0 as usize] -= u32::from(is_near);
        }
    }

    /// Records a verified chunk and returns whether it is new. Ignores chunks of other versions.
    pub fn on_chunk(&mut self, proof: &Verified, source: &Source, now: Timestamp) -> bool {
        if proof.version() != self.version || proof.chunk().0 >= self.count() {
            return false;
        }
        let chunk = proof.chunk();
        if let Some(fetch) = self.finish(chunk, source) {
            self.record_duration(&fetch, now);
            self.reset_failures(source);
        }
        let is_new = self.held.insert(chunk);
        if is_new {
            self.last_chunk = now;
        }
        is_new
    }

    /// Records a failed fetch and backs off from its source.
    pub fn on_failure(
        &mut self,
        chunk: ChunkIndex,
        source: &Source,
        failure: Failure,
        now: Timestamp,
    ) {
        let was_in_flight = self.finish(chunk, source).is_some();
        if was_in_flight && !self.is_near(source) {
            self.pacer.refund(self.outside_interval(self.owned));
        }
        let pause = match failure {
            Failure::Busy(after) => after,
            Failure::Corrupt if matches!(source, Source::Peer(_)) => self.config.ban.0,
            Failure::Corrupt | Failure::Lost => self.config.down.0,
        };
        self.back_off(source, pause, now);
    }

    /// Reports the latency of live requests over the link to the store's region.
    pub fn on_latency(
        &mut self,
        latency: std::time::Duration,
        base: std::time::Duration,
        now: Timestamp,
    ) {
        if self.view.me.region != self.view.home {
            self.pacer.observe(latency, base, now);
        }
    }

    /// Returns the actions due at `now`. Call it on a timer and after each report.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.cancel_expired(now, &mut actions);
        if self.manifest.is_none() {
            self.plan_manifest(now, rng, &mut actions);
            return actions;
        }
        if self.is_complete() {
            return actions;
        }
        self.plan_hedges(now, &mut actions);
        self.plan_outside_fetches(now, rng, &mut actions);
        self.plan_peer_fetches(now, rng, &mut actions);
        self.plan_bitmap_requests(now, rng, &mut actions);
        actions
    }

    fn count(&self) -> u32 {
        self.manifest.as_ref().map_or(0, Manifest::count)
    }

    fn chunk_size(&self) -> Bytes {
        self.manifest
            .as_ref()
            .map_or(Bytes::default(), |m| m.chunk.min(m.size))
    }

    fn index(&self, id: &MemberId) -> Option<usize> {
        self.peers.binary_search_by(|s| s.peer.id.cmp(id)).ok()
    }

    fn is_home(&self) -> bool {
        self.view.me.region == self.view.home
    }

    /// Returns whether `source` is a peer in this agent's region.
    fn is_near(&self, source: &Source) -> bool {
        let Source::Peer(id) = source else {
            return false;
        };
        self.index(id)
            .is_some_and(|at| self.peers[at].peer.region == self.view.me.region)
    }

    fn outside_rate(&self) -> Rate {
        if self.is_home() {
            return self.config.store;
        }
        let share = match self.weighting {
            TransferObjective::Bytes => self.config.share,
            TransferObjective::Time => self.config.hasty_share,
        };
        Rate(self.config.cross.0 * u64::from(share) / FULL_PERCENT)
    }

    fn outside_interval(&self, owned: u32) -> std::time::Duration {
        let chunk = self.chunk_size();
        let fair = interval(self.outside_rate(), chunk, owned, self.count());
        let share = u32::from(self.config.gateway_share.max(1));
        fair.max(self.config.link.time_for(chunk) * 100 / share)
    }
}

/// Returns the peers of a view sorted by id, preserving the previous state of unchanged ones.
fn peer_states(view: &View, before: &[PeerState], now: Timestamp) -> Vec<PeerState> {
    let old = |p: &Peer| before.iter().find(|s| s.peer == *p).cloned();
    let mut peers: Vec<_> = view
        .peers
        .iter()
        .filter(|p| p.id != view.me.id)
        .map(|p| old(p).unwrap_or_else(|| PeerState::new(p.clone(), now)))
        .collect();
    peers.sort_by(|a, b| a.peer.id.cmp(&b.peer.id));
    peers.dedup_by(|a, b| a.peer.id == b.peer.id);
    peers
}

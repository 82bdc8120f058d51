//! Property tests of one planner against faulty sources, and tests of chunk sets, eviction, upload
//! slots and rate limiting.

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall_decide::configs::TransferConfig;
use apricothall_decide::transfer::{
    Action, CachedVersion, ChunkSet, Failure, Pacer, Peer, Slot, Source, Transfer, Uploads,
    Verified, View, evict,
};
use apricothall_types::{
    Bytes, ChunkIndex, Digest, Manifest, MemberId, Timestamp, TransferObjective,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PEERS: usize = 5;
const STEP: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_hours(1);
const ANSWER_DELAY: Duration = Duration::from_millis(20);

fn id(at: usize) -> MemberId {
    format!("vm-{at}").parse().expect("valid id")
}

fn peer(at: usize, far: bool) -> Peer {
    let region = if far { "far" } else { "home" };
    Peer {
        id: id(at),
        region: region.parse().expect("valid region"),
        zone: region.parse().expect("valid zone"),
    }
}

fn weights(version: u8) -> Vec<u8> {
    (0..40_u8).map(|at| at ^ version).collect()
}

/// Response of a source to a chunk request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Honest,
    Corrupt,
    Silent,
    Busy,
    OtherVersion,
    Lost,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        Just(Behaviour::Corrupt),
        Just(Behaviour::Silent),
        Just(Behaviour::Busy),
        Just(Behaviour::OtherVersion),
        Just(Behaviour::Lost),
    ]
}

struct Harness {
    plan: Transfer,
    manifest: Manifest,
    version: Digest,
    other: (Digest, Manifest),
    behaviours: Vec<Behaviour>,
    delivered: BTreeSet<u32>,
    now: Timestamp,
}

/// Returns the index of a source; the store and the origin follow the peers.
fn source_index(source: &Source) -> usize {
    match source {
        Source::Store => PEERS,
        Source::Origin => PEERS + 1,
        Source::Peer(found) => (0..PEERS).find(|at| id(*at) == *found).expect("known peer"),
    }
}

impl Harness {
    fn new(far: bool, weighting: TransferObjective, behaviours: Vec<Behaviour>) -> Self {
        let manifest = Manifest::of(&weights(0), Bytes(4));
        let version = Digest::of(b"first");
        let other = (Digest::of(b"second"), Manifest::of(&weights(1), Bytes(4)));
        let now = Timestamp(0);
        let view = View {
            me: peer(PEERS, far),
            home: peer(0, false).region,
            peers: (0..PEERS).map(|at| peer(at, at % 2 == 1)).collect(),
        };
        let config = TransferConfig::default();
        let mut plan = Transfer::new(config, weighting, version, view, now);
        plan.on_manifest(manifest.clone(), now);
        Self {
            plan,
            manifest,
            version,
            other,
            behaviours,
            delivered: BTreeSet::new(),
            now,
        }
    }

    /// Reports a bitmap in which the peer holds every chunk, whatever its behaviour, and three
    /// beyond the end of the version.
    fn claim(&mut self, at: usize) {
        let mut all = ChunkSet::default();
        for chunk in 0..self.manifest.count() + 3 {
            all.insert(ChunkIndex(chunk));
        }
        self.plan.on_bitmap(&id(at), &all, self.now);
    }

    fn answer(&mut self, chunk: ChunkIndex, source: &Source) {
        let at = self.now + ANSWER_DELAY;
        let bytes_of = |version: u8| {
            let from = chunk.0 as usize * 4;
            weights(version)[from..from + 4].to_vec()
        };
        let failure = match self.behaviours[source_index(source)] {
            Behaviour::Silent => return,
            Behaviour::Honest => {
                let bytes = bytes_of(0);
                let proof = Verified::check(self.version, &self.manifest, chunk, &bytes);
                self.delivered.insert(chunk.0);
                let proof = proof.expect("honest bytes");
                self.plan.on_chunk(&proof, source, at);
                return;
            }
            Behaviour::OtherVersion => {
                let (version, manifest) = &self.other;
                let bytes = bytes_of(1);
                let proof = Verified::check(*version, manifest, chunk, &bytes).expect("valid");
                assert!(!self.plan.on_chunk(&proof, source, at));
                assert!(Verified::check(self.version, &self.manifest, chunk, &bytes).is_none());
                return;
            }
            Behaviour::Corrupt => Failure::Corrupt,
            Behaviour::Busy => Failure::Busy(ANSWER_DELAY),
            Behaviour::Lost => Failure::Lost,
        };
        self.plan.on_failure(chunk, source, failure, at);
    }

    fn run(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while !self.plan.is_complete() && self.now < Timestamp(0) + LIMIT {
            let actions = self.plan.tick(self.now, &mut rng);
            for action in actions {
                match action {
                    Action::Fetch { chunk, source, .. } => self.answer(chunk, &source),
                    Action::RequestBitmap(peer) if rng.random() => {
                        self.claim(source_index(&Source::Peer(peer)));
                    }
                    _ => {}
                }
            }
            self.check();
            self.now = self.now + STEP;
        }
    }

    fn check(&self) {
        let held =
            (0..self.manifest.count() + 64).filter(|c| self.plan.held().contains(ChunkIndex(*c)));
        assert!(held.into_iter().all(|c| self.delivered.contains(&c)));
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        max_shrink_iters: 8,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// One honest source is enough to complete the version if it is the store, the origin, or a
    /// peer in the agent's own or the store's region.
    #[test]
    fn one_honest_source_completes(
        mut behaviours in prop::collection::vec(behaviour(), PEERS + 2),
        honest in 0..PEERS + 2,
        favours_time: bool,
        far: bool,
        seed: u64,
    ) {
        // Peers with an odd index are in the far region.
        prop_assume!(honest >= PEERS || far || honest % 2 == 0);
        behaviours[honest] = Behaviour::Honest;
        let weighting = if favours_time { TransferObjective::Time } else { TransferObjective::Bytes };
        let mut harness = Harness::new(far, weighting, behaviours);
        harness.run(seed);
        prop_assert!(harness.plan.is_complete(), "held {}", harness.plan.held().count());
    }

    #[test]
    fn chunk_set_matches_btree_set(chunks in prop::collection::btree_set(0_u32..200, 0..100), end in 0_u32..200) {
        let mut set = ChunkSet::default();
        for chunk in &chunks {
            prop_assert!(set.insert(ChunkIndex(*chunk)));
            prop_assert!(!set.insert(ChunkIndex(*chunk)));
        }
        let listed: Vec<_> = set.difference(&ChunkSet::default()).map(|c| c.0).collect();
        prop_assert_eq!(listed, chunks.iter().copied().collect::<Vec<_>>());
        set.truncate(end);
        let left: Vec<_> = set.difference(&ChunkSet::default()).map(|c| c.0).collect();
        prop_assert_eq!(left, chunks.range(..end).copied().collect::<Vec<_>>());
    }

    /// Pinned versions are never evicted, and the others fit into the memory that these leave free.
    #[test]
    fn eviction_spares_pinned_versions(sizes in prop::collection::vec((1_u64..100, any::<bool>(), 0_u64..50), 0..12)) {
        let config = TransferConfig { memory: Bytes(150), ..TransferConfig::default() };
        let kept: Vec<_> = sizes.iter().zip(0_u8..).map(|((size, pinned, used), at)| CachedVersion {
            manifest: Digest([at; 32]),
            size: Bytes(*size),
            pinned: *pinned,
            last_used: Timestamp::from_millis(*used),
        }).collect();
        let dropped = evict(&config, &kept, Timestamp::from_millis(60));
        let stays = |k: &&CachedVersion| !dropped.contains(&k.manifest);
        prop_assert!(kept.iter().filter(|k| k.pinned).all(|k| stays(&k)));
        let unpinned: Bytes = kept.iter().filter(stays).filter(|k| !k.pinned).map(|k| k.size).sum();
        let pinned: Bytes = kept.iter().filter(|k| k.pinned).map(|k| k.size).sum();
        prop_assert!(unpinned == Bytes(0) || unpinned + pinned <= config.memory);
    }
}

#[test]
fn idle_versions_are_dropped() {
    let config = TransferConfig::default();
    let kept = CachedVersion {
        manifest: Digest([1; 32]),
        size: Bytes(1),
        pinned: false,
        last_used: Timestamp(0),
    };
    let idle = Timestamp(0) + config.keep.0 + STEP;
    assert!(evict(&config, std::slice::from_ref(&kept), Timestamp(0) + STEP).is_empty());
    assert_eq!(
        evict(&config, std::slice::from_ref(&kept), idle),
        [kept.manifest]
    );
}

#[test]
fn upload_slots_are_shared() {
    let config = TransferConfig {
        slots: 4,
        far_slots: 1,
        peer_slots: 2,
        ..TransferConfig::default()
    };
    let mut uploads = Uploads::default();
    let mut ask = |at: usize, far: bool| uploads.request(&config, &id(at), far, STEP);
    assert_eq!([ask(0, false), ask(0, false)], [Slot::Granted; 2]);
    assert_eq!(
        ask(0, false),
        Slot::Busy(STEP),
        "a peer has at most two slots"
    );
    assert_eq!(ask(1, false), Slot::Granted);
    assert_eq!(
        ask(2, false),
        Slot::Busy(STEP),
        "the last slot is reserved for other regions"
    );
    assert_eq!(ask(3, true), Slot::Granted);
    assert_eq!(ask(4, true), Slot::Busy(STEP));
    uploads.release(&id(0));
    assert_eq!(uploads.request(&config, &id(4), true, STEP), Slot::Granted);
}

#[test]
fn pacer_slows_down_for_live_requests_and_recovers() {
    let base = Duration::from_millis(10);
    let started = |pace: &mut Pacer, from: Timestamp| {
        (0..1_000_u32)
            .filter(|tick| {
                let now = from + ANSWER_DELAY * *tick;
                let is_due = pace.is_due(now);
                if is_due {
                    pace.start(ANSWER_DELAY * 2, now);
                }
                is_due
            })
            .count()
    };
    let mut pace = Pacer::new(Timestamp(0));
    assert!(started(&mut pace, Timestamp(0)) <= 501);
    let second = Duration::from_secs(1);
    let mut now = Timestamp(0) + second * 30;
    for _ in 0..3 {
        pace.observe(base * 3, base, now);
        now = now + second;
    }
    assert!(started(&mut pace, now) <= 1_000 / 8, "fetches slow down");
    now = now + second * 30;
    for _ in 0..20 {
        pace.observe(base, base, now);
        now = now + second;
    }
    assert!(started(&mut pace, now) >= 490, "the rate recovers");
}

//! Fetches one version from peers, the weight store and the origin as the transfer planner decides.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::configs::TransferConfig;
use apricothall_decide::transfer::{
    Action, ChunkSet, Failure, Peer, Source, Transfer, Verified, View as PlanView,
};
use apricothall_types::{
    ChunkIndex, Digest, EntryName, Manifest, MemberId, Region, Timestamp, TransferObjective,
    Version,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use crate::fetch::Fetcher;

/// Maximum time between two calls of the planner.
const PLAN_PERIOD: Duration = Duration::from_millis(20);

/// A version that this agent is to hold in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedVersion {
    /// Catalogue entry.
    pub name: EntryName,
    /// Version of the entry.
    pub version: Version,
    /// Digest of the version's manifest.
    pub digest: Digest,
    /// The cost that the transfer minimises first.
    pub weighting: TransferObjective,
    /// Agents assigned to the entry.
    pub replicas: Vec<MemberId>,
}

enum Report {
    Manifest(Option<Manifest>),
    Chunk {
        chunk: ChunkIndex,
        source: Source,
        result: Result<Verified, Failure>,
    },
    Held {
        peer: MemberId,
        held: Option<ChunkSet>,
    },
}

struct InFlightFetch {
    chunk: ChunkIndex,
    source: Source,
    since: Timestamp,
    task: AbortHandle,
}

/// The fetch of one version. Dropping it closes all its streams.
pub struct VersionFetch {
    fetcher: Fetcher,
    config: TransferConfig,
    store_region: Region,
    want: watch::Receiver<Arc<WantedVersion>>,
    planner: Transfer,
    tasks: JoinSet<Report>,
    in_flight: Vec<InFlightFetch>,
    rng: ChaCha8Rng,
}

impl VersionFetch {
    /// Creates the fetch of the version in `want`; `store_region` is the region of the weight
    /// store.
    #[must_use]
    pub fn new(
        fetcher: Fetcher,
        config: TransferConfig,
        store_region: Region,
        want: watch::Receiver<Arc<WantedVersion>>,
    ) -> Self {
        let now = fetcher.clock.now();
        let wanted = want.borrow().clone();
        let view = plan_view(&fetcher, &store_region, &wanted);
        let digest = wanted.digest;
        let planner = Transfer::new(config.clone(), wanted.weighting, digest, view, now);
        let mut swarm = Self {
            fetcher,
            config,
            store_region,
            want,
            planner,
            tasks: JoinSet::new(),
            in_flight: Vec::new(),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        };
        swarm.resume(now);
        swarm
    }

    /// Reuses the chunks left by an earlier fetch of the version.
    fn resume(&mut self, now: Timestamp) {
        let digest = self.planner.version();
        let Some(manifest) = self.fetcher.chunks.manifest(digest) else {
            return;
        };
        self.planner.on_manifest((*manifest).clone(), now);
        for proof in self.fetcher.chunks.proofs(digest) {
            self.planner.on_chunk(&proof, &Source::Store, now);
        }
    }

    /// Runs the fetch until all chunks are stored and verified.
    pub async fn run(mut self) {
        let mut changes = self.fetcher.view.changes();
        while !self.planner.is_complete() {
            let now = self.fetcher.clock.now();
            for action in self.planner.tick(now, &mut self.rng) {
                self.perform(action, now);
            }
            tokio::select! {
                Some(done) = self.tasks.join_next() => {
                    if let Ok(report) = done {
                        self.handle_report(report);
                    }
                }
                Ok(()) = changes.changed() => self.refresh(),
                Ok(()) = self.want.changed() => self.refresh(),
                () = tokio::time::sleep(PLAN_PERIOD) => {}
            }
        }
        let (digest, hedged) = (self.planner.version(), self.planner.hedged());
        tracing::info!(%digest, %hedged, "all chunks verified");
    }

    fn refresh(&mut self) {
        let wanted = self.want.borrow().clone();
        let view = plan_view(&self.fetcher, &self.store_region, &wanted);
        self.planner.on_view(view, self.fetcher.clock.now());
    }

    fn perform(&mut self, action: Action, now: Timestamp) {
        let fetcher = self.fetcher.clone();
        let digest = self.planner.version();
        match action {
            Action::Manifest { source } => {
                self.tasks.spawn(async move {
                    Report::Manifest(fetcher.manifest(digest, &source).await)
                });
            }
            Action::RequestBitmap(peer) => {
                self.tasks.spawn(async move {
                    let held = fetcher.bitmap(digest, &peer).await;
                    Report::Held { peer, held }
                });
            }
            Action::Fetch {
                chunk,
                source,
                timeout,
            } => self.fetch(chunk, source, timeout, now),
            Action::Cancel { chunk, source } => self.cancel(chunk, &source, now),
        }
    }

    fn fetch(&mut self, chunk: ChunkIndex, source: Source, wait: Duration, now: Timestamp) {
        let fetcher = self.fetcher.clone();
        let digest = self.planner.version();
        let manifest = fetcher.chunks.manifest(digest);
        let size = manifest.map(|m| m.chunk_size(chunk)).unwrap_or_default();
        let from = source.clone();
        let task = self.tasks.spawn(async move {
            let result = fetcher.chunk(digest, chunk, size, &from, wait).await;
            Report::Chunk {
                chunk,
                source: from,
                result,
            }
        });
        self.in_flight.push(InFlightFetch {
            chunk,
            source,
            since: now,
            task,
        });
    }

    /// Cancels a fetch. The connection to the source is replaced if the fetch has taken longer than
    /// `hedge_after`.
    fn cancel(&mut self, chunk: ChunkIndex, source: &Source, now: Timestamp) {
        let Some(fetch) = self.remove_in_flight(chunk, source) else {
            return;
        };
        fetch.task.abort();
        if now.since(fetch.since) < self.config.hedge_after.0 {
            return;
        }
        let (fetcher, source) = (self.fetcher.clone(), fetch.source);
        tokio::spawn(async move { fetcher.reconnect(&source).await });
    }

    fn remove_in_flight(&mut self, chunk: ChunkIndex, source: &Source) -> Option<InFlightFetch> {
        let mut in_flight = self.in_flight.iter();
        let at = in_flight.position(|f| f.chunk == chunk && f.source == *source)?;
        Some(self.in_flight.swap_remove(at))
    }

    fn handle_report(&mut self, report: Report) {
        let now = self.fetcher.clock.now();
        match report {
            Report::Manifest(Some(manifest)) => self.planner.on_manifest(manifest, now),
            Report::Held {
                peer,
                held: Some(held),
            } => self.planner.on_bitmap(&peer, &held, now),
            Report::Manifest(None) | Report::Held { .. } => {}
            Report::Chunk {
                chunk,
                source,
                result,
            } => {
                self.remove_in_flight(chunk, &source);
                match result {
                    Ok(proof) => drop(self.planner.on_chunk(&proof, &source, now)),
                    Err(failure) => self.planner.on_failure(chunk, &source, failure, now),
                }
            }
        }
    }
}

/// Returns the planner's view: the live agents that are assigned to the entry or hold the version.
fn plan_view(fetcher: &Fetcher, store_region: &Region, want: &WantedVersion) -> PlanView {
    let peer = |m: &apricothall_types::Member| Peer {
        id: m.id.clone(),
        region: m.region.clone(),
        zone: m.zone.clone(),
    };
    let own = fetcher.view.own();
    let holds = |m: &apricothall_types::Member| {
        let mut holdings = m.holdings.iter();
        holdings.any(|h| h.name == want.name && h.version == want.version)
    };
    let alive = fetcher.view.alive().into_iter();
    let peers = alive.filter(|m| m.id != own.id && (want.replicas.contains(&m.id) || holds(m)));
    PlanView {
        me: peer(&own),
        home: store_region.clone(),
        peers: peers.map(|m| peer(&m)).collect(),
    }
}

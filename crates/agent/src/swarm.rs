//! Carries out the plan of one version's fetch.

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

/// Longest time between two rounds of planning.
const TICK: Duration = Duration::from_millis(20);

/// A version that this agent is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Catalogue entry.
    pub name: EntryName,
    /// Its version.
    pub version: Version,
    /// Digest of the version's manifest.
    pub digest: Digest,
    /// What the transfer saves first.
    pub weighting: TransferObjective,
    /// Agents that are to serve the entry.
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

struct Flight {
    chunk: ChunkIndex,
    source: Source,
    since: Timestamp,
    task: AbortHandle,
}

/// The fetch of one version. Dropping it ends all its streams.
pub struct Swarm {
    fetcher: Fetcher,
    config: TransferConfig,
    home: Region,
    want: watch::Receiver<Arc<Want>>,
    planner: Transfer,
    tasks: JoinSet<Report>,
    flights: Vec<Flight>,
    rng: ChaCha8Rng,
}

impl Swarm {
    /// A fetch of the version in `want`; `home` is the region of the weight store.
    #[must_use]
    pub fn new(
        fetcher: Fetcher,
        config: TransferConfig,
        home: Region,
        want: watch::Receiver<Arc<Want>>,
    ) -> Self {
        let now = fetcher.clock.now();
        let wanted = want.borrow().clone();
        let view = plan_view(&fetcher, &home, &wanted);
        let digest = wanted.digest;
        let planner = Transfer::new(config.clone(), wanted.weighting, digest, view, now);
        let mut swarm = Self {
            fetcher,
            config,
            home,
            want,
            planner,
            tasks: JoinSet::new(),
            flights: Vec::new(),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        };
        swarm.resume(now);
        swarm
    }

    /// Takes over the chunks that an earlier fetch of the version has left.
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

    /// Returns once all chunks are held and verified.
    pub async fn run(mut self) {
        let mut changes = self.fetcher.view.changes();
        while !self.planner.is_complete() {
            let now = self.fetcher.clock.now();
            for action in self.planner.tick(now, &mut self.rng) {
                self.act(action, now);
            }
            tokio::select! {
                Some(done) = self.tasks.join_next() => {
                    if let Ok(report) = done {
                        self.take(report);
                    }
                }
                Ok(()) = changes.changed() => self.refresh(),
                Ok(()) = self.want.changed() => self.refresh(),
                () = tokio::time::sleep(TICK) => {}
            }
        }
        tracing::info!(digest = %self.planner.version(), hedged = %self.planner.hedged(), "complete");
    }

    fn refresh(&mut self) {
        let wanted = self.want.borrow().clone();
        let view = plan_view(&self.fetcher, &self.home, &wanted);
        self.planner.on_view(view, self.fetcher.clock.now());
    }

    fn act(&mut self, action: Action, now: Timestamp) {
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
        self.flights.push(Flight {
            chunk,
            source,
            since: now,
            task,
        });
    }

    /// Ends a fetch. A peer that was silent for long gets a new connection.
    fn cancel(&mut self, chunk: ChunkIndex, source: &Source, now: Timestamp) {
        let Some(flight) = self.land(chunk, source) else {
            return;
        };
        flight.task.abort();
        if now.since(flight.since) < self.config.hedge_after.0 {
            return;
        }
        let (fetcher, source) = (self.fetcher.clone(), flight.source);
        tokio::spawn(async move { fetcher.reconnect(&source).await });
    }

    fn land(&mut self, chunk: ChunkIndex, source: &Source) -> Option<Flight> {
        let mut flights = self.flights.iter();
        let at = flights.position(|f| f.chunk == chunk && f.source == *source)?;
        Some(self.flights.swap_remove(at))
    }

    fn take(&mut self, report: Report) {
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
                self.land(chunk, &source);
                match result {
                    Ok(proof) => drop(self.planner.on_chunk(&proof, &source, now)),
                    Err(failure) => self.planner.on_failure(chunk, &source, failure, now),
                }
            }
        }
    }
}

/// Live agents that are to serve the entry or hold the version.
fn plan_view(fetcher: &Fetcher, home: &Region, want: &Want) -> PlanView {
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
        home: home.clone(),
        peers: peers.map(|m| peer(&m)).collect(),
    }
}

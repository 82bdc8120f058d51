//! Fetches the pieces of a version from the origin and from other agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::pieces::{
    InFlight, MissingPiece, PeerState, PiecesConfig, Planner, Source, origin_backoff,
    origin_fetches_per_agent, plan,
};
use apricothall_decide::reload::loads_before;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, MemberId, Region, Role, Timestamp};
use apricothall_wire::Connector;
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};
use tokio::task::JoinSet;

use crate::Context;
use crate::agent::pieces::{self, PeerError, Rank};
use crate::agent::shelf::{Shelf, VersionId};
use crate::peers::{EngineNote, Peer, Phase};
use crate::relay::connector;

mod digests;

use digests::DigestsError;

/// Longest wait for a piece from the origin.
const ORIGIN_WAIT: Duration = Duration::from_secs(3);

/// Time for which a peer that gave nothing is left alone.
const PEER_REST: Duration = Duration::from_millis(1_500);

/// The same for a peer that is sending to others.
const BUSY_REST: Duration = Duration::from_millis(60);

/// Pause before a failed fetch of the digests is repeated.
const DIGESTS_PAUSE: Duration = Duration::from_millis(100);

/// Time of a fetch from which on pieces are fetched one by one.
const SLOW: Duration = Duration::from_millis(900);

/// Largest answer of the origin, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// A fetch that has ended.
struct Fetched {
    id: VersionId,
    since: Timestamp,
    index: ChunkIndex,
    source: Source,
    bytes: Result<Bytes, FetchError>,
}

/// Why a piece was not fetched.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// A peer gave none.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The origin gave none.
    #[error("origin: {0}")]
    Origin(SmolStr),
    /// The bytes are not those of the piece.
    #[error("its digest is wrong")]
    Digest,
}

/// The fetch of the wanted version.
pub struct Fetch {
    context: Context,
    shelf: Shelf,
    connector: Connector,
    origin: HttpClient,
    flights: HashMap<ChunkIndex, Source>,
    held_since: HashMap<ChunkIndex, Timestamp>,
    flying_since: HashMap<ChunkIndex, Timestamp>,
    tasks: JoinSet<Fetched>,
    resting: HashMap<MemberId, Timestamp>,
    pace: Duration,
    begun: Timestamp,
    wanted_id: Option<VersionId>,
    wanted_since: Timestamp,
    digests_at: Timestamp,
    /// Times in a row that the origin gave nothing, and when it is asked again.
    origin_failures: u32,
    origin_again: Timestamp,
}

impl Fetch {
    /// Nothing fetched yet.
    #[must_use]
    pub fn new(context: &Context) -> Self {
        let now = context.clock.now();
        Self {
            context: context.clone(),
            shelf: context.shelf.clone(),
            connector: connector(context),
            origin: HttpClient::without_pool(Some(context.settings().ip), ORIGIN_WAIT),
            flights: HashMap::new(),
            held_since: HashMap::new(),
            flying_since: HashMap::new(),
            tasks: JoinSet::new(),
            resting: HashMap::new(),
            pace: Duration::ZERO,
            begun: now,
            wanted_id: None,
            wanted_since: now,
            digests_at: Timestamp::default(),
            origin_failures: 0,
            origin_again: Timestamp::default(),
        }
    }

    /// Waits until a piece has come or its fetch has failed; for ever while none is under way.
    pub async fn landed(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(fetched)) => self.land(fetched),
            Some(Err(error)) => tracing::error!(%error, "a fetch ended without a result"),
            None => std::future::pending().await,
        }
    }

    /// Fetches the digests of a version and begins it.
    pub async fn begin(&mut self, wanted: &VersionId) {
        let now = self.context.clock.now();
        if self.wanted_id.as_ref() != Some(wanted) {
            self.wanted_id = Some(wanted.clone());
            self.wanted_since = now;
        }
        if now.since(self.digests_at) < DIGESTS_PAUSE {
            return;
        }
        self.digests_at = now;
        match self.digests(wanted).await {
            Ok(digests) => {
                tracing::info!(model = %wanted.model, version = wanted.version, pieces = digests.len(), "fetching a version");
                self.begun = self.context.clock.now();
                self.flights.clear();
                self.held_since.clear();
                self.flying_since.clear();
                self.tasks = JoinSet::new();
                self.shelf.begin(wanted.clone(), digests);
            }
            Err(error @ (DigestsError::OthersFirst | DigestsError::Resting)) => {
                tracing::debug!(version = wanted.version, %error, "no digests yet");
            }
            Err(DigestsError::Origin(error)) => {
                self.rest_origin();
                tracing::warn!(model = %wanted.model, version = wanted.version, %error, "digests not fetched");
            }
        }
    }

    /// Agents that fetch or hold `wanted`.
    fn agents(&self, wanted: &VersionId) -> Vec<Peer> {
        let has = |n: &EngineNote| n.version == wanted.version || n.whole == wanted.version;
        self.context.peers.agents(self.context.clock.now(), has)
    }

    /// Other agents of this region, whether or not they have begun.
    fn mates(&self, now: Timestamp) -> Vec<MemberId> {
        let region = &self.context.settings().region;
        let mut mates = Vec::new();
        self.context.peers.each(now, |p| {
            let stays = p.hello.phase != Phase::Leaving;
            if p.hello.role == Role::Agent && p.hello.region == *region && stays {
                mates.push(p.hello.id.clone());
            }
        });
        mates
    }

    /// Starts the fetches that the plan asks for.
    pub fn advance(&mut self, wanted: &VersionId) {
        let mut missing = self.shelf.missing();
        if missing.is_empty() {
            return;
        }
        missing.retain(|index| !self.flights.contains_key(index));
        let now = self.context.clock.now();
        let agents = self.agents(wanted);
        let holders = self.holders(wanted, &agents, now);
        let missing = self.note_held(&missing, &holders, now);
        let settings = self.context.settings();
        let subject = format!("{}/{}", wanted.model, wanted.version);
        let home = self.home();
        let mates = self.mates(now);
        let me = Planner {
            id: &settings.id,
            region: &settings.region,
            home: home.as_ref(),
            since: self.begun,
            subject: &subject,
            region_peers: &mates,
        };
        let mut config = PiecesConfig {
            peer_fetches: flights(self.pace),
            origin_fetches: origin_fetches_per_agent(mates.len() + 1),
            ..PiecesConfig::default()
        };
        if now < self.origin_again {
            config.origin_fetches = 0;
        }
        for (index, source) in plan(&config, me, &missing, self.flying(), &holders, now) {
            self.start(wanted, index, source, &agents);
        }
    }

    /// Notes which of the missing pieces others hold or fetch.
    fn note_held(
        &mut self,
        missing: &[ChunkIndex],
        holders: &[PeerState],
        now: Timestamp,
    ) -> Vec<MissingPiece> {
        let mut wanted = Vec::new();
        for chunk in missing {
            if holders.iter().any(|h| h.held.contains(*chunk)) {
                self.held_since.entry(*chunk).or_insert(now);
            }
            if holders.iter().any(|h| h.fetching.contains(*chunk)) {
                self.flying_since.entry(*chunk).or_insert(now);
            } else {
                self.flying_since.remove(chunk);
            }
            wanted.push(MissingPiece {
                chunk: *chunk,
                held_since: self.held_since.get(chunk).copied(),
                fetching_since: self.flying_since.get(chunk).copied(),
            });
        }
        wanted
    }

    /// Region of the origin.
    fn home(&self) -> Option<Region> {
        let in_force = self.context.published.in_force()?;
        let zone = in_force.configuration.origin()?.zone.clone()?;
        self.context.settings().regions.get(&zone).cloned()
    }

    /// Place among those that ask `peer` for pieces.
    fn rank(&self, peer: &Peer) -> Rank {
        if peer.far {
            return Rank(0);
        }
        let settings = self.context.settings();
        let mut before = 1;
        self.context.peers.each(self.context.clock.now(), |other| {
            let mate = other.hello.role == Role::Agent && other.hello.zone == settings.zone;
            before += u16::from(mate && loads_before(&other.hello.id, &settings.id));
        });
        Rank(before)
    }

    fn flying(&self) -> InFlight {
        let from_origin = self.flights.values().filter(|s| **s == Source::Origin);
        InFlight {
            all: self.flights.len(),
            origin: from_origin.count(),
        }
    }

    /// Pieces being fetched from outside the region.
    #[must_use]
    pub fn flying_set(&self) -> ChunkSet {
        let region = self.context.settings().region.clone();
        let now = self.context.clock.now();
        let mut near = std::collections::BTreeSet::new();
        self.context.peers.each(now, |p| {
            if p.hello.region == region {
                near.insert(p.hello.id.clone());
            }
        });
        let mut set = ChunkSet::default();
        for (index, source) in &self.flights {
            let is_near = matches!(source, Source::Peer(id) if near.contains(id));
            if !is_near {
                set.insert(*index);
            }
        }
        set
    }

    /// Agents that fetch or hold `wanted`, with the pieces that they can pass on.
    fn holders(&self, wanted: &VersionId, agents: &[Peer], now: Timestamp) -> Vec<PeerState> {
        let count = self.shelf.digests(wanted).map_or(0, |d| d.len());
        let mut all = ChunkSet::default();
        for index in (0..).take(count) {
            all.insert(ChunkIndex(index));
        }
        let holder = |peer: &Peer| {
            let note = peer.engine.as_ref()?;
            let fetches = note.version == wanted.version;
            let held = if fetches { &note.held } else { &all };
            let id = peer.hello.id.clone();
            let is_it = |s: &&Source| matches!(s, Source::Peer(other) if *other == id);
            Some(PeerState {
                region: peer.hello.region.clone(),
                held: held.clone(),
                fetching: if fetches {
                    note.flying.clone()
                } else {
                    ChunkSet::default()
                },
                fetches: self.flights.values().filter(is_it).count(),
                down: self.resting.get(&id).is_some_and(|until| now < *until),
                id,
            })
        };
        agents.iter().filter_map(holder).collect()
    }

    /// How much of `wanted` this agent and those that it hears hold between them: the pieces held
    /// by any of them, and all pieces.
    #[must_use]
    pub fn gathered(&self, wanted: &VersionId) -> (u32, u32) {
        let agents = self.agents(wanted);
        let holders = self.holders(wanted, &agents, self.context.clock.now());
        let own = self.shelf.set();
        let count = self.shelf.digests(wanted).map_or(0, |d| d.len());
        let is_held =
            |c: &ChunkIndex| own.contains(*c) || holders.iter().any(|h| h.held.contains(*c));
        let held = (0..).take(count).map(ChunkIndex).filter(is_held).count();
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (number(held), number(count))
    }

    fn start(&mut self, wanted: &VersionId, index: ChunkIndex, source: Source, agents: &[Peer]) {
        self.flights.insert(index, source.clone());
        let id = wanted.clone();
        let since = self.context.clock.now();
        match &source {
            Source::Peer(name) => {
                let Some(peer) = agents.iter().find(|p| p.hello.id == *name) else {
                    return;
                };
                let (address, rank) = (peer.hello.address, self.rank(peer));
                let connector = self.connector.clone();
                self.tasks.spawn(async move {
                    let bytes = pieces::fetch(&connector, address, &id, index, rank).await;
                    let bytes = bytes.map_err(FetchError::from);
                    Fetched {
                        id,
                        since,
                        index,
                        source,
                        bytes,
                    }
                });
            }
            Source::Origin => {
                let in_force = self.context.published.in_force();
                let origin = in_force
                    .as_ref()
                    .and_then(|f| f.configuration.origin().cloned());
                let path = (self.context.dialect.origin.piece)(&id.model, id.version, index.0);
                let client = self.origin.clone();
                self.tasks.spawn(async move {
                    let bytes = match origin {
                        Some(origin) => {
                            read_origin(&client, origin.address, &path, ORIGIN_WAIT).await
                        }
                        None => Err("none is published".into()),
                    };
                    let bytes = bytes.map_err(FetchError::Origin);
                    Fetched {
                        id,
                        since,
                        index,
                        source,
                        bytes,
                    }
                });
            }
        }
    }

    fn land(&mut self, fetched: Fetched) {
        self.flights.remove(&fetched.index);
        if let Source::Peer(_) = fetched.source {
            let took = self.context.clock.now().since(fetched.since);
            self.pace = (self.pace * 3 + took) / 4;
        }
        let from = match &fetched.source {
            Source::Origin => "origin",
            Source::Peer(_) => "peer",
        };
        let error = match fetched.bytes {
            Ok(bytes) => {
                let size = bytes.len() as u64;
                if fetched.source == Source::Origin {
                    self.origin_failures = 0;
                }
                if self.shelf.put(&fetched.id, fetched.index, bytes) {
                    metrics::counter!("apricothall_piece_bytes_total", "source" => from)
                        .increment(size);
                    return;
                }
                FetchError::Digest
            }
            Err(error) => error,
        };
        let rest = match error {
            FetchError::Peer(PeerError::Busy) => BUSY_REST,
            _ => PEER_REST,
        };
        tracing::info!(version = fetched.id.version, index = %fetched.index, source = ?fetched.source, %error, "piece not fetched");
        metrics::counter!("apricothall_piece_failures_total", "source" => from).increment(1);
        let now = self.context.clock.now();
        match fetched.source {
            Source::Peer(id) => {
                self.resting.insert(id, now + rest);
            }
            Source::Origin => self.rest_origin(),
        }
    }

    /// Leaves the origin alone for a while, longer each time that it fails in a row.
    fn rest_origin(&mut self) {
        self.origin_failures = self.origin_failures.saturating_add(1);
        self.origin_again = self.context.clock.now() + origin_backoff(self.origin_failures);
    }
}

async fn read_origin(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    wait: Duration,
) -> Result<Bytes, SmolStr> {
    let request = get(address, path).map_err(|e| e.to_smolstr())?;
    let answer = client.call(request, wait, ANSWER_BYTES).await;
    let answer = answer.and_then(Answer::error_for_status);
    answer.map(|a| a.body).map_err(|e| e.to_smolstr())
}

/// Pieces fetched at once when one takes `pace`: few on a narrow link, which the engine's
/// requests share.
fn flights(pace: Duration) -> usize {
    match pace {
        pace if pace >= SLOW => 1,
        pace if pace >= SLOW / 2 => 2,
        _ => PiecesConfig::default().peer_fetches,
    }
}

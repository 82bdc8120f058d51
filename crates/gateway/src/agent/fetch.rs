//! Fetch of a version's pieces from the origin and from other agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::pieces::{
    InFlight, MissingPiece, OriginReason, OriginView, PeerState, PiecesConfig, PlannedFetch,
    Planner, Source, origin_fetcher_count, origin_fetches_per_agent, origin_stall, plan,
};
use apricothall_decide::reload::loads_before;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, MemberId, Region, Role, Timestamp};
use apricothall_wire::Connector;
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};
use tokio::task::JoinSet;

use crate::Context;
use crate::agent::piece_store::{PieceStore, VersionId};
use crate::agent::pieces::{self, Rank};
use crate::log_budgets::millis;
use crate::peer_sync::connector;
use crate::peers::{EngineStatus, Peer, Phase};

mod digests;
mod results;

use digests::DigestsError;
use results::{FetchError, FetchResult, Fetched};

/// Time limit for a piece from the origin.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the start of the process in which it hears of other agents, and fetches nothing from the
/// origin.
const ORIGIN_START_DELAY: Duration = Duration::from_millis(400);

/// Minimum time between two attempts to fetch digests.
const DIGESTS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Mean fetch time from which pieces are fetched one at a time.
const SLOW_FETCH: Duration = Duration::from_millis(900);

/// Maximum size of a response from the origin, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Number of times that the digest of a piece must differ before the digests are fetched again.
const MAX_MISMATCHES: u32 = 2;

/// Fetches the wanted version.
pub struct Fetcher {
    context: Context,
    piece_store: PieceStore,
    connector: Connector,
    origin: HttpClient,
    in_flight: HashMap<ChunkIndex, Source>,
    held_since: HashMap<ChunkIndex, Timestamp>,
    fetching_since: HashMap<ChunkIndex, Timestamp>,
    tasks: JoinSet<Fetched>,
    /// Number of times that the digest of a missing piece differed.
    mismatches: HashMap<ChunkIndex, u32>,
    /// Pieces whose digest differed, until when they are not fetched again.
    mismatch_backoff: HashMap<ChunkIndex, Timestamp>,
    peer_backoff: HashMap<MemberId, Timestamp>,
    /// Peers whose upload queue was full, until when they are not asked.
    busy_peers: HashMap<MemberId, Timestamp>,
    mean_fetch_time: Duration,
    /// Mean fetch time from each peer.
    peer_times: HashMap<MemberId, Duration>,
    mean_origin_time: Option<Duration>,
    /// When this agent last received a piece from the origin, or heard of one that others had.
    origin_progress: Timestamp,
    /// Time of the first request to the origin: before it, other agents are not known yet.
    origin_start: Timestamp,
    started: Timestamp,
    wanted_id: Option<VersionId>,
    wanted_since: Timestamp,
    digests_requested_at: Timestamp,
    /// Consecutive failures of the origin.
    origin_failures: u32,
    /// Time of the next request to the origin.
    origin_retry_at: Timestamp,
}

impl Fetcher {
    /// Creates a fetcher with no version.
    #[must_use]
    pub fn new(context: &Context) -> Self {
        let now = context.clock.now();
        Self {
            context: context.clone(),
            piece_store: context.piece_store.clone(),
            connector: connector(context),
            origin: HttpClient::without_pool(Some(context.settings().ip), ORIGIN_TIMEOUT),
            in_flight: HashMap::new(),
            held_since: HashMap::new(),
            fetching_since: HashMap::new(),
            tasks: JoinSet::new(),
            mismatches: HashMap::new(),
            mismatch_backoff: HashMap::new(),
            peer_backoff: HashMap::new(),
            busy_peers: HashMap::new(),
            mean_fetch_time: Duration::ZERO,
            peer_times: HashMap::new(),
            mean_origin_time: None,
            origin_progress: now,
            origin_start: now + ORIGIN_START_DELAY,
            started: now,
            wanted_id: None,
            wanted_since: now,
            digests_requested_at: Timestamp::default(),
            origin_failures: 0,
            origin_retry_at: Timestamp::default(),
        }
    }

    /// Waits for the next fetch to end, whether it succeeds or fails, and handles its result. Never
    /// returns while no fetch is in progress.
    pub async fn fetch_completed(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(Fetched::Piece(fetched))) => self.complete(fetched),
            Some(Ok(Fetched::Digests(id, digests))) => self.correct_digests(&id, digests),
            Some(Err(error)) => {
                tracing::error!(%error, "fetch task panicked or was cancelled; all fetches are restarted");
                self.tasks = JoinSet::new();
                self.in_flight.clear();
            }
            None => std::future::pending().await,
        }
    }

    /// Fetches the digests of `wanted` and makes it the version being fetched.
    pub async fn begin(&mut self, wanted: &VersionId) {
        let now = self.context.clock.now();
        if self.wanted_id.as_ref() != Some(wanted) {
            self.wanted_id = Some(wanted.clone());
            self.wanted_since = now;
        }
        if now.since(self.digests_requested_at) < DIGESTS_RETRY_INTERVAL {
            return;
        }
        self.digests_requested_at = now;
        match self.fetch_digests(wanted).await {
            Ok(digests) => {
                tracing::info!(model = %wanted.model, version = wanted.version, pieces = digests.len(), "fetching a version");
                self.started = self.context.clock.now();
                self.origin_progress = self.started;
                self.peer_times.clear();
                self.in_flight.clear();
                self.held_since.clear();
                self.fetching_since.clear();
                self.tasks = JoinSet::new();
                self.mismatches.clear();
                self.mismatch_backoff.clear();
                self.piece_store.begin(wanted.clone(), digests);
            }
            Err(error @ (DigestsError::Deferred | DigestsError::OriginBackoff)) => {
                tracing::debug!(version = wanted.version, %error, "digests not available yet");
            }
            Err(DigestsError::Origin(error)) => {
                self.back_off_origin();
                tracing::warn!(model = %wanted.model, version = wanted.version, %error, "digests not fetched");
            }
        }
    }

    /// Returns the agents that are fetching or hold `wanted`.
    fn agents(&self, wanted: &VersionId) -> Vec<Peer> {
        let has = |n: &EngineStatus| n.version == wanted.version || n.whole == wanted.version;
        self.context.peers.agents(self.context.clock.now(), has)
    }

    /// Returns the other agents of this region that are not leaving, whether or not they are
    /// fetching the version yet.
    fn region_peers(&self, now: Timestamp) -> Vec<MemberId> {
        let region = &self.context.settings().region;
        let mut region_peers = Vec::new();
        self.context.peers.each(now, |p| {
            let not_leaving = p.hello.phase != Phase::Leaving;
            if p.hello.role == Role::Agent && p.hello.region == *region && not_leaving {
                region_peers.push(p.hello.id.clone());
            }
        });
        region_peers
    }

    /// Returns the agents of this region among which the pieces are divided, in id order.
    fn region_fetchers(&self, region_peers: &[MemberId]) -> Vec<MemberId> {
        let mut agents = region_peers.to_vec();
        agents.push(self.context.settings().id.clone());
        agents.sort();
        agents.truncate(origin_fetcher_count(agents.len()));
        agents
    }

    /// Starts the fetches that the planner selects.
    pub fn advance(&mut self, wanted: &VersionId) {
        let mut missing = self.piece_store.missing();
        if missing.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        missing.retain(|index| !self.in_flight.contains_key(index));
        missing.retain(|index| {
            let until = self.mismatch_backoff.get(index);
            until.is_none_or(|until| now >= *until)
        });
        let agents = self.agents(wanted);
        let holders = self.holders(wanted, &agents, now);
        let missing = self.track_missing(&missing, &holders, now);
        let settings = self.context.settings();
        let subject = format!("{}/{}", wanted.model, wanted.version);
        let origin_region = self.origin_region();
        let region_peers = self.region_peers(now);
        let fetchers = self.region_fetchers(&region_peers);
        let planner = Planner {
            id: &settings.id,
            region: &settings.region,
            home: origin_region.as_ref(),
            since: self.started,
            subject: &subject,
            region_peers: &region_peers,
            origin: OriginView {
                fetchers: &fetchers,
                progress: self.origin_progress,
                stall: origin_stall(self.mean_origin_time),
            },
        };
        let mut config = PiecesConfig {
            peer_fetches: max_peer_fetches(self.mean_fetch_time),
            origin_fetches: origin_fetches_per_agent(region_peers.len() + 1),
            ..PiecesConfig::default()
        };
        if now < self.origin_retry_at.max(self.origin_start) {
            config.origin_fetches = 0;
        }
        for fetch in plan(
            &config,
            planner,
            &missing,
            self.in_flight_counts(),
            &holders,
            now,
        ) {
            self.start_fetch(wanted, fetch, &agents);
        }
    }

    /// Records since when other agents have been holding or fetching each of the missing pieces.
    fn track_missing(
        &mut self,
        missing: &[ChunkIndex],
        holders: &[PeerState],
        now: Timestamp,
    ) -> Vec<MissingPiece> {
        let mut wanted = Vec::new();
        for chunk in missing {
            let is_held = holders.iter().any(|h| h.held.contains(*chunk));
            if !is_held {
                self.held_since.remove(chunk);
            } else if !self.held_since.contains_key(chunk) {
                self.held_since.insert(*chunk, now);
                self.origin_progress = now;
            }
            if holders.iter().any(|h| h.fetching.contains(*chunk)) {
                self.fetching_since.entry(*chunk).or_insert(now);
            } else {
                self.fetching_since.remove(chunk);
            }
            wanted.push(MissingPiece {
                chunk: *chunk,
                held_since: self.held_since.get(chunk).copied(),
                fetching_since: self.fetching_since.get(chunk).copied(),
            });
        }
        wanted
    }

    /// Returns the region of the origin, if the configuration names its zone.
    fn origin_region(&self) -> Option<Region> {
        let in_force = self.context.published.in_force()?;
        let zone = in_force.configuration.origin()?.zone.clone()?;
        self.context.settings().regions.get(&zone).cloned()
    }

    /// Returns the priority of this agent for uploads from `peer`.
    fn rank(&self, peer: &Peer) -> Rank {
        if peer.far {
            return Rank::FAR;
        }
        let settings = self.context.settings();
        let mut before = 1;
        self.context.peers.each(self.context.clock.now(), |other| {
            let in_zone = other.hello.role == Role::Agent && other.hello.zone == settings.zone;
            before += u16::from(in_zone && loads_before(&other.hello.id, &settings.id));
        });
        Rank(before)
    }

    /// Counts the fetches in progress.
    fn in_flight_counts(&self) -> InFlight {
        let from_origin = self.in_flight.values().filter(|s| **s == Source::Origin);
        InFlight {
            all: self.in_flight.len(),
            origin: from_origin.count(),
        }
    }

    /// Returns the pieces being fetched from outside the region.
    #[must_use]
    pub fn fetching_set(&self) -> ChunkSet {
        let region = self.context.settings().region.clone();
        let now = self.context.clock.now();
        let mut near = std::collections::BTreeSet::new();
        self.context.peers.each(now, |p| {
            if p.hello.region == region {
                near.insert(p.hello.id.clone());
            }
        });
        let mut set = ChunkSet::default();
        for (index, source) in &self.in_flight {
            let is_near = matches!(source, Source::Peer(id) if near.contains(id));
            if !is_near {
                set.insert(*index);
            }
        }
        set
    }

    /// Returns the state of `agents`, which are fetching or hold `wanted`, for the planner.
    fn holders(&self, wanted: &VersionId, agents: &[Peer], now: Timestamp) -> Vec<PeerState> {
        let count = self.piece_store.digests(wanted).map_or(0, |d| d.len());
        let mut all = ChunkSet::default();
        for index in (0..).take(count) {
            all.insert(ChunkIndex(index));
        }
        let mean = self.mean_fetch_time;
        let holder = |peer: &Peer| {
            let engine_status = peer.engine.as_ref()?;
            let fetches = engine_status.version == wanted.version;
            let held = if fetches { &engine_status.held } else { &all };
            let id = peer.hello.id.clone();
            let from_peer = |s: &&Source| matches!(s, Source::Peer(other) if *other == id);
            Some(PeerState {
                region: peer.hello.region.clone(),
                held: held.clone(),
                fetching: if fetches {
                    engine_status.flying.clone()
                } else {
                    ChunkSet::default()
                },
                fetches: self.in_flight.values().filter(from_peer).count(),
                pace: self.peer_times.get(&id).copied().unwrap_or(mean),
                busy: self.busy_peers.get(&id).is_some_and(|until| now < *until),
                down: self.peer_backoff.get(&id).is_some_and(|until| now < *until),
                id,
            })
        };
        agents.iter().filter_map(holder).collect()
    }

    /// Returns the number of pieces of `wanted` held by this agent or any agent among its peers,
    /// and the number of all pieces.
    #[must_use]
    pub fn availability(&self, wanted: &VersionId) -> (u32, u32) {
        let agents = self.agents(wanted);
        let holders = self.holders(wanted, &agents, self.context.clock.now());
        let own = self.piece_store.held();
        let count = self.piece_store.digests(wanted).map_or(0, |d| d.len());
        let is_held =
            |c: &ChunkIndex| own.contains(*c) || holders.iter().any(|h| h.held.contains(*c));
        let held = (0..).take(count).map(ChunkIndex).filter(is_held).count();
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (number(held), number(count))
    }

    fn start_fetch(&mut self, wanted: &VersionId, fetch: PlannedFetch, agents: &[Peer]) {
        let PlannedFetch {
            chunk: index,
            source,
            reason,
        } = fetch;
        self.in_flight.insert(index, source.clone());
        if let Some(reason) = reason {
            self.log_origin_fetch(wanted, index, reason);
        }
        self.fetching_since.remove(&index);
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
                    Fetched::Piece(FetchResult {
                        id,
                        since,
                        index,
                        source,
                        bytes,
                    })
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
                            read_origin(&client, origin.address, &path, ORIGIN_TIMEOUT).await
                        }
                        None => Err("the configuration has no origin".into()),
                    };
                    let bytes = bytes.map_err(FetchError::Origin);
                    Fetched::Piece(FetchResult {
                        id,
                        since,
                        index,
                        source,
                        bytes,
                    })
                });
            }
        }
    }

    /// Logs a fetch from the origin, with the age of the fetch by another agent that it repeats.
    fn log_origin_fetch(&self, wanted: &VersionId, index: ChunkIndex, reason: OriginReason) {
        let now = self.context.clock.now();
        let other_ms = self.fetching_since.get(&index);
        let other_ms = other_ms.map(|since| millis(now.since(*since)));
        let after_ms = millis(now.since(self.started));
        let reason = reason.label();
        tracing::info!(version = wanted.version, %index, reason, after_ms, other_ms, "fetching a piece from the origin");
        metrics::counter!("apricothall_origin_fetches_total", "reason" => reason).increment(1);
    }
}

async fn read_origin(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    wait: Duration,
) -> Result<Bytes, SmolStr> {
    let request = get(address, path).map_err(|e| e.to_smolstr())?;
    let answer = client.call(request, wait, MAX_RESPONSE_BYTES).await;
    let answer = answer.and_then(Answer::error_for_status);
    answer.map(|a| a.body).map_err(|e| e.to_smolstr())
}

/// Returns the number of pieces to fetch at once from peers, given the mean fetch time. It is low
/// on a slow link, which is shared with the requests to the engine.
fn max_peer_fetches(mean: Duration) -> usize {
    match mean {
        mean if mean >= SLOW_FETCH => 1,
        mean if mean >= SLOW_FETCH / 2 => 2,
        _ => PiecesConfig::default().peer_fetches,
    }
}

//! Keeps the engine on the newest version: fetches its pieces, verifies them, stages them and
//! orders the load when it is this engine's turn.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::pieces::{Fetcher, Flying, Holder, PiecesConfig, Source, Wanted, plan};
use apricothall_decide::rank;
use apricothall_decide::reload::{Neighbour, Progress, ReloadConfig, loads_before, may_load};
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, MemberId, Region, Role, Timestamp};
use apricothall_wire::Connector;
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};
use tokio::task::JoinSet;

use crate::Context;
use crate::agent::engine::Engine;
use crate::agent::pieces::{self, PeerError, Rank};
use crate::agent::shelf::{Shelf, VersionId};
use crate::dialect::EngineReport;
use crate::peers::{EngineNote, Peer};
use crate::relay::connector;
use crate::settings::LocalEngine;

/// Time between two reports of the engine.
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// Time between two rounds of planning while pieces are missing.
const PLAN_EVERY: Duration = Duration::from_millis(25);

/// Longest wait for the origin.
const ORIGIN_WAIT: Duration = Duration::from_secs(3);

/// Time for which a peer that gave nothing is left alone.
const PEER_REST: Duration = Duration::from_millis(1_500);

/// The same for a peer that is sending to others.
const BUSY_REST: Duration = Duration::from_millis(60);

/// Pause before a failed fetch of the digests is repeated.
const DIGESTS_PAUSE: Duration = Duration::from_millis(100);

/// Time by which each agent waits for the one before it to ask the origin for digests.
const DIGEST_STEP: Duration = Duration::from_millis(80);

/// Peers that are asked for digests before the origin.
const DIGEST_PEERS: usize = 2;

/// Time for which the engine's report may still lag behind an order.
const ORDER_LAG: Duration = Duration::from_millis(600);

/// Time before an order in which entries learn that the engine is about to load.
const NOTICE: Duration = Duration::from_millis(120);

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

/// The keeper of one engine.
struct Keeper {
    context: Context,
    engine: Engine,
    local: LocalEngine,
    shelf: Shelf,
    connector: Connector,
    origin: HttpClient,
    report: Option<EngineReport>,
    flights: HashMap<ChunkIndex, Source>,
    held_since: HashMap<ChunkIndex, Timestamp>,
    tasks: JoinSet<Fetched>,
    resting: HashMap<MemberId, Timestamp>,
    pace: Duration,
    begun: Timestamp,
    complete_since: Option<Timestamp>,
    wanted_id: Option<VersionId>,
    wanted_since: Timestamp,
    local_tried: Option<VersionId>,
    digests_at: Timestamp,
    ordered: Timestamp,
    loading: bool,
}

/// Runs until the process ends.
pub async fn run(context: &Context, engine: Engine, local: LocalEngine) {
    let settings = context.settings();
    let now = context.clock.now();
    let keeper = Keeper {
        context: context.clone(),
        engine,
        local,
        shelf: context.shelf.clone(),
        connector: connector(context),
        origin: HttpClient::without_pool(Some(settings.ip), ORIGIN_WAIT),
        report: None,
        flights: HashMap::new(),
        held_since: HashMap::new(),
        tasks: JoinSet::new(),
        resting: HashMap::new(),
        pace: Duration::ZERO,
        begun: now,
        complete_since: None,
        wanted_id: None,
        wanted_since: now,
        local_tried: None,
        digests_at: Timestamp::default(),
        ordered: Timestamp::default(),
        loading: false,
    };
    keeper.keep().await;
}

impl Keeper {
    async fn keep(mut self) {
        let mut reported = Timestamp::default();
        loop {
            let now = self.context.clock.now();
            if now.since(reported) >= REPORT_EVERY {
                reported = now;
                self.look().await;
            }
            let wanted = self.wanted();
            if let Some(wanted) = &wanted {
                self.advance(wanted).await;
            }
            let fetching = !self.shelf.missing().is_empty();
            self.context.fleet.set_fetching(fetching);
            self.tell(wanted.as_ref());
            let pause = if fetching { PLAN_EVERY } else { REPORT_EVERY };
            tokio::select! {
                Some(done) = self.tasks.join_next() => match done {
                    Ok(fetched) => self.land(fetched),
                    Err(error) => tracing::error!(%error, "a fetch ended without a result"),
                },
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Reads the engine's report.
    async fn look(&mut self) {
        match self.engine.report().await {
            Ok(report) => {
                let before = self.report.as_ref().map_or(0, |r| r.born);
                if report.born != before {
                    tracing::info!(born = report.born, before, loaded = ?report.loaded, "engine found");
                    self.local_tried = None;
                    self.ordered = Timestamp::default();
                }
                self.report = Some(report);
            }
            Err(error) => {
                if self.report.take().is_some() {
                    tracing::warn!(%error, "engine lost");
                }
            }
        }
    }

    /// The version that the engine should serve: the newest named, or the one that engines of
    /// the model serve while none is named.
    fn wanted(&self) -> Option<VersionId> {
        let in_force = self.context.published.in_force()?;
        let engines = in_force.configuration.engines(&self.local.service)?;
        let model = engines.model.name.clone();
        let version = self
            .context
            .published
            .versions(&model)
            .newest()
            .unwrap_or(1);
        Some(VersionId { model, version })
    }

    async fn advance(&mut self, wanted: &VersionId) {
        if self.shelf.id().as_ref() != Some(wanted) {
            self.begin(wanted).await;
            return;
        }
        self.take_staged(wanted).await;
        self.fetch(wanted);
        let Some(pieces) = self.shelf.whole(wanted) else {
            self.complete_since = None;
            return;
        };
        let now = self.context.clock.now();
        self.complete_since.get_or_insert(now);
        if self.may_load(wanted, now) {
            self.load(wanted, pieces).await;
        }
    }

    /// Fetches the digests of a version and begins it.
    async fn begin(&mut self, wanted: &VersionId) {
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
                self.tasks = JoinSet::new();
                self.shelf.begin(wanted.clone(), digests);
            }
            Err(error) => {
                tracing::warn!(model = %wanted.model, version = wanted.version, %error, "digests not fetched");
            }
        }
    }

    async fn digests(&self, wanted: &VersionId) -> Result<Vec<[u8; 32]>, SmolStr> {
        let mut agents = self.agents(wanted);
        let region = &self.context.settings().region;
        agents.sort_by_key(|p| p.hello.region != *region);
        for peer in agents.iter().take(DIGEST_PEERS) {
            let asked = pieces::digests(&self.connector, peer.hello.address, wanted).await;
            match asked {
                Ok(digests) => return Ok(digests),
                Err(error) => tracing::debug!(peer = %peer.hello.id, %error, "no digests there"),
            }
        }
        if !self.is_turn(wanted) {
            return Err("another agent asks the origin first".into());
        }
        let calls = &self.context.dialect.origin;
        let path = (calls.manifest)(&wanted.model, wanted.version);
        let body = self.ask_origin(&path).await?;
        let told = (calls.read_manifest)(&body).map_err(|e| e.to_smolstr())?;
        if told.version != wanted.version {
            return Err(SmolStr::new(format!(
                "the origin tells of version {}",
                told.version
            )));
        }
        Ok(told.digests)
    }

    /// Agents ask the origin one after the other, by hash, so that most have it from a peer.
    fn is_turn(&self, wanted: &VersionId) -> bool {
        let now = self.context.clock.now();
        let subject = format!("{}/{}/digests", wanted.model, wanted.version);
        let me = &self.context.settings().id;
        let own = rank::weight(subject.as_bytes(), me);
        let mut before = 0;
        self.context.peers.each(now, |p| {
            let ahead = rank::weight(subject.as_bytes(), &p.hello.id) > own;
            before += u32::from(p.hello.role == Role::Agent && ahead);
        });
        now.since(self.wanted_since) >= DIGEST_STEP * before
    }

    async fn ask_origin(&self, path: &str) -> Result<Bytes, SmolStr> {
        let in_force = self.context.published.in_force();
        let origin = in_force.as_ref().and_then(|f| f.configuration.origin());
        let origin = origin.ok_or_else(|| SmolStr::new("no origin is published"))?;
        read_origin(&self.origin, origin.address, path).await
    }

    /// Agents that fetch or hold `wanted`.
    fn agents(&self, wanted: &VersionId) -> Vec<Peer> {
        let mut agents = self.context.peers.alive(self.context.clock.now());
        agents.retain(|p| {
            let note = p.engine.as_ref();
            p.hello.role == Role::Agent && note.is_some_and(|n| n.version == wanted.version)
        });
        agents
    }

    /// Takes over, once, what lies staged beside the engine, as far as the digests are right.
    async fn take_staged(&mut self, wanted: &VersionId) {
        if self.report.is_none() || self.local_tried.as_ref() == Some(wanted) {
            return;
        }
        self.local_tried = Some(wanted.clone());
        let missing = self.shelf.missing();
        if missing.is_empty() {
            return;
        }
        let staged = match self.engine.staged(&wanted.model).await {
            Ok(staged) => staged,
            Err(error) => {
                tracing::info!(%error, "nothing staged");
                return;
            }
        };
        let mut taken = 0_u32;
        let mut wrong = 0_u32;
        for index in missing.into_iter().filter(|i| staged.contains(*i)) {
            match self.engine.get_piece(&wanted.model, index.0).await {
                Ok(bytes) => {
                    let right = self.shelf.put(wanted, index, bytes);
                    taken += u32::from(right);
                    wrong += u32::from(!right);
                }
                Err(error) => tracing::info!(%index, %error, "staged piece not read"),
            }
            // Of another version all pieces differ.
            if wrong > 1 && taken == 0 {
                break;
            }
        }
        tracing::info!(
            version = wanted.version,
            taken,
            wrong,
            "staged pieces checked"
        );
    }

    /// Starts the fetches that the plan asks for.
    fn fetch(&mut self, wanted: &VersionId) {
        let mut missing = self.shelf.missing();
        if missing.is_empty() {
            return;
        }
        missing.retain(|index| !self.flights.contains_key(index));
        let now = self.context.clock.now();
        let agents = self.agents(wanted);
        let holders: Vec<_> = agents.iter().map(|p| self.holder(p, now)).collect();
        let missing = self.note_held(&missing, &holders, now);
        let settings = self.context.settings();
        let subject = format!("{}/{}", wanted.model, wanted.version);
        let home = self.home();
        let me = Fetcher {
            id: &settings.id,
            region: &settings.region,
            home: home.as_ref(),
            since: self.begun,
            subject: &subject,
        };
        let config = PiecesConfig {
            flights: flights(self.pace),
            ..PiecesConfig::default()
        };
        for (index, source) in plan(&config, me, &missing, self.flying(), &holders, now) {
            self.start(wanted, index, source, &agents);
        }
    }

    /// Notes which of the missing pieces are held by anybody.
    fn note_held(
        &mut self,
        missing: &[ChunkIndex],
        holders: &[Holder],
        now: Timestamp,
    ) -> Vec<Wanted> {
        let mut wanted = Vec::new();
        for chunk in missing {
            if holders.iter().any(|h| h.held.contains(*chunk)) {
                self.held_since.entry(*chunk).or_insert(now);
            }
            let held = self.held_since.get(chunk).copied();
            let chunk = *chunk;
            wanted.push(Wanted { chunk, held });
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

    fn flying(&self) -> Flying {
        let from_origin = self.flights.values().filter(|s| **s == Source::Origin);
        Flying {
            all: self.flights.len(),
            origin: from_origin.count(),
        }
    }

    /// Pieces being fetched from outside the region.
    fn flying_set(&self) -> ChunkSet {
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

    fn holder(&self, peer: &Peer, now: Timestamp) -> Holder {
        let id = peer.hello.id.clone();
        let held = peer
            .engine
            .as_ref()
            .map_or_else(ChunkSet::default, |n| n.held.clone());
        let is_it = |s: &&Source| matches!(s, Source::Peer(other) if *other == id);
        Holder {
            region: peer.hello.region.clone(),
            held,
            flying: peer
                .engine
                .as_ref()
                .map_or_else(ChunkSet::default, |n| n.flying.clone()),
            flights: self.flights.values().filter(is_it).count(),
            down: self.resting.get(&id).is_some_and(|until| now < *until),
            id,
        }
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
                        Some(origin) => read_origin(&client, origin.address, &path).await,
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
        if let Source::Peer(id) = fetched.source {
            let until = self.context.clock.now() + rest;
            self.resting.insert(id, until);
        }
    }

    /// Whether the engine serves `wanted`, another version, or nothing.
    fn progress(&self, wanted: &VersionId) -> Progress {
        let Some(report) = &self.report else {
            return Progress::Empty;
        };
        if self.loading || report.busy {
            return Progress::Loading;
        }
        match self.serving(&wanted.model) {
            None => Progress::Empty,
            Some(version) if version >= wanted.version => Progress::Done,
            Some(_) if self.shelf.whole(wanted).is_some() => Progress::Complete,
            Some(_) => Progress::Fetching,
        }
    }

    /// Version of `model` that the engine has loaded.
    fn serving(&self, model: &SmolStr) -> Option<u64> {
        let loaded = &self.report.as_ref()?.loaded;
        loaded.iter().find(|(m, _)| m == model).map(|(_, v)| *v)
    }

    fn may_load(&self, wanted: &VersionId, now: Timestamp) -> bool {
        if self.report.is_none() || now.since(self.ordered) < ORDER_LAG {
            return false;
        }
        let zone = self.context.settings().zone.clone();
        let mut neighbours = Vec::new();
        self.context.peers.each(now, |peer| {
            if peer.hello.role == Role::Agent
                && peer.hello.zone == zone
                && let Some(note) = &peer.engine
            {
                let id = peer.hello.id.clone();
                let progress = note.progress;
                neighbours.push(Neighbour { id, progress });
            }
        });
        let allowed = self.context.settings().bounds.version;
        let versions = self.context.published.versions(&wanted.model);
        let serving = self.serving(&wanted.model);
        let due = serving
            .and_then(|v| versions.due(v, allowed))
            .unwrap_or(now + allowed);
        let me = &self.context.settings().id;
        let config = ReloadConfig::default();
        let complete = self.complete_since.unwrap_or(now);
        may_load(
            &config,
            me,
            self.progress(wanted),
            complete,
            &neighbours,
            due,
            now,
        )
    }

    /// Stages all pieces and orders the load. Pieces may rot where they are staged, so they are
    /// put there right before the order.
    async fn load(&mut self, wanted: &VersionId, pieces: Vec<Bytes>) {
        let Some(report) = self.report.clone() else {
            return;
        };
        let empty = report.loaded.is_empty();
        self.loading = true;
        self.tell(Some(wanted));
        if !empty {
            tokio::time::sleep(NOTICE).await;
        }
        let result = self.stage_and_order(wanted, pieces, report.orders).await;
        self.loading = false;
        self.ordered = self.context.clock.now();
        match result {
            Ok(true) => {
                tracing::info!(model = %wanted.model, version = wanted.version, before = ?report.loaded, "load ordered");
                metrics::counter!("apricothall_loads_ordered_total").increment(1);
                if let Some(report) = &mut self.report {
                    report.busy = true;
                }
            }
            Ok(false) => tracing::info!(version = wanted.version, "load order does not fit"),
            Err(error) => tracing::warn!(version = wanted.version, %error, "load not ordered"),
        }
    }

    async fn stage_and_order(
        &self,
        wanted: &VersionId,
        pieces: Vec<Bytes>,
        orders: u64,
    ) -> Result<bool, apricothall_clients::PlatformError> {
        for (index, bytes) in (0..).zip(pieces) {
            self.engine.put_piece(&wanted.model, index, bytes).await?;
        }
        self.engine
            .load(&wanted.model, wanted.version, orders)
            .await
    }

    /// Sets what is told of the engine.
    fn tell(&self, wanted: Option<&VersionId>) {
        let report = self.report.clone().unwrap_or_default();
        let progress = wanted.map_or(Progress::Empty, |w| self.progress(w));
        let is_model = |m: &SmolStr| wanted.is_none_or(|w| w.model == *m);
        let serving = report.loaded.into_iter().find(|(m, _)| is_model(m));
        let held = self.shelf.id();
        self.context.fleet.set_own_note(EngineNote {
            address: self.local.address,
            born: report.born,
            serving: serving.filter(|_| progress != Progress::Loading),
            running: report.running,
            queued: report.queued,
            pace: percent(report.pace),
            version: held.map_or(0, |h| h.version),
            progress,
            held: self.shelf.set(),
            flying: self.flying_set(),
        });
    }
}

async fn read_origin(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<Bytes, SmolStr> {
    let request = get(address, path).map_err(|e| e.to_smolstr())?;
    let answer = client.call(request, ORIGIN_WAIT, ANSWER_BYTES).await;
    let answer = answer.and_then(Answer::accepted);
    answer.map(|a| a.body).map_err(|e| e.to_smolstr())
}

/// Pieces fetched at once when one takes `pace`: few on a narrow link, which the engine's
/// requests share.
fn flights(pace: Duration) -> usize {
    match pace {
        pace if pace >= SLOW => 1,
        pace if pace >= SLOW / 2 => 2,
        _ => PiecesConfig::default().flights,
    }
}

fn percent(pace: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a small positive range"
    )]
    let number = (pace.clamp(0.0, 100.0) * 100.0) as u32;
    number
}

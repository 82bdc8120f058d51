//! Updates the engine to the newest version: fetches, verifies and stages the pieces, and orders
//! the load when the rollout reaches this engine.

use std::time::Duration;

use apricothall_decide::loaded::{LoadTracker, OrderOutcome, Weights};
use apricothall_decide::pending_writes::EarlierWrites;
use apricothall_decide::reload::{
    MIN_SERVICE_TIME, Neighbour, PartialFetch, Progress, ReloadConfig, may_load,
    should_finish_older,
};
use apricothall_decide::staging::Staging;
use apricothall_types::{Role, Timestamp};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::Context;
use crate::agent::engine::{Engine, MAX_PIECE_BYTES};
use crate::agent::fetch::Fetcher;
use crate::agent::piece_store::{PieceStore, VersionId};
use crate::dialect::EngineReport;
use crate::peers::EngineStatus;
use crate::settings::LocalEngine;

mod weights;

/// Interval between two reads of the engine's report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two rounds of planning while pieces are missing.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time until an order shows in the engine's report. No further order is sent before.
const ORDER_REPORT_LAG: Duration = Duration::from_millis(600);

/// Pause after an engine with bad weights refused to load the version anew.
const REFUSED_RELOAD_PAUSE: Duration = Duration::from_secs(5);

/// Delay between the announcement of a load and its order, so that entries stop using the engine.
const LOAD_NOTICE: Duration = Duration::from_millis(120);

/// State of the update task of an engine.
struct EngineUpdater {
    context: Context,
    engine: Engine,
    local: LocalEngine,
    piece_store: PieceStore,
    fetcher: Fetcher,
    report: Option<EngineReport>,
    /// Complete version that waits to be loaded, and the time since which it is complete.
    ready: Option<(VersionId, Timestamp)>,
    /// Version for which the engine's staging area has been searched.
    staged_checked: Option<VersionId>,
    /// Time of the last load order.
    last_order: Timestamp,
    /// Minimum time from the last load order to the next.
    order_pause: Duration,
    /// Whether a load is being prepared or ordered.
    loading: bool,
    /// What was staged in this life of the engine.
    staged: Option<(VersionId, Staging)>,
    /// What others, or this process unseen, may have written in this life of the engine before that.
    earlier: EarlierWrites,
    /// When the last report was requested.
    last_asked: Timestamp,
    /// What is known of the loaded weights.
    tracker: LoadTracker,
}

/// Runs the update task until the process exits.
pub async fn run(context: &Context, engine: Engine, local: LocalEngine) {
    let updater = EngineUpdater {
        context: context.clone(),
        engine,
        local,
        piece_store: context.piece_store.clone(),
        fetcher: Fetcher::new(context),
        report: None,
        ready: None,
        staged_checked: None,
        last_order: Timestamp::default(),
        order_pause: ORDER_REPORT_LAG,
        loading: false,
        staged: None,
        earlier: EarlierWrites::UNKNOWN,
        last_asked: Timestamp::default(),
        tracker: LoadTracker::default(),
    };
    updater.run().await;
}

impl EngineUpdater {
    async fn run(mut self) {
        let mut last_report = Timestamp::default();
        loop {
            let now = self.context.clock.now();
            if now.since(last_report) >= REPORT_INTERVAL {
                last_report = now;
                self.refresh_report().await;
            }
            let wanted = self.desired_version();
            if let Some(wanted) = &wanted {
                let target = self.fetch_target(wanted, now);
                self.advance_fetch(&target).await;
                self.note_doubt();
                self.verify_weights().await;
                self.load_if_due(wanted).await;
            }
            let fetching = !self.piece_store.missing().is_empty();
            self.context.fleet.set_fetching(fetching);
            self.publish_status(wanted.as_ref());
            let pause = if fetching {
                PLAN_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            tokio::select! {
                () = self.fetcher.fetch_completed() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Reads the engine's report. A changed start time means that the engine was restarted.
    async fn refresh_report(&mut self) {
        let asked = self.context.clock.now();
        match self.engine.report().await {
            Ok(report) => {
                self.observe(&report, asked);
                self.report = Some(report);
            }
            Err(error) => {
                if self.report.take().is_some() {
                    tracing::warn!(%error, "engine lost");
                }
            }
        }
    }

    /// Returns the version that the engine should serve: the newest published one, or version 1,
    /// which engines serve while none is published.
    fn desired_version(&self) -> Option<VersionId> {
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

    /// Returns the version to fetch: the newest, or the one being fetched if enough of its pieces
    /// are available.
    fn fetch_target(&self, newest: &VersionId, now: Timestamp) -> VersionId {
        let Some(current) = self.piece_store.current() else {
            return newest.clone();
        };
        let other = current.model != newest.model || current.version >= newest.version;
        if other || self.piece_store.missing().is_empty() {
            return newest.clone();
        }
        let (available, pieces) = self.fetcher.availability(&current);
        let unfinished = PartialFetch {
            available,
            pieces,
            due: self.retirement_due(&current, now),
        };
        if should_finish_older(unfinished, now) {
            return current;
        }
        newest.clone()
    }

    /// Returns the deadline by which `version` must no longer be served. While no newer version is
    /// published, the deadline is the full time limit from now.
    fn retirement_due(&self, version: &VersionId, now: Timestamp) -> Timestamp {
        let allowed = self.context.settings().bounds.version;
        let versions = self.context.published.versions(&version.model);
        let due = versions.retirement_due(version.version, allowed);
        due.unwrap_or(now + allowed)
    }

    /// Advances the fetch of `target`.
    async fn advance_fetch(&mut self, target: &VersionId) {
        if self.piece_store.current().as_ref() != Some(target) {
            self.fetcher.begin(target).await;
        }
        // While the digests of the target are not available, the previous fetch continues.
        let Some(current) = self.piece_store.current() else {
            return;
        };
        self.import_staged(&current).await;
        self.fetcher.advance(&current);
    }

    /// Loads the newest complete version if the engine does not serve it and the rollout order
    /// permits the load.
    async fn load_if_due(&mut self, newest: &VersionId) {
        let now = self.context.clock.now();
        let Some(version) = self.loadable(newest, now) else {
            self.ready = None;
            return;
        };
        if self.ready.as_ref().is_none_or(|(id, _)| *id != version) {
            self.ready = Some((version.clone(), now));
        }
        if !self.may_load(newest, now) {
            return;
        }
        if let Some(pieces) = self.piece_store.all_pieces(&version) {
            self.load(newest, &version, &pieces).await;
        }
    }

    /// Returns the newest complete version, if it is newer than the one that the engine serves and
    /// its remaining service time is at least [`MIN_SERVICE_TIME`].
    fn loadable(&self, newest: &VersionId, now: Timestamp) -> Option<VersionId> {
        let complete = self.piece_store.newest_complete()?;
        let newer = self
            .serving(&complete.model)
            .is_none_or(|serving| complete.version > serving);
        let usable_long_enough = now + MIN_SERVICE_TIME < self.retirement_due(&complete, now);
        (complete.model == newest.model && newer && usable_long_enough).then_some(complete)
    }

    /// Imports the pieces with correct digests from the engine's staging area, once per version and
    /// engine start.
    async fn import_staged(&mut self, wanted: &VersionId) {
        if self.report.is_none() || self.staged_checked.as_ref() == Some(wanted) {
            return;
        }
        self.staged_checked = Some(wanted.clone());
        let missing = self.piece_store.missing();
        if missing.is_empty() {
            return;
        }
        let staged = match self.engine.staged(&wanted.model).await {
            Ok(staged) => staged,
            Err(error) => {
                tracing::info!(%error, "staged pieces not listed");
                return;
            }
        };
        let mut taken = 0_u32;
        let mut wrong = 0_u32;
        for index in missing.into_iter().filter(|i| staged.contains(*i)) {
            match self
                .engine
                .get_piece(&wanted.model, index.0, MAX_PIECE_BYTES)
                .await
            {
                Ok(bytes) => {
                    let matches = self.piece_store.put(wanted, index, bytes);
                    taken += u32::from(matches);
                    wrong += u32::from(!matches);
                }
                Err(error) => tracing::info!(%index, %error, "staged piece not read"),
            }
            // Two mismatches and no match mean that the staged pieces are of another version.
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

    /// Returns the progress of the engine towards the newest version.
    fn progress(&self, newest: &VersionId) -> Progress {
        let Some(report) = &self.report else {
            return Progress::Empty;
        };
        if self.loading || report.busy {
            return Progress::Loading;
        }
        match self.serving(&newest.model) {
            None => Progress::Empty,
            Some(version) if version >= newest.version => Progress::Done,
            Some(_) if self.ready.is_some() => Progress::Complete,
            Some(_) => Progress::Fetching,
        }
    }

    /// Returns the version of `model` that the engine has loaded, unless it may have been loaded
    /// from bad pieces.
    fn serving(&self, model: &SmolStr) -> Option<u64> {
        let loaded = &self.report.as_ref()?.loaded;
        let (_, version) = loaded.iter().find(|(m, _)| m == model)?;
        self.tracker.weights().permits(*version).then_some(*version)
    }

    /// Returns whether the rollout order permits the engine to load now.
    fn may_load(&self, newest: &VersionId, now: Timestamp) -> bool {
        if self.report.is_none() || now.since(self.last_order) < self.order_pause {
            return false;
        }
        let is_judged = !self.tracker.awaits_report() && !self.tracker.awaits_read_back();
        if self.tracker.weights() == Weights::Unverified && !is_judged {
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
        let model = newest.model.clone();
        let serving = self.serving(&model);
        let due = serving.map_or(now, |version| {
            self.retirement_due(&VersionId { model, version }, now)
        });
        let own_id = &self.context.settings().id;
        let config = ReloadConfig::default();
        let complete = self.ready.as_ref().map_or(now, |(_, since)| *since);
        may_load(
            &config,
            own_id,
            self.progress(newest),
            complete,
            &neighbours,
            due,
            now,
        )
    }

    /// Announces the load, then stages all pieces and orders it.
    async fn load(&mut self, newest: &VersionId, version: &VersionId, pieces: &[Bytes]) {
        let Some(report) = self.report.clone() else {
            return;
        };
        let empty = report.loaded.is_empty();
        self.loading = true;
        tracing::info!(version = version.version, before = ?report.loaded, running = report.running, "preparing load");
        self.publish_status(Some(newest));
        if !empty {
            tokio::time::sleep(LOAD_NOTICE).await;
        }
        let result = self.order(version, pieces, &report).await;
        self.loading = false;
        let weights = self.tracker.weights();
        self.last_order = self.context.clock.now();
        self.order_pause = ORDER_REPORT_LAG;
        match result {
            Ok((operation, outcome)) => {
                self.tracker.record_order(operation, outcome);
                if outcome == OrderOutcome::Refused && self.tracker.is_stale() {
                    self.order_pause = REFUSED_RELOAD_PAUSE;
                }
                if matches!(outcome, OrderOutcome::Accepted(_)) {
                    tracing::info!(model = %version.model, version = version.version, before = ?report.loaded, ?operation, "load ordered");
                    metrics::counter!("apricothall_loads_ordered_total").increment(1);
                    if let Some(report) = &mut self.report {
                        report.busy = true;
                    }
                    self.refresh_report().await;
                    self.verify_weights().await;
                }
            }
            Err(error) => tracing::warn!(version = version.version, %error, "load not ordered"),
        }
        self.log_weights(weights);
    }

    /// Updates the engine status that this agent sends by gossip.
    fn publish_status(&self, wanted: Option<&VersionId>) {
        let report = self.report.clone().unwrap_or_default();
        let progress = wanted.map_or(Progress::Empty, |w| self.progress(w));
        let is_model = |m: &SmolStr| wanted.is_none_or(|w| w.model == *m);
        let weights = if self.loading {
            Weights::Unverified
        } else {
            self.tracker.weights()
        };
        let mut loaded = report.loaded.into_iter();
        let serving = loaded.find(|(m, v)| is_model(m) && weights.permits(*v));
        let held = self.piece_store.current();
        self.context.fleet.set_engine_status(EngineStatus {
            address: self.local.address,
            born: report.born,
            serving: serving.filter(|_| progress != Progress::Loading),
            weights,
            running: report.running,
            queued: report.queued,
            pace: to_percent(report.pace),
            memory: report.memory.map(Into::into),
            version: held.map_or(0, |h| h.version),
            whole: self.piece_store.newest_complete().map_or(0, |w| w.version),
            progress,
            held: self.piece_store.held(),
            flying: self.fetcher.fetching_set(),
        });
    }
}

/// Converts a relative pace to percent.
fn to_percent(pace: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a small positive range"
    )]
    let value = (pace.clamp(0.0, 100.0) * 100.0) as u32;
    value
}

//! Keeps the engine on the newest version: fetches its pieces, verifies them, stages them and
//! orders the load when it is this engine's turn.

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_decide::reload::{
    MIN_SERVICE_TIME, Neighbour, PartialFetch, Progress, ReloadConfig, may_load,
    should_finish_older,
};
use apricothall_types::{Role, Timestamp};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::Context;
use crate::agent::engine::Engine;
use crate::agent::fetch::Fetch;
use crate::agent::shelf::{Shelf, VersionId};
use crate::dialect::EngineReport;
use crate::peers::EngineStatus;
use crate::settings::LocalEngine;

/// Time between two reports of the engine.
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// Time between two rounds of planning while pieces are missing.
const PLAN_EVERY: Duration = Duration::from_millis(25);

/// Time for which the engine's report may still lag behind an order.
const ORDER_LAG: Duration = Duration::from_millis(600);

/// Time before an order in which entries learn that the engine is about to load.
const NOTICE: Duration = Duration::from_millis(120);

/// The keeper of one engine.
struct Keeper {
    context: Context,
    engine: Engine,
    local: LocalEngine,
    shelf: Shelf,
    fetch: Fetch,
    report: Option<EngineReport>,
    /// The whole version that waits to be loaded, and since when.
    ready: Option<(VersionId, Timestamp)>,
    local_tried: Option<VersionId>,
    ordered: Timestamp,
    loading: bool,
}

/// Runs until the process ends.
pub async fn run(context: &Context, engine: Engine, local: LocalEngine) {
    let keeper = Keeper {
        context: context.clone(),
        engine,
        local,
        shelf: context.shelf.clone(),
        fetch: Fetch::new(context),
        report: None,
        ready: None,
        local_tried: None,
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
                let target = self.target(wanted, now);
                self.advance(&target).await;
                self.load_if_due(wanted).await;
            }
            let fetching = !self.shelf.missing().is_empty();
            self.context.fleet.set_fetching(fetching);
            self.tell(wanted.as_ref());
            let pause = if fetching { PLAN_EVERY } else { REPORT_EVERY };
            tokio::select! {
                () = self.fetch.landed() => {}
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

    /// The version to fetch: the newest, or the one before it if its fetch has come far enough.
    fn target(&self, newest: &VersionId, now: Timestamp) -> VersionId {
        let Some(current) = self.shelf.id() else {
            return newest.clone();
        };
        let other = current.model != newest.model || current.version >= newest.version;
        if other || self.shelf.missing().is_empty() {
            return newest.clone();
        }
        let (gathered, pieces) = self.fetch.gathered(&current);
        let unfinished = PartialFetch {
            available: gathered,
            pieces,
            due: self.due(&current, now),
        };
        if should_finish_older(unfinished, now) {
            return current;
        }
        newest.clone()
    }

    /// When `version` must be out of use, as far as newer ones are named.
    fn due(&self, version: &VersionId, now: Timestamp) -> Timestamp {
        let allowed = self.context.settings().bounds.version;
        let versions = self.context.published.versions(&version.model);
        let due = versions.retirement_due(version.version, allowed);
        due.unwrap_or(now + allowed)
    }

    async fn advance(&mut self, target: &VersionId) {
        if self.shelf.id().as_ref() != Some(target) {
            self.fetch.begin(target).await;
        }
        // Without the digests of the target, the fetch before it goes on.
        let Some(current) = self.shelf.id() else {
            return;
        };
        self.take_staged(&current).await;
        self.fetch.advance(&current);
    }

    /// Loads the newest version that is whole here, if the engine lacks it and it is its turn.
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
        if let Some(pieces) = self.shelf.whole(&version) {
            self.load(newest, &version, pieces).await;
        }
    }

    /// The newest version that is whole here, if it is newer than what the engine serves and not
    /// about to run out.
    fn loadable(&self, newest: &VersionId, now: Timestamp) -> Option<VersionId> {
        let whole = self.shelf.newest_whole()?;
        let newer = self
            .serving(&whole.model)
            .is_none_or(|serving| whole.version > serving);
        let lasts = now + MIN_SERVICE_TIME < self.due(&whole, now);
        (whole.model == newest.model && newer && lasts).then_some(whole)
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

    /// How far the engine is on its way to the newest version.
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

    /// Version of `model` that the engine has loaded.
    fn serving(&self, model: &SmolStr) -> Option<u64> {
        let loaded = &self.report.as_ref()?.loaded;
        loaded.iter().find(|(m, _)| m == model).map(|(_, v)| *v)
    }

    fn may_load(&self, newest: &VersionId, now: Timestamp) -> bool {
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
        let model = newest.model.clone();
        let serving = self.serving(&model);
        let due = serving.map_or(now, |version| self.due(&VersionId { model, version }, now));
        let me = &self.context.settings().id;
        let config = ReloadConfig::default();
        let complete = self.ready.as_ref().map_or(now, |(_, since)| *since);
        may_load(
            &config,
            me,
            self.progress(newest),
            complete,
            &neighbours,
            due,
            now,
        )
    }

    /// Stages all pieces and orders the load. Pieces may rot where they are staged, so they are
    /// put there right before the order.
    async fn load(&mut self, newest: &VersionId, version: &VersionId, pieces: Vec<Bytes>) {
        let Some(report) = self.report.clone() else {
            return;
        };
        let empty = report.loaded.is_empty();
        self.loading = true;
        tracing::info!(version = version.version, before = ?report.loaded, running = report.running, "load begins");
        self.tell(Some(newest));
        if !empty {
            tokio::time::sleep(NOTICE).await;
        }
        let result = self.stage_and_order(version, pieces, report.orders).await;
        self.loading = false;
        self.ordered = self.context.clock.now();
        match result {
            Ok(true) => {
                tracing::info!(model = %version.model, version = version.version, before = ?report.loaded, "load ordered");
                metrics::counter!("apricothall_loads_ordered_total").increment(1);
                if let Some(report) = &mut self.report {
                    report.busy = true;
                }
            }
            Ok(false) => tracing::info!(version = version.version, "load order does not fit"),
            Err(error) => tracing::warn!(version = version.version, %error, "load not ordered"),
        }
    }

    async fn stage_and_order(
        &self,
        wanted: &VersionId,
        pieces: Vec<Bytes>,
        orders: u64,
    ) -> Result<bool, PlatformError> {
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
        self.context.fleet.set_engine_status(EngineStatus {
            address: self.local.address,
            born: report.born,
            serving: serving.filter(|_| progress != Progress::Loading),
            running: report.running,
            queued: report.queued,
            pace: percent(report.pace),
            version: held.map_or(0, |h| h.version),
            whole: self.shelf.newest_whole().map_or(0, |w| w.version),
            progress,
            held: self.shelf.set(),
            flying: self.fetch.flying_set(),
        });
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

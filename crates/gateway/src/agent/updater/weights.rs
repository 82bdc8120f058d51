//! Whether the weights that the engine has loaded are correct, and the orders that load them.

use apricothall_clients::PlatformError;
use apricothall_decide::loaded::{Observation, Operation, OrderOutcome, PieceHistory, Weights};
use apricothall_decide::pending_writes::EarlierWrites;
use apricothall_decide::staging::Staging;
use apricothall_types::Timestamp;
use bytes::Bytes;

use super::EngineUpdater;
use crate::agent::loading::{Load, LoadError, give_up_layers};
use crate::agent::piece_store::VersionId;
use crate::dialect::{EngineReport, LoadOrder};

/// Number of pieces that are read back at once from an engine of unknown speed.
const MAX_READS: usize = 8;

impl EngineUpdater {
    /// Follows which orders the engine accepted, and whether what it loaded is correct.
    pub(super) fn observe(&mut self, report: &EngineReport, asked: Timestamp) {
        let before = self.report.as_ref().map_or(0, |r| r.born);
        let is_started = report.born != before;
        if is_started {
            tracing::info!(born = report.born, before, loaded = ?report.loaded, "engine started or restarted");
            self.staged_checked = None;
            self.last_order = Timestamp::default();
        }
        let weights = self.tracker.weights();
        let is_new_life = self.tracker.born().is_some_and(|born| born != report.born);
        let seen = Observation {
            born: report.born,
            orders: report.orders,
            version: report.loaded.first().map(|(_, version)| *version),
            layers: report.layers,
            busy: report.busy,
        };
        let now = self.context.clock.now();
        self.tracker.observe(seen, &self.history(), asked, now);
        if is_new_life {
            let staged = self.staged.take();
            self.earlier = staged.map_or(EarlierWrites::None, |(_, staging)| {
                staging.writes_after_start(self.last_asked)
            });
        }
        self.last_asked = asked;
        self.log_weights(weights);
    }

    /// Takes into account what other daemons heard of the engine from an earlier process.
    pub(super) fn note_doubt(&mut self) {
        let before = self.tracker.weights();
        if let Some(born) = self.context.fleet.doubt() {
            self.tracker.record_doubt(born);
        }
        self.log_weights(before);
    }

    /// What is known of the staged pieces.
    fn history(&self) -> PieceHistory {
        let staged = self.staged.as_ref();
        staged.map_or_else(|| self.earlier.history(), |(_, staging)| staging.history())
    }

    pub(super) fn log_weights(&self, before: Weights) {
        let now = self.tracker.weights();
        if now != before {
            tracing::info!(
                ?before,
                ?now,
                orders = self.report.as_ref().map(|r| r.orders),
                pending_writes = ?self.history().pending,
                "engine's weights"
            );
        }
    }

    /// Reads the staged pieces back if that tells whether the weights that the engine loaded from
    /// them are correct.
    pub(super) async fn verify_weights(&mut self) {
        let Some(id) = self.version_to_verify() else {
            return;
        };
        let are_correct = match self.read_back(&id).await {
            Ok(are_correct) => are_correct,
            Err(error) => {
                tracing::info!(%error, "staged pieces not read back");
                return;
            }
        };
        let before = self.tracker.weights();
        let history = PieceHistory {
            version: id.version,
            ..self.history()
        };
        self.tracker.record_read_back(are_correct, &history);
        tracing::info!(
            version = id.version,
            are_correct,
            "staged pieces read back after a load"
        );
        self.log_weights(before);
    }

    /// Version of the staged pieces that have to be read back.
    fn version_to_verify(&self) -> Option<VersionId> {
        let report = self.report.as_ref()?;
        if !self.tracker.awaits_read_back() {
            return None;
        }
        let staged = self.staged.as_ref().map(|(id, _)| id.clone());
        let loaded = || report.loaded.first().map(VersionId::from);
        staged
            .or_else(loaded)
            .or_else(|| self.piece_store.current())
    }

    /// Whether the staged pieces are those of `id`. If it is not held any more, they count as wrong.
    async fn read_back(&self, id: &VersionId) -> Result<bool, PlatformError> {
        let Some(pieces) = self.piece_store.all_pieces(id) else {
            return Ok(false);
        };
        let load = Load {
            engine: &self.engine,
            version: id,
            pieces: &pieces,
            orders: 0,
        };
        // What staging found of the engine's speed holds for reading back.
        let staged = self.staged.as_ref();
        let concurrency = staged.map_or(MAX_READS, |(_, staging)| staging.call_count());
        load.read_back(concurrency).await
    }

    /// Orders the engine to load `version`, or to give up layers of it that may be bad.
    pub(super) async fn order(
        &mut self,
        version: &VersionId,
        pieces: &[Bytes],
        report: &EngineReport,
    ) -> Result<(Operation, OrderOutcome), LoadError> {
        let clock = self.context.clock;
        let is_loaded = report.loaded.iter().any(|(_, v)| *v == version.version);
        if is_loaded && let Some(Operation::Keep(layers)) = self.tracker.reload_step() {
            let order = LoadOrder {
                model: &version.model,
                version: version.version,
                orders: report.orders,
                layers: Some(layers),
            };
            let outcome = give_up_layers(&self.engine, &order, clock).await;
            return Ok((Operation::Keep(layers), outcome));
        }
        let mut staging = self.begin_staging(version, pieces.len());
        let load = Load {
            engine: &self.engine,
            version,
            pieces,
            orders: report.orders,
        };
        let result = load.run(&mut staging, clock).await;
        self.staged = Some((version.clone(), staging));
        Ok((Operation::Load, result?))
    }

    /// Begins to stage `count` pieces of `version`, or goes on if they were staged before.
    fn begin_staging(&mut self, version: &VersionId, count: usize) -> Staging {
        let now = self.context.clock.now();
        match self.staged.take() {
            Some((id, mut staging)) if id == *version => {
                staging.retry(now);
                staging
            }
            Some((_, staging)) => staging.replace(version.version, count, now),
            None => Staging::new(version.version, count, self.earlier_writes(version), now),
        }
    }

    /// What may have been written to the engine before this process stages `version`, the first one
    /// in this life of the engine. An earlier process knew no later version than the newest one.
    fn earlier_writes(&self, version: &VersionId) -> EarlierWrites {
        let versions = self.context.published.versions(&version.model);
        let newest = versions.newest().unwrap_or_default();
        self.earlier.limit(newest.max(version.version))
    }
}

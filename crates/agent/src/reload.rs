//! One reload of one engine.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::{LoadOrder, PlatformError, Serving};
use apricothall_fleet::{CatalogueState, MembershipView};
use smol_str::SmolStr;
use thiserror::Error;

use crate::chunks::ChunkStore;
use crate::placement::assignment;
use crate::servers::{Engine, Servers, announce};
use crate::transfers::PinGuard;

/// Longest wait for a load.
const LOAD_LIMIT: Duration = Duration::from_mins(1);

/// Longest wait for an engine's state.
const STATE_LIMIT: Duration = Duration::from_secs(1);

/// Time between two looks at whether requests still run.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// Looks in a row that must find no request, as one may be between its choice and its start.
const IDLE_LOOKS: u32 = 2;

/// Why an engine does not serve the version after a reload.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// Another version is wanted by now, or chunks have gone.
    #[error("the version is no longer wanted or held")]
    Outdated,
    /// The engine refused or did not answer.
    #[error(transparent)]
    Engine(#[from] PlatformError),
    /// The engine says that it serves something else.
    #[error("the engine reports another version than ordered")]
    Other,
}

/// A reload: no new work, wait for what runs, order, check.
pub struct Reload {
    /// The engine.
    pub engine: Arc<Engine>,
    /// All servers of the VM.
    pub servers: Arc<Servers>,
    /// Where the state is announced.
    pub view: Arc<MembershipView>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// Where the version is held.
    pub chunks: Arc<ChunkStore>,
    /// Keeps the version in memory.
    pub pin: PinGuard,
    /// Longest wait for running requests.
    pub drain: Duration,
    /// Where the engine reads the weights.
    pub source: SmolStr,
    /// What it is to serve.
    pub target: Serving,
}

impl Reload {
    /// Carries it out.
    ///
    /// # Errors
    /// When the engine does not serve the version; it is not offered then.
    pub async fn run(self) -> Result<(), ReloadError> {
        // An engine that crashed is down for another reason than its reload.
        let planned = self.engine.serving().is_some();
        self.engine
            .set_reloading(planned.then(|| self.target.clone()));
        self.set_withdrawn(true);
        self.drained().await;
        // Decided anew, as the wait may have been long and this daemon frozen meanwhile.
        if !self.is_wanted() {
            self.set_withdrawn(false);
            return Err(ReloadError::Outdated);
        }
        let ordered = self.order().await;
        self.set_withdrawn(false);
        drop(self.pin);
        ordered
    }

    fn set_withdrawn(&self, withdrawn: bool) {
        if !withdrawn {
            self.engine.set_reloading(None);
        }
        self.engine.set_withdrawn(withdrawn);
        announce(&self.servers, &self.view);
    }

    async fn drained(&self) {
        let wait = async {
            let mut idle = 0;
            while idle < IDLE_LOOKS {
                tokio::time::sleep(DRAIN_PERIOD).await;
                idle = if self.engine.is_idle() { idle + 1 } else { 0 };
            }
        };
        if tokio::time::timeout(self.drain, wait).await.is_err() {
            tracing::warn!("requests still run at the engine to be reloaded");
            metrics::counter!("apricothall_reload_undrained_total").increment(1);
        }
    }

    fn is_wanted(&self) -> bool {
        let catalogue = self.catalogue.current();
        let assigned = assignment(&catalogue.value, &self.view);
        let is_target = assigned.is_some_and(|a| a.target == self.target);
        is_target && self.chunks.is_complete(self.target.manifest)
    }

    async fn order(&self) -> Result<(), ReloadError> {
        let state = self.engine.client.state(STATE_LIMIT).await?;
        let order = LoadOrder {
            name: self.target.name.clone(),
            version: self.target.version.clone(),
            manifest: self.target.manifest,
            source: self.source.clone(),
            fence: state.fence.next(),
        };
        self.engine.unconfirm();
        let loaded = self.engine.client.load(&order, LOAD_LIMIT).await?;
        if loaded.serving.as_ref() != Some(&self.target) {
            return Err(ReloadError::Other);
        }
        self.engine.confirm(loaded);
        Ok(())
    }
}

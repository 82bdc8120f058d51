//! Reloads an engine with another version.

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

/// Timeout of a load order.
const LOAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout of a read of the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two checks for running requests.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Consecutive checks that must find no running request, as a request may be between the choice of
/// its engine and its start.
const IDLE_CHECKS: u32 = 2;

/// Why an engine does not serve the version after a reload.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// Another version is assigned by now, or chunks have been evicted.
    #[error("the version is no longer assigned or not completely in memory")]
    Outdated,
    /// The engine refused or did not answer.
    #[error(transparent)]
    Engine(#[from] PlatformError),
    /// The engine reports that it serves another version.
    #[error("the engine reports another version than ordered")]
    VersionMismatch,
}

/// A reload: withdraw the engine, wait for running requests, order the load, check the result.
pub struct Reload {
    /// The engine.
    pub engine: Arc<Engine>,
    /// All backend servers of the VM.
    pub servers: Arc<Servers>,
    /// Membership view in which the state is announced.
    pub view: Arc<MembershipView>,
    /// The current catalogue.
    pub catalogue: Arc<CatalogueState>,
    /// Store that holds the chunks of the version.
    pub chunks: Arc<ChunkStore>,
    /// Keeps the version in memory during the reload.
    pub pin: PinGuard,
    /// Maximum wait for running requests.
    pub drain: Duration,
    /// URL from which the engine reads the weights.
    pub source: SmolStr,
    /// The version to serve.
    pub target: Serving,
}

impl Reload {
    /// Runs the reload.
    ///
    /// # Errors
    /// When the engine does not serve the version afterwards. It is then not offered for that
    /// version.
    pub async fn run(self) -> Result<(), ReloadError> {
        // An engine that crashed is not down because of a planned reload.
        let planned = self.engine.serving().is_some();
        self.engine
            .set_reloading(planned.then(|| self.target.clone()));
        self.set_withdrawn(true);
        self.wait_until_drained().await;
        // Check again, as the wait may have been long and this process paused meanwhile.
        if !self.is_wanted() {
            self.set_withdrawn(false);
            return Err(ReloadError::Outdated);
        }
        let ordered = self.order_load().await;
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

    async fn wait_until_drained(&self) {
        let wait = async {
            let mut idle = 0;
            while idle < IDLE_CHECKS {
                tokio::time::sleep(DRAIN_POLL_PERIOD).await;
                idle = if self.engine.is_idle() { idle + 1 } else { 0 };
            }
        };
        if tokio::time::timeout(self.drain, wait).await.is_err() {
            tracing::warn!("requests still run on the engine after the drain time-out");
            metrics::counter!("apricothall_reload_undrained_total").increment(1);
        }
    }

    fn is_wanted(&self) -> bool {
        let catalogue = self.catalogue.current();
        let assigned = assignment(&catalogue.value, &self.view);
        let is_target = assigned.is_some_and(|a| a.target == self.target);
        is_target && self.chunks.is_complete(self.target.manifest)
    }

    async fn order_load(&self) -> Result<(), ReloadError> {
        let state = self.engine.client.state(STATE_TIMEOUT).await?;
        let order = LoadOrder {
            name: self.target.name.clone(),
            version: self.target.version.clone(),
            manifest: self.target.manifest,
            source: self.source.clone(),
            fence: state.fence.next(),
        };
        self.engine.unconfirm();
        let loaded = self.engine.client.load(&order, LOAD_TIMEOUT).await?;
        if loaded.serving.as_ref() != Some(&self.target) {
            return Err(ReloadError::VersionMismatch);
        }
        self.engine.confirm(loaded);
        Ok(())
    }
}

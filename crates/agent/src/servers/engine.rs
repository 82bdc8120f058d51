//! A model engine of this VM, and the version that it may be offered for.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use apricothall_clients::{EngineClient, EngineState, Serving};
use apricothall_kernel::configs::ServerConfig;
use apricothall_types::{Catalogue, EntryName, Version};
use smol_str::SmolStr;

use super::RunningGuard;
use crate::admission::Gate;

/// A model engine of this VM.
pub struct Engine {
    /// Settings of the server.
    pub config: ServerConfig,
    /// Client for the server.
    pub client: EngineClient,
    /// Admission gate of the server.
    pub gate: Arc<Gate>,
    state: RwLock<Option<EngineState>>,
    confirmed: RwLock<Confirmed>,
    withdrawn: AtomicBool,
    reloading: RwLock<Option<Serving>>,
    running: AtomicU32,
}

/// What an engine serves according to the result of its last load, regardless of later reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Confirmed {
    /// No load was ordered since this daemon started.
    #[default]
    NoOrder,
    /// The last load has not succeeded.
    Unconfirmed,
    /// The last load succeeded in this boot of the engine.
    Serving { boot: SmolStr, serving: Serving },
}

impl Engine {
    /// Creates an engine whose state is not known yet.
    pub(super) fn new(config: ServerConfig, client: EngineClient, gate: Arc<Gate>) -> Self {
        Self {
            config,
            client,
            gate,
            state: RwLock::default(),
            confirmed: RwLock::default(),
            withdrawn: AtomicBool::new(false),
            reloading: RwLock::default(),
            running: AtomicU32::new(0),
        }
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the state that the engine last reported; `None` while it does not answer.
    #[must_use]
    pub fn state(&self) -> Option<EngineState> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the version that the engine is offered for. It reports that it serves what it was
    /// last ordered to load, has not restarted since, and is not withdrawn.
    #[must_use]
    pub fn serving(&self) -> Option<Serving> {
        if self.withdrawn.load(Ordering::Acquire) {
            return None;
        }
        let state = self.state()?;
        let reported = state.serving.filter(|_| !state.loading)?;
        let confirmed = self
            .confirmed
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match &*confirmed {
            Confirmed::Serving { boot, serving } => {
                (*boot == state.boot && *serving == reported).then_some(reported)
            }
            Confirmed::NoOrder | Confirmed::Unconfirmed => None,
        }
    }

    /// Accepts a version that was loaded by an earlier daemon process of this VM, if the catalogue
    /// contains it.
    pub fn adopt(&self, catalogue: &Catalogue) {
        let Some(state) = self.state().filter(|s| !s.loading) else {
            return;
        };
        let Some(serving) = state.serving else {
            return;
        };
        let entry = catalogue.entry(&serving.name);
        let mut versions = entry.into_iter().flat_map(|e| &e.versions);
        let is_known =
            versions.any(|v| v.version == serving.version && v.manifest == serving.manifest);
        let mut confirmed = self.write_confirmed();
        if is_known && *confirmed == Confirmed::NoOrder {
            let boot = state.boot;
            *confirmed = Confirmed::Serving { boot, serving };
        }
    }

    /// Records that a load was ordered and its result is pending.
    pub fn unconfirm(&self) {
        *self.write_confirmed() = Confirmed::Unconfirmed;
    }

    /// Records what the engine serves after a load.
    pub fn confirm(&self, state: EngineState) {
        if let Some(serving) = state.serving.clone() {
            let boot = state.boot.clone();
            *self.write_confirmed() = Confirmed::Serving { boot, serving };
        }
        self.observe(Some(state));
    }

    /// Sets the target of a planned reload of an engine that served until now; `None` ends it.
    pub fn set_reloading(&self, target: Option<Serving>) {
        *self
            .reloading
            .write()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Returns the target of a planned reload.
    pub(super) fn reloading(&self) -> Option<Serving> {
        self.reloading
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Withdraws the engine from service or returns it to service; returns whether that is a
    /// change.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.swap(withdrawn, Ordering::AcqRel) != withdrawn
    }

    /// Returns whether no request is running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.load(Ordering::Acquire) == 0
    }

    fn write_confirmed(&self) -> std::sync::RwLockWriteGuard<'_, Confirmed> {
        self.confirmed
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the state that the engine reports.
    pub fn observe(&self, state: Option<EngineState>) {
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Counts a request as running.
    #[must_use]
    pub fn begin(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.running)
    }

    pub(super) fn serves(&self, name: &EntryName, version: &Version) -> bool {
        self.serving()
            .is_some_and(|s| s.name == *name && s.version == *version)
    }
}

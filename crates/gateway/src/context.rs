//! What is handed down in place of globals.

use std::sync::{Arc, PoisonError, RwLock};

use apricothall_decide::readers::ReaderRole;
use apricothall_kernel::telemetry::Telemetry;
use apricothall_kernel::{Clock, Lifecycle};
use apricothall_types::{Incarnation, Timestamp};

use crate::agent::pieces::Uploads;
use crate::agent::shelf::Shelf;
use crate::dialect::Dialect;
use crate::fleet::Fleet;
use crate::log_budgets::LogBudgets;
use crate::peers::Peers;
use crate::published::Published;
use crate::quarantine::Quarantine;
use crate::settings::Settings;

/// Handles shared by all parts of one process. Cheap to clone.
#[derive(Clone)]
pub struct Context(Arc<Parts>);

/// The parts of a [`Context`].
pub struct Parts {
    settings: RwLock<Arc<Settings>>,
    /// How the platform talks.
    pub dialect: Dialect,
    /// Clock of the VM.
    pub clock: Clock,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Phases of this process.
    pub lifecycle: Lifecycle,
    /// What operators and servers have published.
    pub published: Published,
    /// Other daemons.
    pub peers: Peers,
    /// Load and health of the backend servers.
    pub fleet: Fleet,
    /// Requests that end servers.
    pub quarantine: Quarantine,
    /// Pieces of weights that this agent holds.
    pub shelf: Shelf,
    /// Turns of sending a piece to another agent.
    pub uploads: Uploads,
    /// Bounds on log lines about requests.
    pub log_budgets: Arc<LogBudgets>,
    /// Metrics recorded so far.
    pub telemetry: Telemetry,
}

impl Context {
    /// A context in which nothing is known yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        lifecycle: Lifecycle,
        telemetry: Telemetry,
    ) -> Self {
        let clock = Clock;
        let log_budgets = Arc::new(LogBudgets::default());
        Self(Arc::new(Parts {
            fleet: Fleet::new(&settings),
            published: Published::new(settings.bounds.heartbeat),
            settings: RwLock::new(Arc::new(settings)),
            dialect,
            clock,
            incarnation: clock.incarnation(),
            lifecycle,
            peers: Peers::default(),
            quarantine: Quarantine::new(clock, log_budgets.clone()),
            shelf: Shelf::default(),
            log_budgets,
            uploads: Uploads::default(),
            telemetry,
        }))
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let held = self.0.settings.read();
        held.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What this daemon does about the store.
    #[must_use]
    pub fn reader_role(&self, now: Timestamp) -> ReaderRole {
        self.peers.reader_role(&self.settings(), now)
    }

    /// Whether this daemon reads the store, for itself and for others.
    #[must_use]
    pub fn reads_store(&self, now: Timestamp) -> bool {
        self.reader_role(now).reads()
    }

    /// Puts changed settings in force. True when they differ from those before.
    pub fn set_settings(&self, settings: Settings) -> bool {
        let held = self.0.settings.write();
        let mut held = held.unwrap_or_else(PoisonError::into_inner);
        let changed = **held != settings;
        *held = Arc::new(settings);
        changed
    }
}

impl std::ops::Deref for Context {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.0
    }
}

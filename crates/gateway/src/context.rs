//! State shared by all parts of a process, passed explicitly instead of using globals.

use std::sync::{Arc, PoisonError, RwLock};

use apricothall_decide::readers::ReaderRole;
use apricothall_kernel::telemetry::Telemetry;
use apricothall_kernel::{Clock, Lifecycle};
use apricothall_types::{Incarnation, Timestamp};

use crate::agent::piece_store::PieceStore;
use crate::agent::pieces::UploadQueue;
use crate::body_budget::BodyBudget;
use crate::dialect::{Dialect, Subject};
use crate::fleet::Fleet;
use crate::log_budgets::LogBudgets;
use crate::peers::Peers;
use crate::published::Published;
use crate::quarantine::Quarantine;
use crate::server_limits::SharedLimits;
use crate::settings::Settings;
use crate::store_reads::StoreReads;
use crate::traffic::Traffic;

/// Handle to the shared state of one process. Cheap to clone.
#[derive(Clone)]
pub struct Context(Arc<Parts>);

/// Fields of a [`Context`].
pub struct Parts {
    settings: RwLock<Arc<Settings>>,
    /// API of the platform.
    pub dialect: Dialect,
    /// Clock of the VM.
    pub clock: Clock,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Lifecycle phase of this process.
    pub lifecycle: Lifecycle,
    /// Published configuration, model versions and servers.
    pub published: Published,
    /// Other daemons.
    pub peers: Peers,
    /// Load and health of the backend servers.
    pub fleet: Fleet,
    /// Records of requests that crash servers.
    pub quarantine: Quarantine,
    /// Limits that servers name for all entries together.
    pub server_limits: SharedLimits,
    /// Pieces of weights that this agent holds.
    pub piece_store: PieceStore,
    /// Slots for sending pieces to other agents.
    pub uploads: UploadQueue,
    /// Reads of the store in progress.
    pub store_reads: StoreReads,
    /// Bytes of control traffic by kind.
    pub traffic: Traffic,
    /// Rate limits of log lines about requests.
    pub log_budgets: Arc<LogBudgets>,
    /// Memory for bodies of requests and answers.
    pub body_budget: BodyBudget,
    /// Recorded metrics.
    pub telemetry: Telemetry,
}

impl Context {
    /// Creates a context without a configuration, servers or peers.
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
            body_budget: BodyBudget::for_memory(settings.memory),
            server_limits: SharedLimits::new(&settings, clock.now()),
            published: Published::new(settings.bounds.heartbeat),
            settings: RwLock::new(Arc::new(settings)),
            dialect,
            clock,
            incarnation: clock.incarnation(),
            lifecycle,
            peers: Peers::default(),
            quarantine: Quarantine::new(clock, log_budgets.clone()),
            piece_store: PieceStore::default(),
            log_budgets,
            uploads: UploadQueue::default(),
            store_reads: StoreReads::default(),
            traffic: Traffic::default(),
            telemetry,
        }))
    }

    /// The current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let lock = self.0.settings.read();
        lock.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Role of this daemon in reading `subject` from the store.
    #[must_use]
    pub fn reader_role(&self, subject: Subject, now: Timestamp) -> ReaderRole {
        self.peers.reader_role(&self.settings(), subject, now)
    }

    /// Whether this daemon reads `subject` from the store, for itself and for other daemons.
    #[must_use]
    pub fn reads_store(&self, subject: Subject, now: Timestamp) -> bool {
        let role = self.reader_role(subject, now);
        match subject {
            Subject::Operators => role.follows_item(self.published.configuration_size()),
            Subject::Servers => role.reads(),
        }
    }

    /// Replaces the settings. Returns whether they changed.
    pub fn set_settings(&self, settings: Settings) -> bool {
        let lock = self.0.settings.write();
        let mut lock = lock.unwrap_or_else(PoisonError::into_inner);
        let changed = **lock != settings;
        *lock = Arc::new(settings);
        changed
    }
}

impl std::ops::Deref for Context {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.0
    }
}

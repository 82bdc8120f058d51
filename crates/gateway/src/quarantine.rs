//! Records of requests that crash servers, shared by all daemons.
//!
//! An entry only observes that a response was lost. It treats this as a crash until the server is
//! observed again with the same start time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::quarantine::{Crash, InferredCrashes, Record, Records, Standing};
use apricothall_decide::servers::Server;
use apricothall_decide::update_queue::UpdateQueue;
use apricothall_kernel::Clock;
use apricothall_types::{Digest, Incarnation, Timestamp};
use smol_str::ToSmolStr;

use crate::log_budgets::LogBudgets;

/// Delay before a loss by timeout is sent to other daemons, as it is rarely caused by a crash.
const SILENT_LOSS_DELAY: Duration = Duration::from_millis(1_200);

/// Maximum delay of status reports about a server.
const LIVENESS_LAG: Duration = Duration::from_millis(600);

/// Maximum time after the start of this daemon to wait for the records of others.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of records per message.
const MAX_RECORDS_PER_MESSAGE: usize = 8;

/// How a response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection was lost.
    Broken,
    /// Nothing arrived in time, or the caller disconnected before anything arrived.
    Silent,
}

#[derive(Default)]
struct State {
    inferred: InferredCrashes,
    updates: UpdateQueue<Digest>,
}

/// Records of requests that crash servers.
pub struct Quarantine {
    clock: Clock,
    log_budgets: Arc<LogBudgets>,
    started: Timestamp,
    synced: AtomicBool,
    records: Mutex<Records>,
    /// Cached digest of the records, cleared when they change.
    summary: Mutex<Option<u64>>,
    state: Mutex<State>,
}

/// The crash that would end the current run of `server`.
#[must_use]
pub fn crash_of(server: &Server) -> Crash {
    Crash {
        id: server.id.clone(),
        incarnation: Incarnation::default(),
        boot: server.born.0.to_smolstr(),
    }
}

/// Whether a daemon with the digest `theirs` has other records than one with the digest `own`.
#[must_use]
pub const fn has_other_records(theirs: u64, own: u64) -> bool {
    theirs != 0 && theirs != own
}

impl Quarantine {
    /// Creates an empty set of records.
    #[must_use]
    pub fn new(clock: Clock, log_budgets: Arc<LogBudgets>) -> Self {
        Self {
            clock,
            log_budgets,
            started: clock.now(),
            synced: AtomicBool::new(false),
            records: Mutex::new(Records::for_shared_batches(QuarantineConfig::default())),
            summary: Mutex::default(),
            state: Mutex::default(),
        }
    }

    /// Whether this daemon has the records of others, or has waited long enough since its start.
    #[must_use]
    pub fn is_synced(&self, now: Timestamp) -> bool {
        self.synced.load(Ordering::Relaxed) || now.since(self.started) >= SYNC_TIMEOUT
    }

    /// Records that a serving daemon has no records that this daemon lacks.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the records for a change.
    fn records_mut(&self) -> MutexGuard<'_, Records> {
        let records = self.records();
        *self.cached_summary() = None;
        records
    }

    fn cached_summary(&self) -> MutexGuard<'_, Option<u64>> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn standing(&self, fingerprint: &Digest) -> Standing {
        self.records().standing(fingerprint)
    }

    /// Number of server crashes at which the request was present.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Digest) -> u32 {
        let records = self.records();
        let open = records.get(fingerprint).map_or(0, |r| r.open().count());
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Whether the request is permanently refused.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: &Digest) -> bool {
        self.standing(fingerprint) == Standing::Condemned
    }

    /// Records that the response to a request was lost. This counts as a crash until the server is
    /// observed again with the same start time.
    pub fn lost(&self, fingerprint: Digest, crash: &Crash, loss: Loss, now: Timestamp) {
        let wall = self.clock.wall();
        let mut records = self.records_mut();
        let running = [fingerprint].into();
        let _ = records.crashed(crash, &running, false, wall);
        let standing = records.standing(&fingerprint);
        drop(records);
        let wait = match loss {
            Loss::Silent if standing != Standing::Condemned => SILENT_LOSS_DELAY,
            Loss::Silent | Loss::Broken => Duration::ZERO,
        };
        let mut state = self.state();
        state.inferred.expire(now);
        state.inferred.record(crash, fingerprint, now);
        state.updates.schedule(fingerprint, now + wait);
        drop(state);
        metrics::counter!("apricothall_quarantine_crashes_total").increment(1);
        if standing == Standing::Condemned {
            tracing::warn!(fingerprint = %fingerprint.short(), server = %crash.id, born = %crash.boot, ?loss, "request condemned");
        } else if self.log_budgets.allow_failure(now) {
            tracing::info!(fingerprint = %fingerprint.short(), server = %crash.id, born = %crash.boot, ?loss, "request suspected");
        }
    }

    /// Records that a request completed and is therefore cleared.
    pub fn completed(&self, fingerprint: Digest, now: Timestamp) {
        let mut records = self.records_mut();
        if records.standing(&fingerprint) == Standing::Clear {
            return;
        }
        let changed = records.completed(fingerprint, self.clock.wall());
        drop(records);
        let mut state = self.state();
        for (fingerprint, _) in changed {
            state.updates.schedule_clearance(fingerprint, now);
        }
    }

    /// Whether there are unconfirmed crashes, which are cleared if the server turns out to be still
    /// running.
    #[must_use]
    pub fn has_inferred_crashes(&self) -> bool {
        !self.state().inferred.is_empty()
    }

    /// Records that the server run identified by `crash` answered a request sent at `sent`.
    pub fn answered(&self, crash: &Crash, sent: Timestamp, now: Timestamp) {
        self.disprove(crash, sent, now);
    }

    /// Records evidence that the server run identified by `crash` is still in progress.
    pub fn heard(&self, crash: &Crash, now: Timestamp) {
        self.disprove(crash, now - LIVENESS_LAG, now);
    }

    /// Records that the server run identified by `crash` has ended. The records of its requests are
    /// sent to other daemons immediately.
    pub fn ended(&self, crash: &Crash, now: Timestamp) {
        let mut state = self.state();
        let fingerprints: Vec<_> = state.inferred.fingerprints(crash).copied().collect();
        for fingerprint in fingerprints {
            state.updates.expedite(&fingerprint, now);
        }
    }

    fn disprove(&self, crash: &Crash, seen: Timestamp, now: Timestamp) {
        let cleared = self.state().inferred.disprove(crash, seen);
        if cleared.is_empty() {
            return;
        }
        let mut records = self.records_mut();
        for fingerprint in &cleared {
            records.clear_crash(crash, fingerprint);
        }
        drop(records);
        if self.log_budgets.allow_failure(now) {
            tracing::info!(server = %crash.id, born = %crash.boot, count = cleared.len(), "server lives; requests cleared");
        }
        metrics::counter!("apricothall_quarantine_cleared_total").increment(cleared.len() as u64);
        let mut state = self.state();
        for fingerprint in cleared {
            state.updates.schedule_clearance(fingerprint, now);
        }
    }

    /// Merges records of another daemon. Returns whether any of them changed the local records.
    pub fn merge(&self, received: &[(Digest, Record)], now: Timestamp) -> bool {
        if received.is_empty() {
            return false;
        }
        let mut records = self.records_mut();
        let before: Vec<_> = received.iter().map(|(f, _)| records.standing(f)).collect();
        let changed = records.merge(received, self.clock.wall());
        let mut open = Vec::new();
        for ((fingerprint, _), before) in received.iter().zip(before) {
            let after = records.standing(fingerprint);
            if after == Standing::Condemned && before != after {
                tracing::warn!(fingerprint = %fingerprint.short(), "request condemned, as told by a peer");
            }
            let record = records.get(fingerprint);
            let crashes = record.into_iter().flat_map(Record::open);
            open.extend(crashes.map(|c| (c.clone(), *fingerprint)));
        }
        drop(records);
        let mut state = self.state();
        for (crash, fingerprint) in open {
            state.inferred.record(&crash, fingerprint, now);
        }
        changed
    }

    /// Whether there are records to send.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.state().updates.recent(now).next().is_some()
    }

    /// Moves the next due records to those that are sent. Returns whether there were any.
    pub fn take_due(&self, now: Timestamp) -> bool {
        self.state().updates.take_due(MAX_RECORDS_PER_MESSAGE, now)
    }

    /// Records to include in a message.
    #[must_use]
    pub fn updates(&self, now: Timestamp) -> Vec<(Digest, Record)> {
        let fingerprints: Vec<_> = {
            let state = self.state();
            state
                .updates
                .recent(now)
                .take(MAX_RECORDS_PER_MESSAGE)
                .copied()
                .collect()
        };
        let records = self.records();
        let fingerprints = fingerprints.into_iter();
        fingerprints
            .filter_map(|f| Some((f, records.get(&f)?.clone())))
            .collect()
    }

    /// Digest of the records that all daemons should share; zero if there are none.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let records = self.records();
        *self
            .cached_summary()
            .get_or_insert_with(|| records.summary())
    }

    /// The records that all daemons should share.
    #[must_use]
    pub fn replicated(&self) -> Vec<(Digest, Record)> {
        let records = self.records();
        records.replicated().map(|(f, r)| (*f, r.clone())).collect()
    }
}

//! Requests under which servers end, as all daemons know them.
//!
//! An entry sees only that an answer is lost. It counts that as a crash of the server until the
//! server shows that it still has the same life.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::quarantine::{
    Crash, InferredCrashes, Record, Records, Standing, UpdateQueue,
};
use apricothall_decide::servers::Server;
use apricothall_kernel::Clock;
use apricothall_types::{Digest, Incarnation, Timestamp};
use smol_str::ToSmolStr;

use crate::log_budgets::LogBudgets;

/// Time for which others are not told of a loss by silence, which seldom means a crash.
const SILENT_LOSS_DELAY: Duration = Duration::from_millis(1_200);

/// Time for which what is heard of a server may lag behind.
const LIVENESS_LAG: Duration = Duration::from_millis(600);

/// Longest wait for others after the start of this daemon.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Records that go into one message.
const MAX_RECORDS_PER_MESSAGE: usize = 8;

/// How an answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// Nothing came in time, or the caller left before anything came.
    Silent,
}

#[derive(Default)]
struct State {
    inferred: InferredCrashes,
    updates: UpdateQueue,
}

/// What is known of requests that end servers.
pub struct Quarantine {
    clock: Clock,
    log_budgets: Arc<LogBudgets>,
    started: Timestamp,
    synced: AtomicBool,
    records: Mutex<Records>,
    /// The digest of the records, until they change.
    summary: Mutex<Option<u64>>,
    state: Mutex<State>,
}

/// The crash that would end the present life of `server`.
#[must_use]
pub fn crash_of(server: &Server) -> Crash {
    Crash {
        id: server.id.clone(),
        incarnation: Incarnation::default(),
        boot: server.born.0.to_smolstr(),
    }
}

/// Whether a daemon whose digest is `theirs` knows other such requests than one with `own`.
#[must_use]
pub const fn has_other_records(theirs: u64, own: u64) -> bool {
    theirs != 0 && theirs != own
}

impl Quarantine {
    /// Nothing known.
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

    /// Whether this daemon knows what others do, or has waited for long enough after its start.
    #[must_use]
    pub fn is_synced(&self, now: Timestamp) -> bool {
        self.synced.load(Ordering::Relaxed) || now.since(self.started) >= SYNC_TIMEOUT
    }

    /// Notes that a daemon which serves knows no more than this one.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The records, to change them.
    fn change(&self) -> MutexGuard<'_, Records> {
        let records = self.records();
        *self.kept_summary() = None;
        records
    }

    fn kept_summary(&self) -> MutexGuard<'_, Option<u64>> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn standing(&self, fingerprint: &Digest) -> Standing {
        self.records().standing(fingerprint)
    }

    /// Servers that may have ended under a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Digest) -> u32 {
        let records = self.records();
        let open = records.get(fingerprint).map_or(0, |r| r.open().count());
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Whether a request is not run again.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: &Digest) -> bool {
        self.standing(fingerprint) == Standing::Condemned
    }

    /// Notes that the answer to a request was lost, by a crash of the server unless that is seen
    /// again.
    pub fn lost(&self, fingerprint: Digest, crash: &Crash, loss: Loss, now: Timestamp) {
        let wall = self.clock.wall();
        let mut records = self.change();
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

    /// Notes that a request has completed, so that it ends no server.
    pub fn completed(&self, fingerprint: Digest, now: Timestamp) {
        let mut records = self.change();
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

    /// Whether some crash is in doubt, so that signs of life matter.
    #[must_use]
    pub fn has_inferred_crashes(&self) -> bool {
        !self.state().inferred.is_empty()
    }

    /// Notes that a request that was sent at `sent` was answered in the life that `crash` ends.
    pub fn answered(&self, crash: &Crash, sent: Timestamp, now: Timestamp) {
        self.alive(crash, sent, now);
    }

    /// Notes that a server was heard of in the life that `crash` ends.
    pub fn heard(&self, crash: &Crash, now: Timestamp) {
        self.alive(crash, now - LIVENESS_LAG, now);
    }

    /// Notes that a server is no longer in the life that `crash` ends: others are told at once.
    pub fn ended(&self, crash: &Crash, now: Timestamp) {
        let mut state = self.state();
        let fingerprints: Vec<_> = state.inferred.fingerprints(crash).copied().collect();
        for fingerprint in fingerprints {
            state.updates.expedite(&fingerprint, now);
        }
    }

    fn alive(&self, crash: &Crash, seen: Timestamp, now: Timestamp) {
        let cleared = self.state().inferred.disprove(crash, seen);
        if cleared.is_empty() {
            return;
        }
        let mut records = self.change();
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

    /// Takes what another daemon knows. True when any of it was news.
    pub fn merge(&self, told: &[(Digest, Record)], now: Timestamp) -> bool {
        if told.is_empty() {
            return false;
        }
        let mut records = self.change();
        let before: Vec<_> = told.iter().map(|(f, _)| records.standing(f)).collect();
        let changed = records.merge(told, self.clock.wall());
        let mut open = Vec::new();
        for ((fingerprint, _), before) in told.iter().zip(before) {
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

    /// Whether there are records for messages.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.state().updates.recent(now).next().is_some()
    }

    /// Takes the next records to tell. True when there are any.
    pub fn take_due(&self, now: Timestamp) -> bool {
        self.state().updates.take_due(MAX_RECORDS_PER_MESSAGE, now)
    }

    /// Records for a message.
    #[must_use]
    pub fn updates(&self, now: Timestamp) -> Vec<(Digest, Record)> {
        let told: Vec<_> = {
            let state = self.state();
            state
                .updates
                .recent(now)
                .take(MAX_RECORDS_PER_MESSAGE)
                .copied()
                .collect()
        };
        let records = self.records();
        let known = told.into_iter();
        known
            .filter_map(|f| Some((f, records.get(&f)?.clone())))
            .collect()
    }

    /// A digest of the records that all daemons should have alike; zero for none.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let records = self.records();
        *self.kept_summary().get_or_insert_with(|| records.summary())
    }

    /// The records that all daemons should have alike.
    #[must_use]
    pub fn replicated(&self) -> Vec<(Digest, Record)> {
        let records = self.records();
        records.replicated().map(|(f, r)| (*f, r.clone())).collect()
    }
}

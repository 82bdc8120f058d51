//! Records of requests, and of parts of their prompts, that crash servers, shared by all daemons.
//!
//! An entry only observes that a response was lost. It treats this as a crash until the server is
//! observed again with the same start time.

mod evidence;
mod exchange;
mod suspect;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::prompt_parts::{PartStanding, SuspectParts, VerdictChange};
use apricothall_decide::quarantine::{Records, SharedRecords, Standing};
use apricothall_kernel::Clock;
use apricothall_types::{Digest, MemberId, PromptPart, Timestamp};

pub use self::exchange::{CrashRecords, has_other_records};
pub use self::suspect::{Loss, Suspect, Verdict, crash_of};
use crate::log_budgets::LogBudgets;

/// Maximum time after the start of this daemon to wait for the records of others.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Records of requests and of parts of prompts that crash servers.
pub struct Quarantine {
    clock: Clock,
    log_budgets: Arc<LogBudgets>,
    started: Timestamp,
    synced: AtomicBool,
    requests: Mutex<SharedRecords<Digest>>,
    parts: Mutex<SuspectParts>,
}

impl Quarantine {
    /// Creates an empty set of records.
    #[must_use]
    pub fn new(clock: Clock, log_budgets: Arc<LogBudgets>) -> Self {
        let config = QuarantineConfig::default();
        let requests = Records::for_shared_batches(config.clone());
        Self {
            clock,
            log_budgets,
            started: clock.now(),
            synced: AtomicBool::new(false),
            requests: Mutex::new(SharedRecords::new(requests)),
            parts: Mutex::new(SuspectParts::new(config)),
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

    fn requests(&self) -> MutexGuard<'_, SharedRecords<Digest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn parts(&self) -> MutexGuard<'_, SuspectParts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of server crashes at which the request was present.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Digest) -> u32 {
        let requests = self.requests();
        let record = requests.records().get(fingerprint);
        let open = record.map_or(0, |r| r.open().count());
        u32::try_from(open).unwrap_or(u32::MAX)
    }

    /// Whether the request is permanently refused.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: &Digest) -> bool {
        self.requests().records().standing(fingerprint) == Standing::Condemned
    }

    /// Why a request is permanently refused, if it is.
    #[must_use]
    pub fn verdict(&self, fingerprint: &Digest, parts: &[PromptPart]) -> Option<Verdict> {
        if let PartStanding::Condemned(part) = self.part_standing(parts) {
            return Some(Verdict::Part(part));
        }
        self.is_condemned(fingerprint).then_some(Verdict::Request)
    }

    /// How a request is treated, given the parts of its prompt that other requests may share.
    #[must_use]
    pub fn part_standing(&self, parts: &[PromptPart]) -> PartStanding {
        if parts.is_empty() {
            return PartStanding::Clear;
        }
        self.parts().standing(parts, self.clock.wall())
    }

    /// Whether there are unconfirmed crashes, which are cleared if the server turns out to be still
    /// running.
    #[must_use]
    pub fn has_inferred_crashes(&self) -> bool {
        self.requests().has_inferred_crashes() || self.parts().has_inferred_crashes()
    }
}

/// Logs parts whose verdict has changed because of `cause`.
fn log_verdicts(parts: &SuspectParts, change: &VerdictChange, cause: &'static str) {
    for part in &change.condemned {
        let servers = parts.crashed_servers(part);
        let servers: Vec<_> = servers.iter().map(MemberId::as_str).collect();
        tracing::warn!(%part, servers = servers.join(","), cause, "part condemned");
    }
    for part in &change.released {
        tracing::warn!(%part, cause, "part no longer condemned");
    }
    metrics::counter!("apricothall_parts_condemned_total").increment(change.condemned.len() as u64);
}

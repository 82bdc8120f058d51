//! What an entry observes of requests and servers.

use std::time::Duration;

use apricothall_decide::quarantine::{Crash, Standing};
use apricothall_types::{Digest, Timestamp};

use super::{Loss, Quarantine, Suspect, log_verdicts};
use crate::log_budgets::millis;
use crate::request::logged_parts;

/// Delay before a loss by timeout is sent to other daemons, as it is rarely caused by a crash.
const SILENT_LOSS_DELAY: Duration = Duration::from_millis(1_200);

/// Maximum delay of status reports about a server.
const LIVENESS_LAG: Duration = Duration::from_millis(600);

impl Quarantine {
    /// Records that the response to a request was lost. This counts as a crash until the server is
    /// observed again with the same start time.
    pub fn lost(&self, fingerprint: Digest, crash: &Crash, loss: Loss, now: Timestamp) {
        let mut requests = self.requests();
        requests.lost(fingerprint, crash, false, now, self.clock.wall());
        let standing = requests.records().standing(&fingerprint);
        let wait = match loss {
            Loss::Silent if standing != Standing::Condemned => SILENT_LOSS_DELAY,
            Loss::Silent | Loss::Broken => Duration::ZERO,
        };
        requests.schedule(fingerprint, wait, now);
        drop(requests);
        metrics::counter!("apricothall_quarantine_crashes_total").increment(1);
        if standing == Standing::Condemned {
            tracing::warn!(fingerprint = %fingerprint.short(), server = %crash.id, born = %crash.boot, ?loss, "request condemned");
        } else if self.log_budgets.allow_failure(now) {
            tracing::info!(fingerprint = %fingerprint.short(), server = %crash.id, born = %crash.boot, ?loss, "request suspected");
        }
    }

    /// Records that the connection with a request was lost, whose server had been writing on it for
    /// `written`, as evidence against the parts of its prompt. Silence is none, as callers can
    /// cause it.
    pub fn parts_lost(
        &self,
        suspect: &Suspect,
        crash: &Crash,
        written: Option<Duration>,
        now: Timestamp,
    ) {
        if suspect.parts.is_empty() {
            return;
        }
        let (shared, tried) = (&suspect.parts, suspect.tried.as_ref());
        let wall = self.clock.wall();
        let mut parts = self.parts();
        let change = parts.lost(shared, tried, crash, written, now, wall);
        if self.log_budgets.allow_failure(now) {
            tracing::info!(server = %crash.id, born = %crash.boot, fingerprint = %suspect.fingerprint.short(), parts = %logged_parts(shared), tried = tried.map(display), written_ms = written.map(millis), "parts at a lost connection");
        }
        log_verdicts(&parts, &change, "own losses");
        metrics::counter!("apricothall_parts_crashes_total").increment(shared.len() as u64);
    }

    /// Records that a request completed and is therefore cleared, with the parts of its prompt.
    pub fn completed(&self, suspect: &Suspect, now: Timestamp) {
        let wall = self.clock.wall();
        if !suspect.parts.is_empty() {
            let mut parts = self.parts();
            let (cleared, change) = parts.completed(&suspect.parts, now, wall);
            log_verdicts(&parts, &change, "a whole answer");
            metrics::counter!("apricothall_parts_cleared_total").increment(cleared.len() as u64);
            for part in cleared {
                if self.log_budgets.allow_failure(now) {
                    tracing::info!(%part, "part cleared by a whole answer");
                }
            }
        }
        let mut requests = self.requests();
        if requests.records().standing(&suspect.fingerprint) != Standing::Clear {
            requests.completed(suspect.fingerprint, now, wall);
        }
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
        self.requests().ended(crash, now);
        self.parts().ended(crash, now);
    }

    fn disprove(&self, crash: &Crash, seen: Timestamp, now: Timestamp) {
        let requests = self.requests().disprove(crash, seen, now);
        let parts = {
            let mut parts = self.parts();
            let (cleared, change) = parts.disprove(crash, seen, now);
            log_verdicts(&parts, &change, "a server that lives");
            cleared
        };
        let cleared = requests + parts;
        if cleared == 0 {
            return;
        }
        if self.log_budgets.allow_failure(now) {
            tracing::info!(server = %crash.id, born = %crash.boot, count = requests, parts, "server lives; requests cleared");
        }
        metrics::counter!("apricothall_quarantine_cleared_total").increment(cleared as u64);
    }
}

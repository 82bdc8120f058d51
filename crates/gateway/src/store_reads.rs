//! Reads of the store in progress, and how long they take.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use apricothall_clients::http_client::ReceivedBytes;
use apricothall_types::Timestamp;

use crate::Context;
use crate::dialect::Subject;
use crate::log_budgets::millis;

/// Duration beyond the requested wait from which a read is logged as slow.
const SLOW_READ: Duration = Duration::from_millis(400);

/// Calls to the store in progress, and the bytes of all their answers.
#[derive(Debug, Default)]
pub struct StoreReads {
    /// Bytes of answers, including incomplete ones.
    pub received: ReceivedBytes,
    in_flight: Arc<AtomicU32>,
    /// When the last of the answered calls was sent, in ns.
    answered: AtomicU64,
}

/// A call in progress; it ends when dropped.
pub struct StoreRead {
    call: &'static str,
    subject: Subject,
    /// Time for which the store may hold the answer back.
    wait: Duration,
    started: Timestamp,
    in_flight: Arc<AtomicU32>,
}

impl Drop for StoreRead {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StoreReads {
    /// Counts a call as in progress.
    #[must_use]
    pub fn begin(
        &self,
        call: &'static str,
        subject: Subject,
        wait: Duration,
        now: Timestamp,
    ) -> StoreRead {
        metrics::counter!("apricothall_store_calls_total", "call" => call).increment(1);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        StoreRead {
            call,
            subject,
            wait,
            started: now,
            in_flight: self.in_flight.clone(),
        }
    }

    /// Records that a call has no answer and is repeated on another connection.
    pub fn record_repeat(&self, call: &'static str, subject: Subject) {
        metrics::counter!("apricothall_store_calls_total", "call" => call).increment(1);
        metrics::counter!("apricothall_store_calls_repeated_total", "call" => call).increment(1);
        let received = self.received.total();
        tracing::info!(
            call,
            ?subject,
            in_flight = self.in_flight(),
            received,
            "read of the store has no answer; repeated on another connection"
        );
    }

    /// When the last of the calls that have been answered was sent.
    #[must_use]
    pub fn latest_answered(&self) -> Timestamp {
        Timestamp(self.answered.load(Ordering::Relaxed))
    }

    /// Number of calls in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl StoreRead {
    /// Ends the call with an answer of `bytes`, or `None` without an answer.
    pub fn end(self, context: &Context, bytes: Option<usize>) {
        if bytes.is_some() {
            let answered = &context.store_reads.answered;
            answered.fetch_max(self.started.0, Ordering::Relaxed);
        }
        let took = context.clock.now().since(self.started);
        metrics::histogram!("apricothall_store_call_seconds", "call" => self.call)
            .record(took.as_secs_f64());
        if took < self.wait + SLOW_READ {
            return;
        }
        let reads = &context.store_reads;
        tracing::info!(call = self.call, subject = ?self.subject, took_ms = millis(took), wait_ms = millis(self.wait), bytes, in_flight = reads.in_flight(), received = reads.received.total(), "slow read of the store");
    }
}

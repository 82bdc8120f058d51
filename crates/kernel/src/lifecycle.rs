//! Phases of a daemon: running, leaving, stopping.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::DrainConfig;
use apricothall_decide::drain::{self, Drain, DrainTrigger, Intake, Step};
use apricothall_types::{Role, Timestamp};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;

/// Time that background tasks have to end when the daemon stops.
const TASK_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a leaving daemon checks whether it may end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tells plug-ins when to stop accepting work and when to end.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    clock: Clock,
    drain: Arc<Mutex<Drain>>,
    leaving: CancellationToken,
    stopping: CancellationToken,
    tasks: TaskTracker,
    work: WorkCounter,
    deliveries: WorkCounter,
    transfers: WorkCounter,
}

/// Counts work in progress.
#[derive(Clone, Debug)]
struct WorkCounter {
    count: Arc<watch::Sender<usize>>,
}

impl WorkCounter {
    fn begin(&self) -> WorkGuard {
        self.count.send_modify(|n| *n += 1);
        WorkGuard { work: self.clone() }
    }

    fn count(&self) -> usize {
        *self.count.borrow()
    }
}

impl Default for WorkCounter {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

/// Counts a unit of work as in progress until dropped.
#[derive(Debug)]
pub struct WorkGuard {
    work: WorkCounter,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.work.count.send_modify(|n| *n -= 1);
    }
}

impl Lifecycle {
    /// Creates the lifecycle of a running daemon of `role`.
    #[must_use]
    pub fn new(config: DrainConfig, role: Role, clock: Clock) -> Self {
        Self {
            clock,
            drain: Arc::new(Mutex::new(Drain::new(config, role))),
            leaving: CancellationToken::default(),
            stopping: CancellationToken::default(),
            tasks: TaskTracker::default(),
            work: WorkCounter::default(),
            deliveries: WorkCounter::default(),
            transfers: WorkCounter::default(),
        }
    }

    /// Starts to drain at the first trigger. Later ones have no effect: work in progress is not
    /// interrupted.
    pub fn start_drain(&self, trigger: DrainTrigger) {
        if self.drain().record_trigger(trigger, self.clock.now()) {
            tracing::info!(sign = ?trigger, in_progress = self.in_progress(), "leaving");
            metrics::counter!("apricothall_leave_signs_total", "sign" => trigger_label(trigger))
                .increment(1);
        }
        self.leaving.cancel();
    }

    /// How to treat a request that arrives now.
    #[must_use]
    pub fn intake(&self) -> Intake {
        self.drain().intake(self.clock.now())
    }

    /// Whether a request with `deadline` may still be running when this daemon ends.
    #[must_use]
    pub fn may_outlast(&self, deadline: Timestamp) -> bool {
        self.drain().may_outlast(deadline)
    }

    /// Waits until the daemon may end. [`Step::Abort`] means that work is aborted at the limit.
    pub async fn drained(&self) -> Step {
        loop {
            let work = drain::Work {
                running: count(self.work.count()),
                deliveries: count(self.deliveries.count()),
                transfers: count(self.transfers.count()),
            };
            let step = self.drain().step(work, self.clock.now());
            if matches!(step, Step::End | Step::Abort) {
                return step;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn drain(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Waits until the daemon starts to drain.
    pub async fn drain_started(&self) {
        self.leaving.cancelled().await;
    }

    /// Waits until background tasks must end.
    pub async fn stopped(&self) {
        self.stopping.cancelled().await;
    }

    /// Token that is cancelled when background tasks must end.
    #[must_use]
    pub fn stop_token(&self) -> CancellationToken {
        self.stopping.clone()
    }

    /// Runs `task` in the background until it ends or the daemon stops.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stopping.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Runs `task` in the background. The task must watch [`Self::stop_token`] and end by itself.
    pub fn spawn_graceful<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(task);
    }

    /// Counts a request as in progress until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.work.begin()
    }

    /// Counts a transfer that serves a peer as in progress until the guard is dropped. A leaving
    /// daemon waits for it for a limited time.
    #[must_use]
    pub fn begin_transfer(&self) -> WorkGuard {
        self.transfers.begin()
    }

    /// Counts a connection whose peer may not have received its last answer, until the guard is
    /// dropped. A leaving daemon waits for it as for a request.
    #[must_use]
    pub fn begin_delivery(&self) -> WorkGuard {
        self.deliveries.begin()
    }

    /// Number of connections whose peer may not have received its last answer.
    #[must_use]
    pub fn deliveries(&self) -> usize {
        self.deliveries.count()
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.work.count()
    }

    /// Ends background tasks and waits for them.
    pub async fn close(self) {
        self.stopping.cancel();
        self.tasks.close();
        // A task that does not yield ends with the process.
        let _ = tokio::time::timeout(TASK_SHUTDOWN_TIMEOUT, self.tasks.wait()).await;
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn trigger_label(trigger: DrainTrigger) -> &'static str {
    match trigger {
        DrainTrigger::Signal => "signal",
        DrainTrigger::VmList => "vm_list",
        DrainTrigger::Peer => "peer",
    }
}

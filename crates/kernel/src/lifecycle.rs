//! Phases of a daemon: running, leaving, stopping.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest wait for background tasks once the daemon is stopping.
const TASK_GRACE: Duration = Duration::from_secs(2);

/// Tells plug-ins when to take no new work and when to end.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    leaving: CancellationToken,
    stopping: CancellationToken,
    tasks: TaskTracker,
    work: Work,
}

/// Number of requests and uploads in progress.
#[derive(Clone, Debug)]
struct Work {
    count: Arc<watch::Sender<usize>>,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

/// Marks a piece of work as in progress until dropped.
#[derive(Debug)]
pub struct WorkGuard {
    work: Work,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.work.count.send_modify(|n| *n -= 1);
    }
}

impl Lifecycle {
    /// Begins to leave: no new work from now on.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Waits until the daemon is leaving.
    pub async fn left(&self) {
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

    /// Counts a piece of work as in progress until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.work.count.send_modify(|n| *n += 1);
        WorkGuard {
            work: self.work.clone(),
        }
    }

    /// Number of pieces of work in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        *self.work.count.borrow()
    }

    /// Waits until no work is in progress.
    pub async fn idle(&self) {
        let mut count = self.work.count.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = count.wait_for(|n| *n == 0).await;
    }

    /// Ends background tasks and waits for them.
    pub async fn close(self) {
        self.stopping.cancel();
        self.tasks.close();
        // A task that does not yield is abandoned with the process.
        let _ = tokio::time::timeout(TASK_GRACE, self.tasks.wait()).await;
    }
}

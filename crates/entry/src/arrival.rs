//! Estimates how long a request may have waited in a socket before it is read.
//!
//! After the process has been paused (`SIGSTOP`, VM freeze), requests in its socket buffers may
//! have waited for the whole pause. Their deadlines count from their arrival, which is assumed to
//! be the last time at which the process was observed to run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_kernel::Clock;
use apricothall_types::Timestamp;

/// Interval between two ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Gap between two ticks beyond which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time after a pause during which buffered requests may still be read.
const BACKLOG_WINDOW: Duration = Duration::from_secs(1);

/// An interval in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    start: Timestamp,
    end: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct State {
    last_tick: Timestamp,
    last_pause: Option<Pause>,
}

/// Detects pauses of the process from the gaps between its ticks.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
}

impl PauseDetector {
    /// Creates a detector that has recorded no pause; the first tick is at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        let state = State {
            last_tick: now,
            last_pause: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records that the process runs at `now`.
    pub fn record_tick(&self, now: Timestamp) {
        let mut state = self.lock();
        if now.since(state.last_tick) > PAUSE_THRESHOLD {
            state.last_pause = Some(Pause {
                start: state.last_tick,
                end: now,
            });
        }
        state.last_tick = now;
    }

    /// Returns the longest time that a request read at `now` may have waited in a socket.
    #[must_use]
    pub fn max_wait(&self, now: Timestamp) -> Duration {
        self.record_tick(now);
        let recent_pause = self
            .lock()
            .last_pause
            .filter(|pause| now.since(pause.end) < BACKLOG_WINDOW);
        recent_pause.map_or(Duration::ZERO, |pause| now.since(pause.start))
    }

    /// Records ticks until the task is dropped.
    pub async fn run(self: Arc<Self>, clock: Clock) {
        loop {
            self.record_tick(clock.now());
            tokio::time::sleep(TICK_PERIOD).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

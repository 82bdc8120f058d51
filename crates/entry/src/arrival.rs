//! When a request that is read now may have arrived.
//!
//! A process that was stopped finds requests in its sockets that have waited for as long. Their
//! deadlines count from their arrival, which is taken to be the last time at which the process
//! is known to have run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_kernel::Clock;
use apricothall_types::Timestamp;

/// Time between two notes that the process runs.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Gap between two notes beyond which the process was stopped.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time after a stop in which requests that waited are still being read.
const BACKLOG_WINDOW: Duration = Duration::from_secs(1);

/// A stop of the process.
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

/// Notes of when the process ran.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
}

impl PauseDetector {
    /// The process has run without a stop until `now`.
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

    /// Notes that the process runs at `now`.
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

    /// Longest time that a request which is read at `now` may have waited unread.
    #[must_use]
    pub fn max_wait(&self, now: Timestamp) -> Duration {
        self.record_tick(now);
        let recent_pause = self
            .lock()
            .last_pause
            .filter(|pause| now.since(pause.end) < BACKLOG_WINDOW);
        recent_pause.map_or(Duration::ZERO, |pause| now.since(pause.start))
    }

    /// Notes that the process runs for as long as it does.
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

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
const PERIOD: Duration = Duration::from_millis(100);

/// Gap between two notes beyond which the process was stopped.
const STOPPED: Duration = Duration::from_millis(500);

/// Time after a stop in which requests that waited are still being read.
const BACKLOG: Duration = Duration::from_secs(1);

/// A stop of the process.
#[derive(Clone, Copy, Debug)]
struct Stop {
    since: Timestamp,
    until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct State {
    last: Timestamp,
    stop: Option<Stop>,
}

/// Notes of when the process ran.
#[derive(Debug)]
pub struct Arrival {
    state: Mutex<State>,
}

impl Arrival {
    /// The process has run without a stop until `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        let state = State {
            last: now,
            stop: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Notes that the process runs at `now`.
    pub fn note(&self, now: Timestamp) {
        let mut state = self.lock();
        if now.since(state.last) > STOPPED {
            state.stop = Some(Stop {
                since: state.last,
                until: now,
            });
        }
        state.last = now;
    }

    /// Longest time that a request which is read at `now` may have waited unread.
    #[must_use]
    pub fn waited(&self, now: Timestamp) -> Duration {
        self.note(now);
        let recent = self
            .lock()
            .stop
            .filter(|stop| now.since(stop.until) < BACKLOG);
        recent.map_or(Duration::ZERO, |stop| now.since(stop.since))
    }

    /// Notes that the process runs for as long as it does.
    pub async fn follow(self: Arc<Self>, clock: Clock) {
        loop {
            self.note(clock.now());
            tokio::time::sleep(PERIOD).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Rate limiter in bytes per second, shared by many tasks in order of arrival.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Idle time that a limiter can catch up on in one burst.
const BURST: Duration = Duration::from_millis(4);

/// Largest number of bytes to take at once, so that tasks share the rate fairly.
pub const MAX_SEGMENT: usize = 16 << 10;

struct State {
    rate: Option<u64>,
    next: Instant,
}

impl std::fmt::Debug for Bucket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Bucket")
    }
}

/// A rate limiter. Clones share the limit. Without a rate, no call waits.
#[derive(Clone)]
pub struct Bucket(Arc<Mutex<State>>);

impl Bucket {
    /// Creates a limiter of `rate` bytes per second, or an unlimited one.
    #[must_use]
    pub fn new(rate: Option<u64>) -> Self {
        let next = Instant::now();
        Self(Arc::new(Mutex::new(State { rate, next })))
    }

    /// Changes the limit for subsequent calls.
    pub fn set_rate(&self, rate: Option<u64>) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.rate = rate;
        state.next = Instant::now();
    }

    /// Waits until `count` bytes may pass. Calls are served in order.
    pub async fn take(&self, count: usize) {
        let Some(start) = self.reserve(count) else {
            return;
        };
        tokio::time::sleep_until(start).await;
    }

    /// Reserves `count` bytes and returns the time at which they may pass, if it is in the future.
    pub(crate) fn reserve(&self, count: usize) -> Option<Instant> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = state.rate?.max(1);
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = state.next.max(earliest);
        let nanos = (count as u64).saturating_mul(1_000_000_000) / rate;
        state.next = start + Duration::from_nanos(nanos);
        (start > now).then_some(start)
    }
}

//! A rate in bytes a second that many tasks share in order of arrival.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time that an idle bucket may make up for at once.
const BURST: Duration = Duration::from_millis(4);

/// Largest piece to take at once, in bytes, so that sharing stays fair.
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

/// A shared limit. Clones share it. Without a rate nothing waits.
#[derive(Clone)]
pub struct Bucket(Arc<Mutex<State>>);

impl Bucket {
    /// A limit of `rate` bytes a second, or none.
    #[must_use]
    pub fn new(rate: Option<u64>) -> Self {
        let next = Instant::now();
        Self(Arc::new(Mutex::new(State { rate, next })))
    }

    /// Changes the limit for pieces taken from now on.
    pub fn set_rate(&self, rate: Option<u64>) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.rate = rate;
        state.next = Instant::now();
    }

    /// Waits until `count` bytes may pass. Callers are served in order of their calls.
    pub async fn take(&self, count: usize) {
        let Some(start) = self.reserve(count) else {
            return;
        };
        tokio::time::sleep_until(start).await;
    }

    /// Books `count` bytes and gives the time when they may pass, when that lies ahead.
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

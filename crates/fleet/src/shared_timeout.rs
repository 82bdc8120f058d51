//! A time-out that is changed while a connection uses it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A time-out in whole milliseconds, or none. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedTimeout(Arc<AtomicU64>);

/// Stands for no time-out.
const NONE: u64 = 0;

impl SharedTimeout {
    /// A time-out that starts as `timeout`.
    #[must_use]
    pub fn new(timeout: Option<Duration>) -> Self {
        Self(Arc::new(AtomicU64::new(to_millis(timeout))))
    }

    /// Changes the time-out.
    pub fn set(&self, timeout: Option<Duration>) {
        self.0.store(to_millis(timeout), Ordering::Relaxed);
    }

    /// The time-out.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        let millis = self.0.load(Ordering::Relaxed);
        (millis != NONE).then(|| Duration::from_millis(millis))
    }
}

fn to_millis(timeout: Option<Duration>) -> u64 {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX).max(1);
    timeout.map_or(NONE, millis)
}

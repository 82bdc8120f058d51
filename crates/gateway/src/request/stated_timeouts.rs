//! The longest time limit that callers state for each route, with which retries are recognised.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;

/// A request whose stated time is below this percentage of the longest time stated for its route is
/// considered a retry.
const RETRY_PERCENT: u32 = 84;

/// Longest time stated by callers, by route.
#[derive(Default)]
pub struct StatedTimeouts {
    longest: Mutex<HashMap<SmolStr, Duration>>,
}

impl StatedTimeouts {
    /// Records the time that a caller states, of which no more than that of the route may count: all
    /// later requests are compared with it. Returns whether the request is considered a retry.
    pub fn record(&self, route: &SmolStr, stated: Duration) -> bool {
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = longest.entry(route.clone()).or_default();
        *known = (*known).max(stated);
        stated * 100 < *known * RETRY_PERCENT
    }
}

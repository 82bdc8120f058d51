//! Crashes that were inferred from lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::Timestamp;

use super::Crash;

/// Time after which a server that was not seen again is considered crashed.
const CONFIRM_AFTER: Duration = Duration::from_secs(30);

/// Keys that may have caused a crash, with the time at which each was recorded.
type Since<K> = BTreeMap<K, Timestamp>;

/// Inferred crashes that are not confirmed yet.
#[derive(Clone, Debug)]
pub struct InferredCrashes<K> {
    crashes: BTreeMap<Crash, Since<K>>,
}

impl<K> Default for InferredCrashes<K> {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
        }
    }
}

impl<K: Ord> InferredCrashes<K> {
    /// Records at `now` that `crash` may have happened while `key` ran.
    pub fn record(&mut self, crash: &Crash, key: K, now: Timestamp) {
        let crash = self.crashes.entry(crash.clone()).or_default();
        crash.entry(key).or_insert(now);
    }

    /// Removes crashes that count as confirmed by now.
    pub fn expire(&mut self, now: Timestamp) {
        for since in self.crashes.values_mut() {
            since.retain(|_, at| now.since(*at) < CONFIRM_AFTER);
        }
        self.crashes.retain(|_, since| !since.is_empty());
    }

    /// Records that the server was seen at `seen` with the start named by `crash`. Returns the
    /// keys recorded before that time, which therefore did not crash it.
    pub fn disprove(&mut self, crash: &Crash, seen: Timestamp) -> Vec<K> {
        let Some(since) = self.crashes.get_mut(crash) else {
            return Vec::new();
        };
        let cleared: Vec<_> = since.extract_if(.., |_, at| *at < seen).collect();
        if since.is_empty() {
            self.crashes.remove(crash);
        }
        cleared.into_iter().map(|(key, _)| key).collect()
    }

    /// Keys for which the crash is not confirmed yet.
    pub fn keys(&self, crash: &Crash) -> impl Iterator<Item = &K> {
        self.crashes.get(crash).into_iter().flat_map(Since::keys)
    }

    /// Whether all inferred crashes were confirmed or disproved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}

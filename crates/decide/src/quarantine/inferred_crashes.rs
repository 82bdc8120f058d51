//! Crashes that were inferred from lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{Digest, Timestamp};

use super::Crash;

/// Time after which a server that was not seen again is considered crashed.
const CONFIRM_AFTER: Duration = Duration::from_secs(30);

/// Fingerprints that may have caused a crash, with the time at which each was recorded.
type Since = BTreeMap<Digest, Timestamp>;

/// Inferred crashes that are not confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct InferredCrashes {
    crashes: BTreeMap<Crash, Since>,
}

impl InferredCrashes {
    /// Records at `now` that `crash` may have happened while `fingerprint` ran.
    pub fn record(&mut self, crash: &Crash, fingerprint: Digest, now: Timestamp) {
        let crash = self.crashes.entry(crash.clone()).or_default();
        crash.entry(fingerprint).or_insert(now);
    }

    /// Removes crashes that count as confirmed by now.
    pub fn expire(&mut self, now: Timestamp) {
        for since in self.crashes.values_mut() {
            since.retain(|_, at| now.since(*at) < CONFIRM_AFTER);
        }
        self.crashes.retain(|_, since| !since.is_empty());
    }

    /// Records that the server was seen at `seen` with the start named by `crash`. Returns the
    /// fingerprints recorded before that time, which therefore did not crash it.
    pub fn disprove(&mut self, crash: &Crash, seen: Timestamp) -> Vec<Digest> {
        let Some(since) = self.crashes.get_mut(crash) else {
            return Vec::new();
        };
        let cleared: Vec<_> = since.extract_if(.., |_, at| *at < seen).collect();
        if since.is_empty() {
            self.crashes.remove(crash);
        }
        cleared.into_iter().map(|(f, _)| f).collect()
    }

    /// Fingerprints for which the crash is not confirmed yet.
    pub fn fingerprints(&self, crash: &Crash) -> impl Iterator<Item = &Digest> {
        self.crashes.get(crash).into_iter().flat_map(Since::keys)
    }

    /// Whether all inferred crashes were confirmed or disproved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}

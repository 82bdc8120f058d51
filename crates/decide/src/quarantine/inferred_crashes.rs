//! Crashes that were inferred from lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{Digest, Timestamp};

use super::Crash;

/// Time after which a server that was not seen again counts as ended.
const CONFIRM_AFTER: Duration = Duration::from_secs(30);

/// Fingerprints that a server may have ended under, with the times at which that became known
/// here.
type Since = BTreeMap<Digest, Timestamp>;

/// Crashes that may not have happened.
#[derive(Clone, Debug, Default)]
pub struct InferredCrashes {
    crashes: BTreeMap<Crash, Since>,
}

impl InferredCrashes {
    /// Notes at `now` that `crash` may have happened under `fingerprint`.
    pub fn record(&mut self, crash: &Crash, fingerprint: Digest, now: Timestamp) {
        let crash = self.crashes.entry(crash.clone()).or_default();
        crash.entry(fingerprint).or_insert(now);
    }

    /// Drops what is certain by now.
    pub fn expire(&mut self, now: Timestamp) {
        for since in self.crashes.values_mut() {
            since.retain(|_, at| now.since(*at) < CONFIRM_AFTER);
        }
        self.crashes.retain(|_, since| !since.is_empty());
    }

    /// Notes that the server was in the life that `crash` names at the time `seen`. Returns the
    /// fingerprints that became known before, which it therefore did not end under.
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

    /// Fingerprints that the crash is in doubt for.
    pub fn fingerprints(&self, crash: &Crash) -> impl Iterator<Item = &Digest> {
        self.crashes.get(crash).into_iter().flat_map(Since::keys)
    }

    /// Whether nothing is in doubt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}

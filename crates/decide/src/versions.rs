//! Versions of models as operators name them, and until when an older one may still be used.
//!
//! A version must be out of use a stated time after the first newer one was named. A process that
//! starts does not know when a version was named; it takes it for long ago until a peer tells.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::Timestamp;

/// Versions of one model, each with the time at which it was named, if that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    published: BTreeMap<u64, Option<Timestamp>>,
}

impl Versions {
    /// Takes a version. `since` is when it was named at the latest. True when it is news.
    pub fn publish(&mut self, version: u64, since: Option<Timestamp>) -> bool {
        let known = self.published.entry(version);
        let is_new = matches!(known, std::collections::btree_map::Entry::Vacant(_));
        let kept = known.or_insert(since);
        *kept = match (*kept, since) {
            (Some(old), Some(new)) => Some(old.min(new)),
            (old, new) => old.or(new),
        };
        is_new
    }

    /// The newest version.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.published.keys().next_back().copied()
    }

    /// When `version` must be out of use, `allowed` after the first newer one was named. None
    /// while it is the newest.
    #[must_use]
    pub fn retirement_due(&self, version: u64, allowed: Duration) -> Option<Timestamp> {
        let newer = self.published.range(version + 1..);
        let dues = newer.map(|(_, since)| since.map_or(Timestamp::default(), |s| s + allowed));
        dues.min()
    }

    /// Whether a request that is to begin within `margin` may be bound to `version`.
    #[must_use]
    pub fn is_usable(
        &self,
        version: u64,
        allowed: Duration,
        margin: Duration,
        now: Timestamp,
    ) -> bool {
        self.retirement_due(version, allowed)
            .is_none_or(|due| now + margin < due)
    }

    /// All versions with the times since they were named.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Option<Timestamp>)> {
        self.published
            .iter()
            .map(|(version, since)| (*version, *since))
    }
}

//! Published model versions, and until when an older version may still be used.
//!
//! A version must be retired a fixed time after the first newer one was published. A process that
//! has just started has no publication times and treats them as long past until a peer reports
//! them.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use apricothall_types::Timestamp;

/// Time within which the store answers a watch for changes that it already has.
const PROMPT_ANSWER: Duration = Duration::from_millis(60);

/// Longest time between two answers of the store after which a change still counts from the first.
/// After a longer one the store was away, and servers get the full time to load a version.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Earliest time of a change in an answer of the store that was received at `now`. The request was
/// sent at `asked`, and `previous` is when the previous answer, without the change, was received. A
/// request that the store held open was answered as soon as the change was made.
#[must_use]
pub fn earliest_change(previous: Option<Timestamp>, asked: Timestamp, now: Timestamp) -> Timestamp {
    let was_held_open = now.since(asked) >= PROMPT_ANSWER;
    match previous.filter(|at| now.since(*at) < MAX_GAP) {
        Some(previous) if !was_held_open => previous.min(now),
        _ => now,
    }
}

/// Versions of one model, each with its publication time if that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    published: BTreeMap<u64, Option<Timestamp>>,
}

impl Versions {
    /// Adds a version that was published at `since` or earlier. Returns true if it is new. If the
    /// version is already known, the earlier time is kept.
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

    /// Whether `version` is known.
    #[must_use]
    pub fn contains(&self, version: u64) -> bool {
        self.published.contains_key(&version)
    }

    /// The highest published version.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.published.keys().next_back().copied()
    }

    /// Time at which `version` must be retired: `allowed` after the first newer version was
    /// published. `None` while it is the newest.
    #[must_use]
    pub fn retirement_due(&self, version: u64, allowed: Duration) -> Option<Timestamp> {
        let newer = self
            .published
            .range((Bound::Excluded(version), Bound::Unbounded));
        let dues = newer.map(|(_, since)| since.map_or(Timestamp::default(), |s| s + allowed));
        dues.min()
    }

    /// Whether a request that starts within `margin` may still be assigned to `version`.
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

    /// All versions with their publication times.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Option<Timestamp>)> {
        self.published
            .iter()
            .map(|(version, since)| (*version, *since))
    }
}

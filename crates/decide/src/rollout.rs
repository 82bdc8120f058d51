//! Rolling a version over while a stated number of replicas serves.
//!
//! In each zone the replicas are ranked by rendezvous hash over the list. A replica may reload
//! when fewer than `window` of those ranked before it lack the new version, and when it would
//! not bring the replicas out of service above `window`. The first rule bounds reloads whatever
//! the age of the view, as "serves the new version since its change" stays true until the next
//! change; the second one only narrows it.

mod placement;

use std::num::NonZeroU32;

use apricothall_types::{MemberId, Revision, Timestamp, Version};

pub use placement::{Candidate, place};

use crate::configs::RolloutConfig;

/// Last report of a replica in the own zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The replica.
    pub id: MemberId,
    /// Version that its engines serve; `None` while they are out of service.
    pub serving: Option<Version>,
    /// Revision of the catalogue in force at the replica then.
    pub revision: Revision,
    /// When the report was made, on the own clock.
    pub at: Timestamp,
}

/// The agent's own part in an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalState {
    /// Version that its engines serve.
    pub serving: Option<Version>,
    /// Version being loaded, if any.
    pub loading: Option<Version>,
    /// Versions held whole and verified.
    pub complete: Vec<Version>,
}

/// What the entry asks for, as this agent sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Version to serve.
    pub version: Version,
    /// Revision of the catalogue that made it the wanted one, as first seen here.
    pub since: Revision,
    /// Replicas of the own zone in rank order, this agent included; from [`ranks`].
    pub ranks: Vec<MemberId>,
    /// Replicas that may reload at once in the zone.
    pub window: NonZeroU32,
}

/// Why an agent does not reload yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Replicas ranked before this one lack the new version.
    Rank,
    /// Enough replicas are out of service or unseen.
    Window,
    /// The engine is loading.
    Loading,
}

/// What an agent does for one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Fetch this version, and go on serving the old one.
    Fetch(Version),
    /// Order the engine to load this version.
    Reload(Version),
    /// Do nothing yet.
    Wait(Reason),
    /// Serve on: the wanted version is in service.
    Keep,
    /// Not a replica: stop serving once what runs has ended, and release the chunks.
    Drop,
}

/// Replicas of one zone in rank order. `subject` is the entry's name.
#[must_use]
pub fn ranks(subject: &str, replicas: &[MemberId]) -> Vec<MemberId> {
    crate::rank::order(subject.as_bytes(), replicas)
        .into_iter()
        .cloned()
        .collect()
}

/// Decides for `me`. `wanted` is `None` when the entry is gone or this agent is no replica.
///
/// A load under way is never broken off: a version that changes mid-way is taken up once the
/// engine has finished. A rollback is a change like any other; versions still held need no fetch.
#[must_use]
pub fn decide(
    config: &RolloutConfig,
    me: &MemberId,
    own: &LocalState,
    wanted: Option<&Target>,
    reports: &[Report],
    now: Timestamp,
) -> Decision {
    if own.loading.is_some() {
        return Decision::Wait(Reason::Loading);
    }
    let Some(wanted) = wanted else {
        return Decision::Drop;
    };
    let Some(rank) = wanted.ranks.iter().position(|id| id == me) else {
        return Decision::Drop;
    };
    if own.serving.as_ref() == Some(&wanted.version) {
        return Decision::Keep;
    }
    if !own.complete.contains(&wanted.version) {
        return Decision::Fetch(wanted.version.clone());
    }
    let window = wanted.window.get() as usize;
    let report = |id: &MemberId| reports.iter().find(|r| r.id == *id);
    // A report from before the change may speak of the same version: a rollback returns to it.
    let is_new =
        |r: &Report| r.serving.as_ref() == Some(&wanted.version) && r.revision >= wanted.since;
    let has_new = |id: &&MemberId| report(id).is_some_and(is_new);
    let lacking = wanted.ranks[..rank].iter().filter(|id| !has_new(id));
    if lacking.count() >= window {
        return Decision::Wait(Reason::Rank);
    }
    let is_serving = |id: &MemberId| {
        report(id).is_some_and(|r| r.serving.is_some() && now.since(r.at) <= config.stale.0)
    };
    let others = wanted.ranks.iter().filter(|id| *id != me);
    let out = others.filter(|id| !is_serving(id)).count();
    // An engine that serves nothing takes no replica out of service by loading.
    if own.serving.is_some() && out >= window {
        return Decision::Wait(Reason::Window);
    }
    Decision::Reload(wanted.version.clone())
}

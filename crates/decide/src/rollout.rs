//! Rolling update of a version with a bounded number of replicas out of service.
//!
//! In each zone the replicas are ranked by rendezvous hash. A replica may reload if fewer than
//! `window` higher-ranked replicas lack the new version, and if reloading does not raise the
//! number of replicas out of service above `window`. The first rule bounds concurrent reloads even
//! for stale views, because a replica that serves the new version keeps serving it until the next
//! change. The second rule only restricts reloads further.

mod placement;

use std::num::NonZeroU32;

use apricothall_types::{MemberId, Revision, Timestamp, Version};

pub use placement::{Candidate, place};

use crate::configs::RolloutConfig;

/// Latest report of a replica in this agent's zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id of the replica.
    pub id: MemberId,
    /// Version served by its engines, or `None` while they are out of service.
    pub serving: Option<Version>,
    /// Catalogue revision in force at the replica at the time of the report.
    pub revision: Revision,
    /// Time of the report on this agent's clock.
    pub at: Timestamp,
}

/// State of this agent for one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalState {
    /// Version served by its engines.
    pub serving: Option<Version>,
    /// Version being loaded, if any.
    pub loading: Option<Version>,
    /// Versions fully held and verified.
    pub complete: Vec<Version>,
}

/// Target state of an entry in this agent's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Version to serve.
    pub version: Version,
    /// Catalogue revision at which this agent first saw `version` as the wanted one.
    pub since: Revision,
    /// Replicas of the zone in rank order, including this agent, as returned by [`ranks`].
    pub ranks: Vec<MemberId>,
    /// Maximum number of replicas in the zone that may reload at once.
    pub window: NonZeroU32,
}

/// Reason why an agent does not reload yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too many higher-ranked replicas lack the new version.
    Rank,
    /// The maximum number of replicas is out of service or has no recent report.
    Window,
    /// The engine is loading.
    Loading,
}

/// Action of an agent for one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Fetch this version and keep serving the old one.
    Fetch(Version),
    /// Order the engine to load this version.
    Reload(Version),
    /// Do nothing yet.
    Wait(Reason),
    /// Keep serving, as the wanted version is in service.
    Keep,
    /// This agent is not a replica: stop serving once running requests have finished, and release
    /// the chunks.
    Drop,
}

/// Returns the replicas of one zone in rank order. `subject` is the entry's name.
#[must_use]
pub fn ranks(subject: &str, replicas: &[MemberId]) -> Vec<MemberId> {
    crate::rank::order(subject.as_bytes(), replicas)
        .into_iter()
        .cloned()
        .collect()
}

/// Returns the next action of `me`. `wanted` is `None` if the entry was removed or this agent is
/// not a replica.
///
/// A load in progress is never aborted. If the wanted version changes during a load, the change is
/// handled once the engine has finished. A rollback is treated like any other change; versions
/// that are still held need no fetch.
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
    // A report from before the change may name the same version, as a rollback returns to it.
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
    // Loading an engine that serves nothing does not take a replica out of service.
    if own.serving.is_some() && out >= window {
        return Decision::Wait(Reason::Window);
    }
    Decision::Reload(wanted.version.clone())
}

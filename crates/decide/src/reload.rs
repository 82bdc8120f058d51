//! Decides when an agent orders its engine to load another version.
//!
//! The engines of a zone reload in batches, so that the others keep serving. An empty engine
//! serves nothing and loads immediately. Shortly before the deadline all engines load.

use std::time::Duration;

use apricothall_types::{MemberId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::rank;

/// Progress of an engine towards the wanted version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// No version is loaded.
    Empty,
    /// An older version is loaded, and the wanted one is not fully fetched.
    Fetching,
    /// An older version is loaded, and the wanted one is fully fetched.
    Complete,
    /// The engine is loading.
    Loading,
    /// The wanted version is loaded.
    Done,
}

/// Another engine of the zone, as reported by its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Id of the agent.
    pub id: MemberId,
    /// Progress of the agent's engine.
    pub progress: Progress,
}

/// Settings of [`may_load`].
#[derive(Clone, Copy, Debug)]
pub struct ReloadConfig {
    /// Maximum percentage of a zone's engines that may load at once.
    pub loading_percent: usize,
    /// Time before the deadline from which on all engines may load.
    pub deadline_margin: Duration,
    /// Time to wait after the last piece has arrived, so that reports of the zone's other engines
    /// are up to date.
    pub settle: Duration,
}

impl Default for ReloadConfig {
    fn default() -> Self {
        Self {
            loading_percent: 40,
            deadline_margin: Duration::from_secs(1),
            settle: Duration::from_millis(250),
        }
    }
}

const FULL_PERCENT: usize = 100;

/// A version whose fetch is in progress when a newer one is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialFetch {
    /// Number of its pieces held by this agent or another one.
    pub available: u32,
    /// Total number of its pieces.
    pub pieces: u32,
    /// Deadline after which the version must no longer be served.
    pub due: Timestamp,
}

/// Percentage of a version's pieces that must be available for its fetch to continue.
const MIN_AVAILABLE_PERCENT: u32 = 25;

/// Minimum remaining service time for which loading a version is worthwhile.
pub const MIN_SERVICE_TIME: Duration = Duration::from_millis(1_500);

/// Returns whether to finish fetching a version although a newer one has been published.
///
/// Pieces that the origin has already sent reach all agents soon. The newer version has yet to be
/// sent, and the origin may become unavailable before that, while the version currently served
/// expires before either of them.
#[must_use]
pub fn should_finish_older(partial: PartialFetch, now: Timestamp) -> bool {
    let available = u64::from(partial.available) * 100;
    partial.pieces > 0
        && available >= u64::from(partial.pieces) * u64::from(MIN_AVAILABLE_PERCENT)
        && now + MIN_SERVICE_TIME < partial.due
}

/// Returns whether the engine of `one` has priority over that of `other` when both could load.
#[must_use]
pub fn loads_before(one: &MemberId, other: &MemberId) -> bool {
    rank::weight(b"reload", one) > rank::weight(b"reload", other)
}

/// Returns whether the engine of `me`, which has held all pieces since `complete`, may load now.
///
/// `neighbours` are the other engines of the zone, and `due` is the deadline for loading.
#[must_use]
pub fn may_load(
    config: &ReloadConfig,
    me: &MemberId,
    own: Progress,
    complete: Timestamp,
    neighbours: &[Neighbour],
    due: Timestamp,
    now: Timestamp,
) -> bool {
    match own {
        Progress::Empty => return true,
        Progress::Complete => {}
        Progress::Fetching | Progress::Loading | Progress::Done => return false,
    }
    if now + config.deadline_margin >= due {
        return true;
    }
    if now.since(complete) < config.settle {
        return false;
    }
    let in_use = |n: &&Neighbour| n.progress != Progress::Empty;
    let engines = neighbours.iter().filter(in_use).count() + 1;
    let max_loading = (engines * config.loading_percent).div_ceil(FULL_PERCENT);
    let loading = neighbours
        .iter()
        .filter(|n| n.progress == Progress::Loading)
        .count();
    let ahead = neighbours
        .iter()
        .filter(|n| n.progress == Progress::Complete && loads_before(&n.id, me))
        .count();
    loading + ahead < max_loading
}

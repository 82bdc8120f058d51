//! When an agent orders its engine to load another version.
//!
//! Engines of a zone reload in waves, so that a part of them keeps serving. An empty engine
//! serves nothing and loads at once. Near the end of the time allowed all load.

use std::time::Duration;

use apricothall_types::{MemberId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::rank;

/// How far an engine has come with the wanted version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Serves nothing.
    Empty,
    /// Serves an older version; the wanted one is not complete beside it.
    Fetching,
    /// Serves an older version; the wanted one is complete beside it.
    Complete,
    /// Is loading.
    Loading,
    /// Serves the wanted version.
    Done,
}

/// An engine of the zone, as its agent tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// The agent.
    pub id: MemberId,
    /// How far its engine has come.
    pub progress: Progress,
}

/// Settings of [`may_load`].
#[derive(Clone, Copy, Debug)]
pub struct ReloadConfig {
    /// Part of a zone's engines that may load at once, in percent.
    pub max_loading_percent: usize,
    /// Time before the end of the time allowed at which all load.
    pub deadline_margin: Duration,
    /// Time for which the pieces must have been complete, so that the others of the zone have
    /// told how far they are.
    pub settle: Duration,
}

impl Default for ReloadConfig {
    fn default() -> Self {
        Self {
            max_loading_percent: 40,
            deadline_margin: Duration::from_secs(1),
            settle: Duration::from_millis(250),
        }
    }
}

const FULL_PERCENT: usize = 100;

/// A version whose fetch is under way when a newer one is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialFetch {
    /// Pieces of it that this agent or another one holds.
    pub available: u32,
    /// All its pieces.
    pub pieces: u32,
    /// When it must be out of use.
    pub due: Timestamp,
}

/// Part of a version's pieces that must be gathered for its fetch to go on, in percent.
const MIN_AVAILABLE_PERCENT: u32 = 25;

/// Time of use for which loading a version is worth its cost.
pub const MIN_SERVICE_TIME: Duration = Duration::from_millis(1_500);

/// Whether the fetch of a version goes on though a newer one is named. What has left the origin
/// reaches all agents soon, while the newer version has yet to leave it, and it may go away
/// before; and the version before both runs out first.
#[must_use]
pub fn should_finish_older(partial: PartialFetch, now: Timestamp) -> bool {
    let available = u64::from(partial.available) * 100;
    partial.pieces > 0
        && available >= u64::from(partial.pieces) * u64::from(MIN_AVAILABLE_PERCENT)
        && now + MIN_SERVICE_TIME < partial.due
}

/// Whether the engine of `one` loads before that of `other`, if both could.
#[must_use]
pub fn loads_before(one: &MemberId, other: &MemberId) -> bool {
    rank::weight(b"reload", one) > rank::weight(b"reload", other)
}

/// Whether the engine of `me`, whose pieces have been complete since `complete`, may load now.
/// `neighbours` are the other engines of its zone; `due` is the end of the time allowed.
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
    let max_loading = (engines * config.max_loading_percent).div_ceil(FULL_PERCENT);
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

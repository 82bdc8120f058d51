//! Which agent fetches which piece from the origin.
//!
//! The origin's link is slow and shared, and a piece that it sends twice delays all others. So each
//! piece has a fixed order of fetchers: its owner, one successor, and then the rest. All agents
//! derive the same order from the agents of the region that they hear.

use std::time::Duration;

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

use super::{
    InFlight, MissingPiece, PeerState, PiecesConfig, PlannedFetch, Planner, Source, importer_index,
};

/// Maximum number of agents among which the pieces are divided. With this many, each fetches one
/// piece at a time. They fill the origin's link, with some to spare for slow agents; with more of them
/// each piece takes longer, so that an interrupted fetch wastes more.
const MAX_FETCHERS: usize = 12;

/// Number of mean fetch times after which a fetch from the origin counts as stalled.
const STALL_FETCH_TIMES: u32 = 3;

/// Number of pieces that an owner must have to fetch before the one that another agent takes over.
/// With fewer, the owner may already be fetching it, as reports of that arrive with a delay.
const MIN_LEFT_TO_OWNER: usize = 2;

/// Bounds of the time after which a fetch from the origin counts as stalled.
const STALL_BOUNDS: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(4));

/// Time in which nothing leaves the origin for each further agent that may take over a piece. It is
/// longer than a fetch that is given up.
const TAKEOVER_STEP: Duration = Duration::from_secs(4);

/// Time without progress after which agents of other regions use the origin although one of its
/// region is heard. It is longer than the origin is usually away.
const FAR_TAKEOVER: Duration = Duration::from_secs(10);

/// Time after which a fetch counts as stalled if no fetch time has been measured.
const DEFAULT_STALL: Duration = Duration::from_millis(1_600);

/// Back-off after the second consecutive failure of the origin.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(150);

/// Upper bound on the back-off from the origin.
const MAX_ORIGIN_BACKOFF: Duration = Duration::from_millis(1_200);

/// What an agent knows of the origin.
#[derive(Clone, Copy, Debug)]
pub struct OriginView<'a> {
    /// Agents among which the pieces are divided, in id order.
    pub fetchers: &'a [MemberId],
    /// When this agent last received a piece from the origin, or heard of one that others had.
    pub progress: Timestamp,
    /// Time after which a fetch that does not end counts as stalled, see [`origin_stall`].
    pub stall: Duration,
}

/// Why an agent fetches a piece from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginReason {
    /// It is the owner of the piece, or those ahead of it are gone.
    Owner,
    /// It has no own pieces left, and the owner has several to fetch before this one.
    Idle,
    /// The fetch of another agent makes no progress.
    Stalled,
}

impl OriginReason {
    /// Label for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Idle => "idle",
            Self::Stalled => "stalled",
        }
    }
}

/// Fetches from the origin to be started now.
pub(super) fn fetches(
    config: &PiecesConfig,
    me: Planner<'_>,
    wanted: &[MissingPiece],
    in_flight: InFlight,
    peers: &[PeerState],
    now: Timestamp,
) -> Vec<PlannedFetch> {
    let room = config.origin_fetches.saturating_sub(in_flight.origin);
    if room == 0 || !may_use_origin(config, me, peers, now) {
        return Vec::new();
    }
    let gone = gone_peers(me, peers, now);
    let left: Vec<MissingPiece> = wanted
        .iter()
        .filter(|w| !is_held(me, **w, peers, now))
        .copied()
        .collect();
    let is_unfetched = |w: &MissingPiece| !is_being_fetched(*w, peers);
    let mut own: Vec<_> = left
        .iter()
        .filter(|w| is_unfetched(w) && position(me, w.chunk, &gone) == 0)
        .map(|w| w.chunk)
        .collect();
    own.sort_unstable();
    if !own.is_empty() {
        let first = own.into_iter().take(room);
        return first.map(|c| fetch(c, OriginReason::Owner)).collect();
    }
    if in_flight.origin > 0 {
        return Vec::new();
    }
    // No own piece is left, and nothing is being fetched: take over one piece of another agent.
    let (left, gone) = (&left, &gone);
    let within = |reach: usize| {
        let all = left.iter();
        all.filter(move |w| position(me, w.chunk, gone) <= reach)
    };
    let is_far_behind =
        |w: &&MissingPiece| left_to_owner(me, w.chunk, left, peers) >= MIN_LEFT_TO_OWNER;
    let untaken = within(1).filter(|w| is_unfetched(w)).filter(is_far_behind);
    let last_untaken = untaken.map(|w| w.chunk).max();
    let stalled = within(takeover_reach(me, now)).find(|w| is_stalled(me, **w, peers, now));
    match (last_untaken, stalled) {
        (Some(chunk), _) => vec![fetch(chunk, OriginReason::Idle)],
        (None, Some(piece)) => vec![fetch(piece.chunk, OriginReason::Stalled)],
        (None, None) => Vec::new(),
    }
}

fn fetch(chunk: ChunkIndex, reason: OriginReason) -> PlannedFetch {
    PlannedFetch {
        chunk,
        source: Source::Origin,
        reason: Some(reason),
    }
}

/// Whether the agents of this region fetch from the origin. Those of other regions do so only
/// without any of the origin's region, as pieces cross to them once they have left the origin.
fn may_use_origin(
    config: &PiecesConfig,
    me: Planner<'_>,
    peers: &[PeerState],
    now: Timestamp,
) -> bool {
    let is_home = |region: &Region| me.home.is_none_or(|home| home == region);
    if is_home(me.region) {
        return true;
    }
    let waited = now.since(me.since);
    let is_heard = peers.iter().any(|p| is_home(&p.region) && !p.down);
    let quiet = now.since(me.origin.progress);
    waited > config.home_priority && !is_heard || quiet > FAR_TAKEOVER
}

/// Highest position in the order of a piece from which a stalled fetch may be taken over. It grows
/// while nothing leaves the origin, as those ahead may all be unable to fetch.
fn takeover_reach(me: Planner<'_>, now: Timestamp) -> usize {
    let steps = now.since(me.origin.progress).as_secs() / TAKEOVER_STEP.as_secs();
    1 + usize::try_from(steps).unwrap_or(usize::MAX - 1)
}

/// Whether the piece has left the origin and can be copied from another agent. A holder from which
/// fetches fail counts for as long as a stalled fetch, since its link may only be slow.
fn is_held(me: Planner<'_>, piece: MissingPiece, peers: &[PeerState], now: Timestamp) -> bool {
    let mut holders = peers.iter().filter(|p| p.held.contains(piece.chunk));
    let held = now.since(piece.held_since.unwrap_or(now));
    holders.any(|p| !p.down || held < me.origin.stall)
}

fn is_being_fetched(piece: MissingPiece, peers: &[PeerState]) -> bool {
    peers.iter().any(|p| p.fetching.contains(piece.chunk))
}

/// Whether the agent that fetches the piece, or should, makes no progress. While the origin sends
/// nothing to others either, a running fetch is not repeated.
fn is_stalled(me: Planner<'_>, piece: MissingPiece, peers: &[PeerState], now: Timestamp) -> bool {
    let stall = me.origin.stall;
    if !is_being_fetched(piece, peers) {
        return now.since(me.origin.progress) >= stall;
    }
    let Some(since) = piece.fetching_since else {
        return false;
    };
    let age = now.since(since);
    let origin_sends = me.origin.progress >= since;
    origin_sends && age >= stall || age >= TAKEOVER_STEP
}

/// Number of pieces that the owner of `chunk` has to fetch before it.
fn left_to_owner(
    me: Planner<'_>,
    chunk: ChunkIndex,
    left: &[MissingPiece],
    peers: &[PeerState],
) -> usize {
    let owner = index_of_owner(me, chunk);
    let earlier = left.iter().filter(|w| {
        w.chunk < chunk && index_of_owner(me, w.chunk) == owner && !is_being_fetched(**w, peers)
    });
    earlier.count()
}

fn index_of_owner(me: Planner<'_>, chunk: ChunkIndex) -> usize {
    importer_index(me.origin.fetchers.len(), chunk)
}

/// Agents that are not waited for, as nothing leaves the origin and fetches from them fail.
fn gone_peers<'a>(me: Planner<'_>, peers: &'a [PeerState], now: Timestamp) -> Vec<&'a MemberId> {
    let is_quiet = now.since(me.origin.progress) >= me.origin.stall;
    let gone = peers.iter().filter(|p| is_quiet && p.down);
    gone.map(|p| &p.id).collect()
}

/// Number of live agents that come before this one in the order of fetchers of a piece.
fn position(me: Planner<'_>, chunk: ChunkIndex, gone: &[&MemberId]) -> usize {
    let fetchers = me.origin.fetchers;
    let own = fetchers.iter().position(|id| id == me.id);
    let rank = |index: usize| rank_of_fetcher(index, chunk, fetchers.len());
    let is_alive = |id: &MemberId| me.region_peers.contains(id) && !gone.contains(&id);
    let is_before = |index: usize| own.is_none_or(|own| rank(index) < rank(own));
    let fetchers_before = (0..fetchers.len())
        .filter(|i| is_before(*i) && is_alive(&fetchers[*i]))
        .count();
    if own.is_some() {
        return fetchers_before;
    }
    let others = me.region_peers.iter().filter(|id| !fetchers.contains(id));
    fetchers_before + others.filter(|id| *id < me.id && is_alive(id)).count()
}

/// Rank of a fetcher for a piece: 0 for the owner, and 1 for its successor, which differs from one
/// piece of the owner to the next, so that the others share what it leaves.
fn rank_of_fetcher(index: usize, chunk: ChunkIndex, count: usize) -> usize {
    let chunk = chunk.0 as usize;
    let distance = (index + count - chunk % count) % count;
    if distance == 0 {
        return 0;
    }
    let others = count - 1;
    (distance - 1 + others - (chunk / count) % others) % others + 1
}

/// Returns how many pieces each of the `agents` of the origin's region fetches from it at once.
#[must_use]
pub fn origin_fetches_per_agent(agents: usize) -> usize {
    let max = PiecesConfig::default().origin_fetches;
    (MAX_FETCHERS / agents.max(1)).clamp(1, max)
}

/// Returns among how many of the `agents` of the origin's region the pieces are divided.
#[must_use]
pub fn origin_fetcher_count(agents: usize) -> usize {
    agents.min(MAX_FETCHERS)
}

/// Returns the time after which a fetch from the origin counts as stalled, given the mean time of
/// this agent's fetches. While the origin's link is shared by slow fetches, all of them take long.
#[must_use]
pub fn origin_stall(mean: Option<Duration>) -> Duration {
    mean.map_or(DEFAULT_STALL, |mean| {
        (mean * STALL_FETCH_TIMES).clamp(STALL_BOUNDS.0, STALL_BOUNDS.1)
    })
}

/// Returns the back-off after `failures` consecutive failures of the origin.
///
/// A single failure is usually a truncated response, and the origin may soon become unavailable,
/// so the first retry is immediate.
#[must_use]
pub fn origin_backoff(failures: u32) -> Duration {
    let Some(doublings) = failures.checked_sub(2) else {
        return Duration::ZERO;
    };
    let longer = ORIGIN_BACKOFF.saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX));
    longer.min(MAX_ORIGIN_BACKOFF)
}

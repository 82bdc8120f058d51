//! From where an agent fetches each piece of a version.
//!
//! A piece leaves the origin once and crosses to each other region once: each agent of the
//! origin's region draws its part of the pieces, and each of another region fetches its part from
//! outside. The next one takes over after [`PiecesConfig::takeover`]. Within a region agents
//! copy from each other.

use std::time::Duration;

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

use crate::rank;
use crate::transfer::ChunkSet;

/// An agent that takes part in the spread of a version.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Its id.
    pub id: MemberId,
    /// Region of its VM.
    pub region: Region,
    /// Pieces that it can pass on.
    pub held: ChunkSet,
    /// Pieces that it is fetching from outside its region.
    pub fetching: ChunkSet,
    /// Pieces being fetched from it.
    pub fetches: usize,
    /// Whether it failed lately, so that others go first.
    pub down: bool,
}

/// Where a piece comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The origin of the weights.
    Origin,
    /// Another agent.
    Peer(MemberId),
}

/// Settings of [`plan`].
#[derive(Clone, Copy, Debug)]
pub struct PiecesConfig {
    /// Delay of each further rank that brings a piece into a region.
    pub takeover: Duration,
    /// Delay of each further rank that draws a piece from the origin, which sends slowly.
    pub origin_takeover: Duration,
    /// Pieces fetched at once from peers.
    pub peer_fetches: usize,
    /// Pieces fetched at once from one peer.
    pub per_peer: usize,
    /// Pieces fetched at once from the origin, whose link all agents share.
    pub origin_fetches: usize,
    /// Time after which a piece that another agent is fetching is fetched once more.
    pub duplicate_after: Duration,
    /// Time for which agents of other regions leave the origin to those of its own.
    pub home_priority: Duration,
}

impl Default for PiecesConfig {
    fn default() -> Self {
        Self {
            takeover: Duration::from_millis(500),
            origin_takeover: Duration::from_millis(900),
            peer_fetches: 3,
            per_peer: 2,
            origin_fetches: 2,
            duplicate_after: Duration::from_secs(1),
            home_priority: Duration::from_millis(2_500),
        }
    }
}

/// A piece that the agent lacks and is not fetching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingPiece {
    /// The piece.
    pub chunk: ChunkIndex,
    /// When an agent was first seen to hold it; none if nobody was.
    pub held_since: Option<Timestamp>,
    /// Since when other agents have been seen to fetch it without a break; none if nobody does.
    pub fetching_since: Option<Timestamp>,
}

/// Pieces that the agent is fetching.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// From anywhere.
    pub all: usize,
    /// From the origin.
    pub origin: usize,
}

/// The agent that plans.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// Its id.
    pub id: &'a MemberId,
    /// Region of its VM.
    pub region: &'a Region,
    /// Region of the origin, whose agents draw from it first.
    pub home: Option<&'a Region>,
    /// When it began to fetch the version.
    pub since: Timestamp,
    /// Text that tells versions apart in the ranking.
    pub subject: &'a str,
    /// Other agents of the region that share the work, whether or not they have begun: all of
    /// them must divide the pieces alike, though they learn of each other's beginning late.
    pub region_peers: &'a [MemberId],
}

/// Which of the `wanted` pieces to fetch now, and from where. `in_flight` are under way.
#[must_use]
pub fn plan(
    config: &PiecesConfig,
    me: Planner<'_>,
    wanted: &[MissingPiece],
    in_flight: InFlight,
    peers: &[PeerState],
    now: Timestamp,
) -> Vec<(ChunkIndex, Source)> {
    let mut used: Vec<usize> = peers.iter().map(|p| p.fetches).collect();
    let ordered = in_agent_order(me, wanted);
    // The origin is slow and may go away, so its link is kept busy before anything else.
    let mut chosen: Vec<_> = ordered
        .iter()
        .filter(|w| should_fetch_from_origin(config, me, **w, peers, now))
        .map(|w| (w.chunk, Source::Origin))
        .take(config.origin_fetches.saturating_sub(in_flight.origin))
        .collect();
    let mut room = config
        .peer_fetches
        .saturating_sub(in_flight.all - in_flight.origin);
    for piece in ordered {
        if room == 0 {
            break;
        }
        if let Some(source) = peer_source(config, me, piece, peers, &mut used, now) {
            chosen.push((piece.chunk, source));
            room -= 1;
        }
    }
    chosen
}

/// Each agent begins elsewhere, so that they have different pieces to pass on.
fn in_agent_order(me: Planner<'_>, wanted: &[MissingPiece]) -> Vec<MissingPiece> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by_cached_key(|w| rank::weight(&subject(me.subject, w.chunk, "order"), me.id));
    ordered
}

fn subject(version: &str, chunk: ChunkIndex, purpose: &str) -> Vec<u8> {
    format!("{version}/{chunk}/{purpose}").into_bytes()
}

/// Holders of a piece that may be asked.
fn holders(piece: MissingPiece, peers: &[PeerState]) -> Vec<usize> {
    (0..peers.len())
        .filter(|i| peers[*i].held.contains(piece.chunk) && !peers[*i].down)
        .collect()
}

/// Whether another agent, or one of the region, is bringing the piece.
fn is_being_fetched(
    config: &PiecesConfig,
    me: Planner<'_>,
    piece: MissingPiece,
    peers: &[PeerState],
    near: bool,
    now: Timestamp,
) -> bool {
    let mut others = peers.iter().filter(|p| !near || p.region == *me.region);
    let trusted = piece
        .fetching_since
        .is_some_and(|since| now.since(since) < config.duplicate_after);
    trusted && others.any(|p| !p.down && p.fetching.contains(piece.chunk))
}

/// Whether this agent is to draw the piece from the origin.
fn should_fetch_from_origin(
    config: &PiecesConfig,
    me: Planner<'_>,
    piece: MissingPiece,
    peers: &[PeerState],
    now: Timestamp,
) -> bool {
    let held = !holders(piece, peers).is_empty();
    if held || is_being_fetched(config, me, piece, peers, false, now) {
        return false;
    }
    let is_home = |region: &Region| me.home.is_none_or(|home| home == region);
    let is_in_home_region = is_home(me.region);
    let mut waited = now.since(me.since);
    if !is_in_home_region && peers.iter().any(|p| is_home(&p.region)) {
        if waited <= config.home_priority {
            return false;
        }
        waited = waited.saturating_sub(config.home_priority);
    }
    is_turn(
        config.origin_takeover,
        ORIGIN_FETCHERS,
        me,
        piece.chunk,
        waited,
    )
}

/// The peer that this agent is to fetch the piece from.
fn peer_source(
    config: &PiecesConfig,
    me: Planner<'_>,
    piece: MissingPiece,
    peers: &[PeerState],
    used: &mut [usize],
    now: Timestamp,
) -> Option<Source> {
    let holders = holders(piece, peers);
    let is_near = |i: &usize| peers[*i].region == *me.region;
    if holders.iter().any(is_near) {
        let near = holders.into_iter().filter(|i| is_near(i));
        return take_least_used(config, me, piece.chunk, peers, used, near);
    }
    if is_being_fetched(config, me, piece, peers, true, now) {
        return None;
    }
    let held = now.since(piece.held_since.unwrap_or(now));
    if !is_turn(config.takeover, u32::MAX, me, piece.chunk, held) {
        return None;
    }
    take_least_used(config, me, piece.chunk, peers, used, holders.into_iter())
}

/// The least used of `holders` that has room; among equals each agent has its own order, so that
/// not all ask the same one.
fn take_least_used(
    config: &PiecesConfig,
    me: Planner<'_>,
    chunk: ChunkIndex,
    peers: &[PeerState],
    used: &mut [usize],
    holders: impl Iterator<Item = usize>,
) -> Option<Source> {
    let subject = subject(me.subject, chunk, me.id.as_str());
    let best = holders
        .filter(|i| used[*i] < config.per_peer)
        .min_by_key(|i| (used[*i], rank::weight(&subject, &peers[*i].id)))?;
    used[best] += 1;
    Some(Source::Peer(peers[best].id.clone()))
}

/// Whether the agents before this one have had their time. In the order of their ids each of the
/// first `sharers` has every n-th piece, so that they have equally many, and the next in order follows.
/// Those beyond come after all of them.
fn is_turn(
    takeover: Duration,
    sharers: u32,
    me: Planner<'_>,
    chunk: ChunkIndex,
    waited: Duration,
) -> bool {
    let mut before = 0;
    let mut all = 1;
    for peer in me.region_peers {
        all += 1;
        before += u32::from(peer < me.id);
    }
    let sharing = all.min(sharers);
    let turn = if before < sharing {
        (before + sharing - chunk.0 % sharing) % sharing
    } else {
        before
    };
    waited >= takeover.saturating_mul(turn)
}

/// Agents of the origin's region that draw from it at first, and connections that they make at
/// once: enough to fill its link, and fewer than it accepts. With more of them each piece takes
/// longer, so that one which is cut off costs more time.
const ORIGIN_FETCHERS: u32 = 24;

/// The same as a count.
const MAX_ORIGIN_FETCHES: usize = ORIGIN_FETCHERS as usize;

/// Pieces that each of the `agents` of the origin's region draws at once.
#[must_use]
pub fn origin_fetches_per_agent(agents: usize) -> usize {
    let max = PiecesConfig::default().origin_fetches;
    (MAX_ORIGIN_FETCHES / agents.max(1)).clamp(1, max)
}

/// Of the `agents` of the origin's region, those that draw from it at first.
#[must_use]
pub fn origin_fetchers(agents: usize) -> usize {
    agents.min(MAX_ORIGIN_FETCHES)
}

/// Shortest pause after the origin gave nothing twice.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after the origin gave nothing several times.
const MAX_ORIGIN_BACKOFF: Duration = Duration::from_millis(1_200);

/// Pause after `failures` in a row of the origin. A single one is mostly an answer that was cut off,
/// and the origin may go away soon, so the piece is asked for again at once.
#[must_use]
pub fn origin_backoff(failures: u32) -> Duration {
    let Some(doublings) = failures.checked_sub(2) else {
        return Duration::ZERO;
    };
    let longer = ORIGIN_BACKOFF.saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX));
    longer.min(MAX_ORIGIN_BACKOFF)
}

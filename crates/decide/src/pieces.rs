//! Source selection for the pieces of a version.
//!
//! Each piece is sent once by the origin and once to each other region. The agents of the origin's
//! region divide the pieces among themselves and fetch them from the origin; the agents of another
//! region divide the pieces in the same way and fetch them from outside the region. The next agent
//! in order takes over after [`PiecesConfig::takeover`], or after [`PiecesConfig::origin_takeover`]
//! for fetches from the origin. Within a region agents copy from each other.

use std::time::Duration;

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

use crate::rank;
use crate::transfer::ChunkSet;

/// Another agent that holds or fetches the version, as known to the planner.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Id of the agent.
    pub id: MemberId,
    /// Region of the agent's VM.
    pub region: Region,
    /// Pieces that the agent can upload.
    pub held: ChunkSet,
    /// Pieces that the agent is fetching from outside its region.
    pub fetching: ChunkSet,
    /// Number of pieces being fetched from this agent.
    pub fetches: usize,
    /// Whether a fetch from the agent failed recently, so that it is not used.
    pub down: bool,
}

/// Source of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The origin server of the weights.
    Origin,
    /// Another agent.
    Peer(MemberId),
}

/// Settings of [`plan`].
#[derive(Clone, Copy, Debug)]
pub struct PiecesConfig {
    /// Take-over delay per rank for fetching a piece into a region.
    pub takeover: Duration,
    /// Take-over delay per rank for fetching a piece from the origin, which sends slowly.
    pub origin_takeover: Duration,
    /// Maximum number of concurrent fetches from peers.
    pub peer_fetches: usize,
    /// Maximum number of concurrent fetches from one peer.
    pub per_peer: usize,
    /// Maximum number of concurrent fetches from the origin, whose link is shared by all agents.
    pub origin_fetches: usize,
    /// Time after which a piece that another agent is fetching may be fetched a second time.
    pub duplicate_after: Duration,
    /// Time for which only agents of the origin's region fetch from the origin.
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

/// A piece that the planning agent neither holds nor is fetching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingPiece {
    /// Index of the piece.
    pub chunk: ChunkIndex,
    /// When another agent was first known to hold the piece, if any.
    pub held_since: Option<Timestamp>,
    /// Since when other agents have been fetching the piece without interruption, if any are.
    pub fetching_since: Option<Timestamp>,
}

/// Number of pieces that the planning agent is fetching.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// From all sources.
    pub all: usize,
    /// From the origin.
    pub origin: usize,
}

/// The planning agent.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// Id of the agent.
    pub id: &'a MemberId,
    /// Region of the agent's VM.
    pub region: &'a Region,
    /// Region of the origin, whose agents have priority on it. If unknown, all regions have it.
    pub home: Option<&'a Region>,
    /// When the agent began to fetch the version.
    pub since: Timestamp,
    /// Identifier of the version, used as key of the rendezvous hash.
    pub subject: &'a str,
    /// Other agents of the region that share the work, whether or not they have started fetching.
    /// All of them must divide the pieces in the same way, although the report that another one has
    /// started arrives with a delay.
    pub region_peers: &'a [MemberId],
}

/// Returns which of the `wanted` pieces to fetch now, and from which source.
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
    // The origin is slow and may become unavailable, so keeping its link busy takes precedence.
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

/// Sorts pieces in an order specific to the agent, so that agents hold different pieces for
/// exchange.
fn in_agent_order(me: Planner<'_>, wanted: &[MissingPiece]) -> Vec<MissingPiece> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by_cached_key(|w| rank::weight(&subject(me.subject, w.chunk, "order"), me.id));
    ordered
}

fn subject(version: &str, chunk: ChunkIndex, purpose: &str) -> Vec<u8> {
    format!("{version}/{chunk}/{purpose}").into_bytes()
}

/// Returns the indices of the peers that hold the piece and are not down.
fn holders(piece: MissingPiece, peers: &[PeerState]) -> Vec<usize> {
    (0..peers.len())
        .filter(|i| peers[*i].held.contains(piece.chunk) && !peers[*i].down)
        .collect()
}

/// Returns whether another agent is fetching the piece; if `near`, only the region's agents count.
fn is_being_fetched(
    config: &PiecesConfig,
    me: Planner<'_>,
    piece: MissingPiece,
    peers: &[PeerState],
    near: bool,
    now: Timestamp,
) -> bool {
    let mut others = peers.iter().filter(|p| !near || p.region == *me.region);
    let is_recent = piece
        .fetching_since
        .is_some_and(|since| now.since(since) < config.duplicate_after);
    is_recent && others.any(|p| !p.down && p.fetching.contains(piece.chunk))
}

/// Returns whether this agent must fetch the piece from the origin now.
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
    is_takeover_due(
        config.origin_takeover,
        ORIGIN_FETCHERS,
        me,
        piece.chunk,
        waited,
    )
}

/// Returns the peer to fetch the piece from, if this agent must fetch it from a peer now.
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
    if !is_takeover_due(config.takeover, u32::MAX, me, piece.chunk, held) {
        return None;
    }
    take_least_used(config, me, piece.chunk, peers, used, holders.into_iter())
}

/// Takes the holder with the fewest fetches that is below the limit per peer. Ties are broken in
/// an order specific to the agent, so that agents do not all choose the same holder.
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

/// Returns whether the take-over delays of all agents ranked before this one have passed.
///
/// The first `sharers` agents in id order each own every n-th piece, which gives them equal
/// shares, and the next in order takes over. Any further agents come after all of these.
fn is_takeover_due(
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
    let delays = if before < sharing {
        (before + sharing - chunk.0 % sharing) % sharing
    } else {
        before
    };
    waited >= takeover.saturating_mul(delays)
}

/// Number of agents that initially share the fetches from the origin, and upper bound on their
/// concurrent connections. This fills the origin's link and stays below the number of connections
/// that it accepts. With more connections each piece takes longer, so an interrupted fetch wastes
/// more time.
const ORIGIN_FETCHERS: u32 = 24;

const MAX_ORIGIN_FETCHES: usize = ORIGIN_FETCHERS as usize;

/// Returns how many pieces each of the `agents` of the origin's region fetches from it at once.
#[must_use]
pub fn origin_fetches_per_agent(agents: usize) -> usize {
    let max = PiecesConfig::default().origin_fetches;
    (MAX_ORIGIN_FETCHES / agents.max(1)).clamp(1, max)
}

/// Returns how many of the `agents` of the origin's region initially fetch from it.
#[must_use]
pub fn origin_fetchers(agents: usize) -> usize {
    agents.min(MAX_ORIGIN_FETCHES)
}

/// Back-off after the second consecutive failure of the origin.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(150);

/// Upper bound on the back-off from the origin.
const MAX_ORIGIN_BACKOFF: Duration = Duration::from_millis(1_200);

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

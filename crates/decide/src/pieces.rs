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
pub struct Holder {
    /// Its id.
    pub id: MemberId,
    /// Region of its VM.
    pub region: Region,
    /// Pieces that it can pass on.
    pub held: ChunkSet,
    /// Pieces that it is fetching from outside its region.
    pub flying: ChunkSet,
    /// Pieces being fetched from it.
    pub flights: usize,
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
    pub draw_takeover: Duration,
    /// Pieces fetched at once from peers.
    pub flights: usize,
    /// Pieces fetched at once from one peer.
    pub depth: usize,
    /// Pieces fetched at once from the origin, whose link all agents share.
    pub draws: usize,
    /// Time after which a piece that another agent is fetching is fetched once more.
    pub trust: Duration,
    /// Time for which agents of other regions leave the origin to those of its own.
    pub courtesy: Duration,
}

impl Default for PiecesConfig {
    fn default() -> Self {
        Self {
            takeover: Duration::from_millis(500),
            draw_takeover: Duration::from_millis(900),
            flights: 3,
            depth: 2,
            draws: 2,
            trust: Duration::from_secs(1),
            courtesy: Duration::from_millis(2_500),
        }
    }
}

/// A piece that the agent lacks and is not fetching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The piece.
    pub chunk: ChunkIndex,
    /// When an agent was first seen to hold it; none if nobody was.
    pub held: Option<Timestamp>,
    /// Since when other agents have been seen to fetch it without a break; none if nobody does.
    pub flying: Option<Timestamp>,
}

/// Pieces that the agent is fetching.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flying {
    /// From anywhere.
    pub all: usize,
    /// From the origin.
    pub origin: usize,
}

/// The agent that plans.
#[derive(Clone, Copy, Debug)]
pub struct Fetcher<'a> {
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
    pub mates: &'a [MemberId],
}

/// Which of the `wanted` pieces to fetch now, and from where. `flying` are under way.
#[must_use]
pub fn plan(
    config: &PiecesConfig,
    me: Fetcher<'_>,
    wanted: &[Wanted],
    flying: Flying,
    peers: &[Holder],
    now: Timestamp,
) -> Vec<(ChunkIndex, Source)> {
    let mut used: Vec<usize> = peers.iter().map(|p| p.flights).collect();
    let ordered = in_own_order(me, wanted);
    // The origin is slow and may go away, so its link is kept busy before anything else.
    let mut chosen: Vec<_> = ordered
        .iter()
        .filter(|w| is_drawn(config, me, **w, peers, now))
        .map(|w| (w.chunk, Source::Origin))
        .take(config.draws.saturating_sub(flying.origin))
        .collect();
    let mut room = config.flights.saturating_sub(flying.all - flying.origin);
    for piece in ordered {
        if room == 0 {
            break;
        }
        if let Some(source) = peer(config, me, piece, peers, &mut used, now) {
            chosen.push((piece.chunk, source));
            room -= 1;
        }
    }
    chosen
}

/// Each agent begins elsewhere, so that they have different pieces to pass on.
fn in_own_order(me: Fetcher<'_>, wanted: &[Wanted]) -> Vec<Wanted> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by_cached_key(|w| rank::weight(&subject(me.subject, w.chunk, "order"), me.id));
    ordered
}

fn subject(version: &str, chunk: ChunkIndex, use_: &str) -> Vec<u8> {
    format!("{version}/{chunk}/{use_}").into_bytes()
}

/// Holders of a piece that may be asked.
fn holders(piece: Wanted, peers: &[Holder]) -> Vec<usize> {
    (0..peers.len())
        .filter(|i| peers[*i].held.contains(piece.chunk) && !peers[*i].down)
        .collect()
}

/// Whether another agent, or one of the region, is bringing the piece.
fn is_under_way(
    config: &PiecesConfig,
    me: Fetcher<'_>,
    piece: Wanted,
    peers: &[Holder],
    near: bool,
    now: Timestamp,
) -> bool {
    let mut others = peers.iter().filter(|p| !near || p.region == *me.region);
    let trusted = piece
        .flying
        .is_some_and(|since| now.since(since) < config.trust);
    trusted && others.any(|p| !p.down && p.flying.contains(piece.chunk))
}

/// Whether this agent is to draw the piece from the origin.
fn is_drawn(
    config: &PiecesConfig,
    me: Fetcher<'_>,
    piece: Wanted,
    peers: &[Holder],
    now: Timestamp,
) -> bool {
    let held = !holders(piece, peers).is_empty();
    if held || is_under_way(config, me, piece, peers, false, now) {
        return false;
    }
    let is_home = |region: &Region| me.home.is_none_or(|home| home == region);
    let here = is_home(me.region);
    let mut waited = now.since(me.since);
    if !here && peers.iter().any(|p| is_home(&p.region)) {
        if waited <= config.courtesy {
            return false;
        }
        waited = waited.saturating_sub(config.courtesy);
    }
    is_turn(config.draw_takeover, DRAWERS, me, piece.chunk, waited)
}

/// The peer that this agent is to fetch the piece from.
fn peer(
    config: &PiecesConfig,
    me: Fetcher<'_>,
    piece: Wanted,
    peers: &[Holder],
    used: &mut [usize],
    now: Timestamp,
) -> Option<Source> {
    let holders = holders(piece, peers);
    let is_near = |i: &usize| peers[*i].region == *me.region;
    if holders.iter().any(is_near) {
        let near = holders.into_iter().filter(|i| is_near(i));
        return take(config, me, piece.chunk, peers, used, near);
    }
    if is_under_way(config, me, piece, peers, true, now) {
        return None;
    }
    let held = now.since(piece.held.unwrap_or(now));
    if !is_turn(config.takeover, u32::MAX, me, piece.chunk, held) {
        return None;
    }
    take(config, me, piece.chunk, peers, used, holders.into_iter())
}

/// The least used of `holders` that has room; among equals each agent has its own order, so that
/// not all ask the same one.
fn take(
    config: &PiecesConfig,
    me: Fetcher<'_>,
    chunk: ChunkIndex,
    peers: &[Holder],
    used: &mut [usize],
    holders: impl Iterator<Item = usize>,
) -> Option<Source> {
    let subject = subject(me.subject, chunk, me.id.as_str());
    let best = holders
        .filter(|i| used[*i] < config.depth)
        .min_by_key(|i| (used[*i], rank::weight(&subject, &peers[*i].id)))?;
    used[best] += 1;
    Some(Source::Peer(peers[best].id.clone()))
}

/// Whether the agents before this one have had their time. In the order of their ids each of the
/// first `most` has every n-th piece, so that they have equally many, and the next in order follows.
/// Those beyond come after all of them.
fn is_turn(
    takeover: Duration,
    most: u32,
    me: Fetcher<'_>,
    chunk: ChunkIndex,
    waited: Duration,
) -> bool {
    let mut before = 0;
    let mut all = 1;
    for mate in me.mates {
        all += 1;
        before += u32::from(mate < me.id);
    }
    let sharing = all.min(most);
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
const DRAWERS: u32 = 24;

/// The same as a count.
const MOST_DRAWS: usize = DRAWERS as usize;

/// Pieces that each of the `agents` of the origin's region draws at once.
#[must_use]
pub fn draws(agents: usize) -> usize {
    let most = PiecesConfig::default().draws;
    (MOST_DRAWS / agents.max(1)).clamp(1, most)
}

/// Of the `agents` of the origin's region, those that draw from it at first.
#[must_use]
pub fn drawers(agents: usize) -> usize {
    agents.min(MOST_DRAWS)
}

/// Shortest pause after the origin gave nothing twice.
const ORIGIN_REST: Duration = Duration::from_millis(150);

/// Longest pause after the origin gave nothing several times.
const LONGEST_ORIGIN_REST: Duration = Duration::from_millis(1_200);

/// Pause after `failures` in a row of the origin. A single one is mostly an answer that was cut off,
/// and the origin may go away soon, so the piece is asked for again at once.
#[must_use]
pub fn origin_rest(failures: u32) -> Duration {
    let Some(doublings) = failures.checked_sub(2) else {
        return Duration::ZERO;
    };
    let longer = ORIGIN_REST.saturating_mul(1_u32.checked_shl(doublings).unwrap_or(u32::MAX));
    longer.min(LONGEST_ORIGIN_REST)
}

//! Source selection for the pieces of a version.
//!
//! Each piece is sent once by the origin and once to each other region. A few agents of the origin's
//! region, the fetchers, divide the pieces among themselves and fetch them from the origin, as many
//! at a time as fill its link. A fetcher that has none left takes over the last pieces of the others.
//! Each piece has one fixed successor of its owner, so that no two agents take over the same piece. A
//! fetch that makes no progress is repeated only while other pieces leave the origin. The agents of
//! another region divide the pieces in the same way and fetch them from outside the region. Within a
//! region agents copy from each other.

use std::time::Duration;

use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

use crate::rank;
use crate::transfer::ChunkSet;

mod origin;

pub use origin::{
    OriginReason, OriginView, origin_backoff, origin_fetcher_count, origin_fetches_per_agent,
    origin_stall,
};

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
    /// Mean time of the fetches from this agent, or of all if there were none.
    pub pace: Duration,
    /// Whether its upload queue was full a moment ago. It is not asked, but what it holds and
    /// fetches still counts.
    pub busy: bool,
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

/// A fetch to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFetch {
    /// Index of the piece.
    pub chunk: ChunkIndex,
    /// Where to fetch it from.
    pub source: Source,
    /// Why this agent fetches it from the origin, if it does.
    pub reason: Option<OriginReason>,
}

/// Settings of [`plan`].
#[derive(Clone, Copy, Debug)]
pub struct PiecesConfig {
    /// Take-over delay per rank for fetching a piece into a region.
    pub takeover: Duration,
    /// Maximum number of concurrent fetches from peers.
    pub peer_fetches: usize,
    /// Maximum number of concurrent fetches from one peer.
    pub per_peer: usize,
    /// Maximum number of concurrent fetches from the origin, whose link is shared by all agents.
    pub origin_fetches: usize,
    /// Time after which a piece that another agent is fetching into the region may be fetched a
    /// second time.
    pub duplicate_after: Duration,
    /// Time after which agents of other regions fetch from the origin if no agent of its region is
    /// known to fetch or hold the version.
    pub home_priority: Duration,
}

impl Default for PiecesConfig {
    fn default() -> Self {
        Self {
            takeover: Duration::from_millis(500),
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
    /// Other agents of the region, whether or not they have started fetching. All of them must divide
    /// the pieces that are fetched into the region in the same way, although the report that another
    /// one has started arrives with a delay.
    pub region_peers: &'a [MemberId],
    /// What the agent knows of the origin and of the division of the pieces among its fetchers.
    pub origin: OriginView<'a>,
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
) -> Vec<PlannedFetch> {
    let mut used: Vec<usize> = peers.iter().map(|p| p.fetches).collect();
    // The origin is slow and may become unavailable, so keeping its link busy takes precedence.
    let mut chosen = origin::fetches(config, me, wanted, in_flight, peers, now);
    let mut room = config
        .peer_fetches
        .saturating_sub(in_flight.all - in_flight.origin);
    let (copies, imports): (Vec<_>, Vec<_>) = in_agent_order(me, wanted)
        .into_iter()
        .partition(|piece| is_held_near(me, *piece, peers));
    // The other agents of the region wait for the pieces that this one fetches into it.
    for piece in imports.into_iter().chain(copies) {
        if room == 0 {
            break;
        }
        if let Some(source) = peer_source(config, me, piece, peers, &mut used, now) {
            chosen.push(PlannedFetch {
                chunk: piece.chunk,
                source,
                reason: None,
            });
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

/// Returns the indices of the peers that hold the piece and can be asked for it.
fn holders(piece: MissingPiece, peers: &[PeerState]) -> Vec<usize> {
    let can_be_asked = |p: &PeerState| !p.down && !p.busy;
    (0..peers.len())
        .filter(|i| peers[*i].held.contains(piece.chunk) && can_be_asked(&peers[*i]))
        .collect()
}

/// Returns whether an agent of the region holds the piece.
fn is_held_near(me: Planner<'_>, piece: MissingPiece, peers: &[PeerState]) -> bool {
    let mut near = peers.iter().filter(|p| p.region == *me.region && !p.down);
    near.any(|p| p.held.contains(piece.chunk))
}

/// Returns whether another agent of the region is fetching the piece into it.
fn is_being_imported(
    config: &PiecesConfig,
    me: Planner<'_>,
    piece: MissingPiece,
    peers: &[PeerState],
    now: Timestamp,
) -> bool {
    let is_recent = piece
        .fetching_since
        .is_some_and(|since| now.since(since) < config.duplicate_after);
    let mut near = peers.iter().filter(|p| p.region == *me.region);
    is_recent && near.any(|p| !p.down && p.fetching.contains(piece.chunk))
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
    if is_held_near(me, piece, peers) {
        let is_near = |i: &usize| peers[*i].region == *me.region;
        let near = holders.into_iter().filter(is_near);
        return take_fastest(config, me, piece.chunk, peers, used, near);
    }
    if is_being_imported(config, me, piece, peers, now) {
        return None;
    }
    let held = now.since(piece.held_since.unwrap_or(now));
    if !is_takeover_due(config.takeover, me, piece.chunk, held) {
        return None;
    }
    take_fastest(config, me, piece.chunk, peers, used, holders.into_iter())
}

/// Takes the holder below the limit per peer that is expected to have sent the piece first. Ties are
/// broken in an order specific to the agent, so that agents do not all choose the same holder.
fn take_fastest(
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
        .min_by_key(|i| {
            let queued = u32::try_from(used[*i]).unwrap_or(u32::MAX);
            let expected_time = peers[*i].pace.saturating_mul(queued.saturating_add(1));
            (
                expected_time,
                used[*i],
                rank::weight(&subject, &peers[*i].id),
            )
        })?;
    used[best] += 1;
    Some(Source::Peer(peers[best].id.clone()))
}

/// Returns which of the `agents` of a region, in id order, fetches the piece into it.
#[must_use]
pub fn importer_index(agents: usize, chunk: ChunkIndex) -> usize {
    chunk.0 as usize % agents.max(1)
}

/// Returns whether the take-over delays of all agents of the region ranked before this one have
/// passed. The agents in id order each own every n-th piece ([`importer_index`]), which gives them
/// equal shares, and the next in order takes over.
fn is_takeover_due(
    takeover: Duration,
    me: Planner<'_>,
    chunk: ChunkIndex,
    waited: Duration,
) -> bool {
    let all = me.region_peers.len() + 1;
    let before = me.region_peers.iter().filter(|p| *p < me.id).count();
    let delays = (before + all - importer_index(all, chunk)) % all;
    waited >= takeover.saturating_mul(u32::try_from(delays).unwrap_or(u32::MAX))
}

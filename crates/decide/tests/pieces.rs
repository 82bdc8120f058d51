//! Simulation of piece distribution among agents of three regions that see each other's state
//! with a delay.

use std::collections::BTreeMap;

use std::time::Duration;

use apricothall_decide::pieces::{
    InFlight, MissingPiece, OriginView, PeerState, PiecesConfig, PlannedFetch, Planner, Source,
    origin_backoff, origin_fetcher_count, origin_fetches_per_agent, origin_stall, plan,
};
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

const PIECES: u32 = 64;
const STEP_MS: u64 = 25;
/// Delay with which agents see each other's state.
const ADVERTISE_LAG_MS: u64 = 100;
/// Latency of a request to the origin.
const ORIGIN_LATENCY_MS: u64 = 20;
/// Transmission time of a piece on the origin's link, which all fetches share.
const ORIGIN_SEND_MS: u64 = 26;
const PEER_FETCH_MS: u64 = 120;
const LIMIT_MS: u64 = 30_000;

struct Agent {
    id: MemberId,
    region: Region,
    held: ChunkSet,
    held_since: BTreeMap<u32, Timestamp>,
    fetching_since: BTreeMap<u32, Timestamp>,
    /// When the agent last learned that a piece had left the origin.
    progress: Timestamp,
    /// Whether the agent's fetches from the origin never finish.
    stalled: bool,
    fetches: Vec<(ChunkIndex, Source, u64)>,
    down: bool,
}

struct Outcome {
    agents: Vec<Agent>,
    origin_fetches: u32,
    crossings: BTreeMap<Region, u32>,
    finished_ms: u64,
    /// When the origin finished sending its last piece.
    last_sent_ms: u64,
    /// When the origin's link becomes idle.
    link_free_ms: u64,
}

fn region(name: &str) -> Region {
    name.parse().expect("valid")
}

fn equal_regions(each: usize) -> Vec<Agent> {
    regions_of([each; 3])
}

/// Returns agents of three regions, the first of which is the origin's.
fn regions_of(counts: [usize; 3]) -> Vec<Agent> {
    let regions = ["home", "east", "west"].into_iter().zip(counts);
    let all = regions.flat_map(|(r, count)| (0..count).map(move |i| (r, i)));
    all.map(|(r, i)| Agent {
        id: format!("{r}-{i}").parse().expect("valid"),
        region: region(r),
        held: ChunkSet::default(),
        held_since: BTreeMap::new(),
        fetching_since: BTreeMap::new(),
        progress: Timestamp::default(),
        stalled: false,
        fetches: Vec::new(),
        down: false,
    })
    .collect()
}

/// Pieces that an agent holds and fetches from outside, as seen by others.
#[derive(Clone)]
struct Advertised {
    held: ChunkSet,
    fetching: ChunkSet,
}

fn advertise(agents: &[Agent], by: &BTreeMap<MemberId, Region>) -> Vec<Advertised> {
    let outside = |a: &Agent, s: &Source| match s {
        Source::Origin => true,
        Source::Peer(id) => by[id] != a.region,
    };
    agents
        .iter()
        .map(|a| {
            let mut fetching = ChunkSet::default();
            for (chunk, source, _) in &a.fetches {
                if outside(a, source) {
                    fetching.insert(*chunk);
                }
            }
            Advertised {
                held: a.held.clone(),
                fetching,
            }
        })
        .collect()
}

fn simulate(agents: Vec<Agent>) -> Outcome {
    simulate_with(agents, |_, _, _| true)
}

/// `receives` returns whether an agent receives the state of another in a step, given the indices
/// of both and the step number.
fn simulate_with(mut agents: Vec<Agent>, receives: fn(usize, usize, u64) -> bool) -> Outcome {
    let home = region("home");
    let at_home = agents.iter().filter(|a| a.region == home && !a.down);
    let config = PiecesConfig {
        origin_fetches: origin_fetches_per_agent(at_home.count()),
        ..PiecesConfig::default()
    };
    let mut views: Vec<Vec<Option<Advertised>>> = vec![vec![None; agents.len()]; agents.len()];
    let by: BTreeMap<_, _> = agents
        .iter()
        .map(|a| (a.id.clone(), a.region.clone()))
        .collect();
    let mut history = vec![advertise(&agents, &by)];
    let lag = usize::try_from(ADVERTISE_LAG_MS / STEP_MS).expect("small");
    let mut outcome = Outcome {
        agents: Vec::new(),
        origin_fetches: 0,
        crossings: BTreeMap::new(),
        finished_ms: LIMIT_MS,
        last_sent_ms: 0,
        link_free_ms: 0,
    };
    for now in (0..LIMIT_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        for agent in &mut agents {
            let done = agent
                .fetches
                .iter()
                .filter(|f| f.2 <= now)
                .cloned()
                .collect::<Vec<_>>();
            agent.fetches.retain(|f| f.2 > now);
            for (chunk, source, _) in done {
                agent.held.insert(chunk);
                if source == Source::Origin {
                    agent.progress = Timestamp::from_millis(now);
                }
            }
        }
        let live = agents.iter().filter(|a| !a.down);
        if live.clone().all(|a| a.stalled || a.held.count() == PIECES) {
            outcome.finished_ms = now;
            break;
        }
        let seen = history[history.len().saturating_sub(lag)].clone();
        for i in 0..agents.len() {
            for (j, advertised) in seen.iter().enumerate() {
                if receives(i, j, now / STEP_MS) {
                    views[i][j] = Some(advertised.clone());
                }
            }
            if !agents[i].down {
                let view = &views[i];
                step(&mut agents, i, view, &config, &home, now, &by, &mut outcome);
            }
        }
        history.push(advertise(&agents, &by));
    }
    outcome.agents = agents;
    outcome
}

#[expect(
    clippy::too_many_arguments,
    reason = "the state of one simulation step"
)]
fn step(
    agents: &mut [Agent],
    i: usize,
    seen: &[Option<Advertised>],
    config: &PiecesConfig,
    home: &Region,
    now: u64,
    by: &BTreeMap<MemberId, Region>,
    outcome: &mut Outcome,
) {
    let at = Timestamp::from_millis(now);
    let peers: Vec<_> = (0..agents.len())
        .filter(|j| *j != i)
        .filter_map(|j| {
            let advertised = seen[j].as_ref()?;
            Some(PeerState {
                id: agents[j].id.clone(),
                region: agents[j].region.clone(),
                held: advertised.held.clone(),
                fetching: advertised.fetching.clone(),
                fetches: 0,
                pace: Duration::ZERO,
                busy: false,
                down: agents[j].down,
            })
        })
        .collect();
    let own = agents[i].region.clone();
    let region_peers = agents.iter().enumerate().filter(|(j, _)| *j != i);
    let region_peers: Vec<_> = region_peers
        .filter(|(_, a)| a.region == own)
        .map(|(_, a)| a.id.clone())
        .collect();
    let me = &mut agents[i];
    let mut wanted = Vec::new();
    for chunk in (0..PIECES).map(ChunkIndex) {
        if me.held.contains(chunk) || me.fetches.iter().any(|f| f.0 == chunk) {
            continue;
        }
        if peers.iter().any(|p| p.held.contains(chunk)) && !me.held_since.contains_key(&chunk.0) {
            me.held_since.insert(chunk.0, at);
            me.progress = at;
        }
        let held_since = me.held_since.get(&chunk.0).copied();
        if peers.iter().any(|p| p.fetching.contains(chunk)) {
            me.fetching_since.entry(chunk.0).or_insert(at);
        } else {
            me.fetching_since.remove(&chunk.0);
        }
        let fetching_since = me.fetching_since.get(&chunk.0).copied();
        wanted.push(MissingPiece {
            chunk,
            held_since,
            fetching_since,
        });
    }
    let fetchers = origin_fetchers_of(&region_peers, &me.id);
    let planner = Planner {
        id: &me.id,
        region: &me.region,
        home: Some(home),
        since: Timestamp::default(),
        subject: "m/2",
        region_peers: &region_peers,
        origin: OriginView {
            fetchers: &fetchers,
            progress: me.progress,
            stall: origin_stall(None),
        },
    };
    let in_flight = InFlight {
        all: me.fetches.len(),
        origin: me.fetches.iter().filter(|f| f.1 == Source::Origin).count(),
    };
    for PlannedFetch { chunk, source, .. } in plan(config, planner, &wanted, in_flight, &peers, at)
    {
        let takes = match &source {
            Source::Origin if me.stalled => LIMIT_MS,
            Source::Origin => {
                outcome.origin_fetches += 1;
                outcome.link_free_ms = outcome.link_free_ms.max(now) + ORIGIN_SEND_MS;
                outcome.last_sent_ms = outcome.link_free_ms;
                outcome.link_free_ms - now + ORIGIN_LATENCY_MS
            }
            Source::Peer(id) => {
                let crosses = by[id] != me.region;
                *outcome.crossings.entry(me.region.clone()).or_default() += u32::from(crosses);
                PEER_FETCH_MS
            }
        };
        me.fetches.push((chunk, source, now + takes));
    }
}

/// Returns the agents of a region that fetch from the origin.
fn origin_fetchers_of(others: &[MemberId], own: &MemberId) -> Vec<MemberId> {
    let mut all = others.to_vec();
    all.push(own.clone());
    all.sort();
    all.truncate(origin_fetcher_count(all.len()));
    all
}

/// Maximum number of pieces that the origin may send, or that may be sent into a region: one copy
/// plus 10 %.
const MAX_PIECES_SENT: u32 = PIECES + PIECES / 10;

#[test]
fn origin_and_each_region_link_carry_one_copy() {
    let outcome = simulate(equal_regions(6));
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
    assert!(
        outcome.origin_fetches <= MAX_PIECES_SENT,
        "{} origin fetches",
        outcome.origin_fetches
    );
    for (region, count) in &outcome.crossings {
        assert!(
            *count <= MAX_PIECES_SENT,
            "{count} pieces sent into {region}"
        );
    }
}

#[test]
fn agents_that_are_down_do_not_block_the_others() {
    let mut agents = equal_regions(6);
    for agent in agents.iter_mut().step_by(3) {
        agent.down = true;
    }
    let outcome = simulate(agents);
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
}

#[test]
fn other_regions_fetch_from_the_origin_if_its_region_has_no_agent() {
    let mut agents = equal_regions(4);
    for agent in agents.iter_mut().filter(|a| a.region == region("home")) {
        agent.down = true;
    }
    let outcome = simulate(agents);
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
}

#[test]
fn pieces_held_by_agents_are_not_fetched_from_the_origin() {
    let mut agents = equal_regions(3);
    for chunk in (0..PIECES).map(ChunkIndex) {
        agents[0].held.insert(chunk);
    }
    let outcome = simulate(agents);
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
    assert_eq!(outcome.origin_fetches, 0);
}

/// In a large region whose agents receive only a few of each other's states at a time, the origin
/// must send one copy without idle time, as it may become unavailable right afterwards.
#[test]
fn large_region_keeps_the_origin_link_busy() {
    // In each step an agent receives the state of three of the 22 others.
    let outcome = simulate_with(regions_of([23, 10, 7]), |i, j, step| {
        (i * 7 + j * 5 + usize::try_from(step).expect("small") * 3) % 23 < 3
    });
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
    assert!(
        outcome.origin_fetches <= MAX_PIECES_SENT,
        "{} origin fetches",
        outcome.origin_fetches
    );
    let alone = u64::from(PIECES) * ORIGIN_SEND_MS;
    assert!(
        outcome.last_sent_ms <= alone * 115 / 100,
        "{} ms",
        outcome.last_sent_ms
    );
}

/// One agent's fetches from the origin stall. Other agents must take over its pieces before the
/// origin becomes unavailable, 2.5 s after the version is published.
#[test]
fn pieces_of_a_stalled_agent_are_taken_over_in_time() {
    let mut agents = regions_of([23, 10, 7]);
    agents[4].stalled = true;
    let outcome = simulate_with(agents, |i, j, step| {
        (i * 7 + j * 5 + usize::try_from(step).expect("small") * 3) % 23 < 3
    });
    assert!(
        outcome.finished_ms < LIMIT_MS,
        "not all agents are complete"
    );
    assert!(outcome.last_sent_ms <= 2_300, "{} ms", outcome.last_sent_ms);
}

/// Guards against a region that waits for its last pieces because the agents that fetch them into it
/// copy others first.
#[test]
fn pieces_that_a_region_lacks_come_before_copies() {
    let (own, near) = (region("east"), region("east"));
    let holder = |name: &str, region: Region, held: &[u32]| {
        let mut set = ChunkSet::default();
        for chunk in held {
            set.insert(ChunkIndex(*chunk));
        }
        PeerState {
            id: name.parse().expect("valid"),
            region,
            held: set,
            fetching: ChunkSet::default(),
            fetches: 0,
            pace: Duration::ZERO,
            busy: false,
            down: false,
        }
    };
    let copies: Vec<_> = (0..PIECES).filter(|c| *c != 20).collect();
    let peers = [
        holder("east-1", near, &copies),
        holder("home-0", region("home"), &[20]),
    ];
    let id: MemberId = "east-0".parse().expect("valid");
    let home = region("home");
    let region_peers = ["east-1".parse().expect("valid")];
    let planner = Planner {
        id: &id,
        region: &own,
        home: Some(&home),
        since: Timestamp::default(),
        subject: "m/2",
        region_peers: &region_peers,
        origin: OriginView {
            fetchers: &[],
            progress: Timestamp::default(),
            stall: origin_stall(None),
        },
    };
    let wanted: Vec<_> = (0..PIECES)
        .map(|chunk| MissingPiece {
            chunk: ChunkIndex(chunk),
            held_since: Some(Timestamp::default()),
            fetching_since: None,
        })
        .collect();
    let now = Timestamp::from_millis(10);
    let config = PiecesConfig::default();
    let fetches = plan(&config, planner, &wanted, InFlight::default(), &peers, now);
    assert_eq!(fetches.first().map(|p| p.chunk), Some(ChunkIndex(20)));
}

macro_rules! origin_backoffs {
    ($($case:ident: after $failures:literal failures => $ms:literal ms;)*) => {
        $(#[test] fn $case() {
            assert_eq!(origin_backoff($failures), Duration::from_millis($ms));
        })*
    };
}

// Guards against agents that back off after truncated responses: two pieces of a version were
// truncated in transit, the agents waited, and the origin became unavailable in the meantime.
origin_backoffs! {
    first_failure_is_retried_immediately: after 1 failures => 0 ms;
    second_failure_backs_off: after 2 failures => 150 ms;
    backoff_doubles_with_each_failure: after 4 failures => 600 ms;
    backoff_is_bounded: after 40 failures => 1200 ms;
}

/// The number of concurrent fetches stays within what the origin accepts, regardless of the number
/// of agents in its region.
#[test]
fn concurrent_origin_fetches_do_not_grow_with_the_deployment() {
    for agents in [1, 8, 13, 22, 37, 100, 340] {
        let at_once = origin_fetcher_count(agents) * origin_fetches_per_agent(agents);
        assert!(
            at_once <= 24,
            "{at_once} concurrent fetches by {agents} agents"
        );
    }
}

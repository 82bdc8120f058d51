//! The spread of a version over agents of three regions, with news that lags.

use std::collections::BTreeMap;

use std::time::Duration;

use apricothall_decide::pieces::{
    Fetcher, Flying, Holder, PiecesConfig, Source, Wanted, drawers, draws, origin_rest, plan,
};
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{ChunkIndex, MemberId, Region, Timestamp};

const PIECES: u32 = 64;
const STEP_MS: u64 = 25;
/// Time for which news of other agents lags behind.
const LAG_MS: u64 = 100;
/// Time from a draw to its first byte.
const ORIGIN_MS: u64 = 20;
/// Time that a piece takes on the origin's link, which all draws share.
const LINK_MS: u64 = 26;
const PEER_MS: u64 = 120;
const END_MS: u64 = 30_000;

struct Agent {
    id: MemberId,
    region: Region,
    held: ChunkSet,
    seen: BTreeMap<u32, Timestamp>,
    flown: BTreeMap<u32, Timestamp>,
    /// Whether what it draws from the origin never comes.
    stuck: bool,
    flights: Vec<(ChunkIndex, Source, u64)>,
    down: bool,
}

struct Spread {
    agents: Vec<Agent>,
    draws: u32,
    crossings: BTreeMap<Region, u32>,
    ended: u64,
    /// When the last piece left the origin.
    drawn: u64,
    /// When the origin's link is free again.
    link: u64,
}

fn region(name: &str) -> Region {
    name.parse().expect("valid")
}

fn fleet(each: usize) -> Vec<Agent> {
    sized([each; 3])
}

/// Agents of three regions, the first of which is the origin's.
fn sized(counts: [usize; 3]) -> Vec<Agent> {
    let regions = ["home", "east", "west"].into_iter().zip(counts);
    let all = regions.flat_map(|(r, count)| (0..count).map(move |i| (r, i)));
    all.map(|(r, i)| Agent {
        id: format!("{r}-{i}").parse().expect("valid"),
        region: region(r),
        held: ChunkSet::default(),
        seen: BTreeMap::new(),
        flown: BTreeMap::new(),
        stuck: false,
        flights: Vec::new(),
        down: false,
    })
    .collect()
}

/// Pieces and flights of an agent as others see them.
#[derive(Clone)]
struct News {
    held: ChunkSet,
    flying: ChunkSet,
}

fn news(agents: &[Agent], by: &BTreeMap<MemberId, Region>) -> Vec<News> {
    let outside = |a: &Agent, s: &Source| match s {
        Source::Origin => true,
        Source::Peer(id) => by[id] != a.region,
    };
    agents
        .iter()
        .map(|a| {
            let mut flying = ChunkSet::default();
            for (chunk, source, _) in &a.flights {
                if outside(a, source) {
                    flying.insert(*chunk);
                }
            }
            News {
                held: a.held.clone(),
                flying,
            }
        })
        .collect()
}

fn spread(agents: Vec<Agent>) -> Spread {
    spread_with(agents, |_, _, _| true)
}

/// `hears` tells whether an agent hears of another in a step, by their numbers and the step's.
fn spread_with(mut agents: Vec<Agent>, hears: fn(usize, usize, u64) -> bool) -> Spread {
    let home = region("home");
    let at_home = agents.iter().filter(|a| a.region == home && !a.down);
    let config = PiecesConfig {
        draws: draws(at_home.count()),
        ..PiecesConfig::default()
    };
    let mut views: Vec<Vec<Option<News>>> = vec![vec![None; agents.len()]; agents.len()];
    let by: BTreeMap<_, _> = agents
        .iter()
        .map(|a| (a.id.clone(), a.region.clone()))
        .collect();
    let mut told = vec![news(&agents, &by)];
    let lag = usize::try_from(LAG_MS / STEP_MS).expect("small");
    let mut spread = Spread {
        agents: Vec::new(),
        draws: 0,
        crossings: BTreeMap::new(),
        ended: END_MS,
        drawn: 0,
        link: 0,
    };
    for now in (0..END_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        for agent in &mut agents {
            let done = agent
                .flights
                .iter()
                .filter(|f| f.2 <= now)
                .cloned()
                .collect::<Vec<_>>();
            agent.flights.retain(|f| f.2 > now);
            for (chunk, ..) in done {
                agent.held.insert(chunk);
            }
        }
        let living = agents.iter().filter(|a| !a.down);
        if living.clone().all(|a| a.stuck || a.held.count() == PIECES) {
            spread.ended = now;
            break;
        }
        let seen = told[told.len().saturating_sub(lag)].clone();
        for i in 0..agents.len() {
            for (j, news) in seen.iter().enumerate() {
                if hears(i, j, now / STEP_MS) {
                    views[i][j] = Some(news.clone());
                }
            }
            if !agents[i].down {
                let view = &views[i];
                step(&mut agents, i, view, &config, &home, now, &by, &mut spread);
            }
        }
        told.push(news(&agents, &by));
    }
    spread.agents = agents;
    spread
}

#[expect(
    clippy::too_many_arguments,
    reason = "the state of one step of the play"
)]
fn step(
    agents: &mut [Agent],
    i: usize,
    seen: &[Option<News>],
    config: &PiecesConfig,
    home: &Region,
    now: u64,
    by: &BTreeMap<MemberId, Region>,
    spread: &mut Spread,
) {
    let at = Timestamp::from_millis(now);
    let peers: Vec<_> = (0..agents.len())
        .filter(|j| *j != i)
        .filter_map(|j| {
            let news = seen[j].as_ref()?;
            Some(Holder {
                id: agents[j].id.clone(),
                region: agents[j].region.clone(),
                held: news.held.clone(),
                flying: news.flying.clone(),
                flights: 0,
                down: agents[j].down,
            })
        })
        .collect();
    let own = agents[i].region.clone();
    let mates = agents.iter().enumerate().filter(|(j, _)| *j != i);
    let mates: Vec<_> = mates
        .filter(|(_, a)| a.region == own)
        .map(|(_, a)| a.id.clone())
        .collect();
    let me = &mut agents[i];
    let mut wanted = Vec::new();
    for chunk in (0..PIECES).map(ChunkIndex) {
        if me.held.contains(chunk) || me.flights.iter().any(|f| f.0 == chunk) {
            continue;
        }
        if peers.iter().any(|p| p.held.contains(chunk)) {
            me.seen.entry(chunk.0).or_insert(at);
        }
        let held = me.seen.get(&chunk.0).copied();
        if peers.iter().any(|p| p.flying.contains(chunk)) {
            me.flown.entry(chunk.0).or_insert(at);
        } else {
            me.flown.remove(&chunk.0);
        }
        let flying = me.flown.get(&chunk.0).copied();
        wanted.push(Wanted {
            chunk,
            held,
            flying,
        });
    }
    let fetcher = Fetcher {
        id: &me.id,
        region: &me.region,
        home: Some(home),
        since: Timestamp::default(),
        subject: "m/2",
        mates: &mates,
    };
    let flying = Flying {
        all: me.flights.len(),
        origin: me.flights.iter().filter(|f| f.1 == Source::Origin).count(),
    };
    for (chunk, source) in plan(config, fetcher, &wanted, flying, &peers, at) {
        let takes = match &source {
            Source::Origin if me.stuck => END_MS,
            Source::Origin => {
                spread.draws += 1;
                spread.link = spread.link.max(now) + LINK_MS;
                spread.drawn = spread.link;
                spread.link - now + ORIGIN_MS
            }
            Source::Peer(id) => {
                let crosses = by[id] != me.region;
                *spread.crossings.entry(me.region.clone()).or_default() += u32::from(crosses);
                PEER_MS
            }
        };
        me.flights.push((chunk, source, now + takes));
    }
}

/// Most pieces that may leave the origin, or cross into a region: a tenth more than one copy.
const ONE_COPY: u32 = PIECES + PIECES / 10;

#[test]
fn one_copy_leaves_the_origin_and_one_crosses_to_each_region() {
    let spread = spread(fleet(6));
    assert!(spread.ended < END_MS, "not all are complete");
    assert!(spread.draws <= ONE_COPY, "{} draws", spread.draws);
    for (region, count) in &spread.crossings {
        assert!(*count <= ONE_COPY, "{count} into {region}");
    }
}

#[test]
fn agents_that_are_down_do_not_hold_up_the_others() {
    let mut agents = fleet(6);
    for agent in agents.iter_mut().step_by(3) {
        agent.down = true;
    }
    let spread = spread(agents);
    assert!(spread.ended < END_MS, "not all are complete");
}

#[test]
fn without_an_agent_in_the_region_of_the_origin_others_draw() {
    let mut agents = fleet(4);
    for agent in agents.iter_mut().filter(|a| a.region == region("home")) {
        agent.down = true;
    }
    let spread = spread(agents);
    assert!(spread.ended < END_MS, "not all are complete");
}

#[test]
fn what_agents_hold_already_is_not_drawn_from_the_origin() {
    let mut agents = fleet(3);
    for chunk in (0..PIECES).map(ChunkIndex) {
        agents[0].held.insert(chunk);
    }
    let spread = spread(agents);
    assert!(spread.ended < END_MS, "not all are complete");
    assert_eq!(spread.draws, 0);
}

/// A large region, whose agents hear of each other a few at a time: the origin sends one copy
/// without a pause, so that it may go away right afterwards.
#[test]
fn a_large_region_empties_the_origin_without_a_pause() {
    // In each step an agent hears of three of 22 others.
    let spread = spread_with(sized([23, 10, 7]), |i, j, step| {
        (i * 7 + j * 5 + usize::try_from(step).expect("small") * 3) % 23 < 3
    });
    assert!(spread.ended < END_MS, "not all are complete");
    assert!(spread.draws <= ONE_COPY, "{} draws", spread.draws);
    let alone = u64::from(PIECES) * LINK_MS;
    assert!(spread.drawn <= alone * 115 / 100, "{} ms", spread.drawn);
}

/// One agent's link stalls while it draws: its pieces are drawn by the next ones, before the origin
/// goes away two and a half seconds after the version was named.
#[test]
fn pieces_of_an_agent_that_is_stuck_are_drawn_in_time() {
    let mut agents = sized([23, 10, 7]);
    agents[4].stuck = true;
    let spread = spread_with(agents, |i, j, step| {
        (i * 7 + j * 5 + usize::try_from(step).expect("small") * 3) % 23 < 3
    });
    assert!(spread.ended < END_MS, "not all are complete");
    assert!(spread.drawn <= 2_300, "{} ms", spread.drawn);
}

macro_rules! origin_rests {
    ($($case:ident: after $failures:literal failures => $ms:literal ms;)*) => {
        $(#[test] fn $case() {
            assert_eq!(origin_rest($failures), Duration::from_millis($ms));
        })*
    };
}

// Two pieces of a version were cut off on their way, the agents waited, and the origin was away.
origin_rests! {
    a_piece_that_was_cut_off_is_asked_for_again_at_once: after 1 failures => 0 ms;
    an_origin_that_fails_twice_rests: after 2 failures => 150 ms;
    it_rests_longer_each_time: after 4 failures => 600 ms;
    it_is_never_left_alone_for_long: after 40 failures => 1200 ms;
}

/// However many agents the origin's region has, they make no more connections than the origin
/// accepts, and share its link among a few.
#[test]
fn draws_at_once_do_not_grow_with_the_deployment() {
    for agents in [1, 8, 13, 22, 37, 100, 340] {
        let at_once = drawers(agents) * draws(agents);
        assert!(at_once <= 24, "{at_once} of {agents} agents");
    }
}

//! Detection of store outages by daemons, some of which get no answers while others do.

use apricothall_decide::outage::{AnsweredAge, OutageConfig, Outages};
use apricothall_decide::servers::{Listing, Server, ServerState, Servers};
use apricothall_decide::store_reachability::{ReadFailure, StoreReachability, Subject};
use apricothall_types::{MemberId, Timestamp, WallTime};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// State of a daemon that the store answered at `times`, in ms.
fn answered_at(times: &[u64]) -> Outages {
    let mut outages = Outages::new(OutageConfig::default());
    for time in times {
        outages.record_answer(at(*time));
    }
    outages
}

/// Milliseconds left of the restore period at `now`.
fn time_left(outages: &Outages, now: u64) -> u128 {
    outages.restore_time_left(at(now)).as_millis()
}

macro_rules! outages {
    ($($case:ident: own $own:expr, peer $peer:expr, at $now:literal => $left:literal;)*) => {
        $(#[test] fn $case() {
            let mut outages = answered_at(&$own);
            outages.merge_peer_answers(&answered_at(&$peer).answer_ages(at($now)), at($now), at($now));
            assert_eq!(time_left(&outages, $now), $left);
        })*
    };
}

outages! {
    no_answers_are_no_outage: own [], peer [], at 1_000 => 0;
    the_first_answer_is_no_outage: own [1_000], peer [], at 1_000 => 0;
    a_short_gap_is_no_outage: own [1_000, 3_500], peer [], at 3_500 => 0;
    a_long_gap_is_an_outage: own [1_000, 7_000], peer [], at 7_500 => 1_500;
    missing_answers_are_no_outage_when_a_peer_was_answered: own [1_000, 7_000], peer [1_200, 3_400, 5_600], at 7_500 => 0;
    an_outage_starts_after_the_last_answer_of_any: own [1_000, 7_000], peer [5_000], at 7_500 => 0;
    an_outage_ends_with_the_first_answer_of_any: own [1_000, 7_000], peer [6_200], at 7_500 => 700;
    an_outage_is_detected_from_reports_of_peers: own [1_000], peer [1_000, 7_000], at 7_500 => 1_500;
    an_outage_is_over_after_a_while: own [1_000, 7_000], peer [], at 9_000 => 0;
}

/// Reports of answers may arrive in any order.
#[test]
fn the_latest_outage_does_not_depend_on_the_order_of_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let mut times: Vec<u64> = (0..8).map(|_| rng.random_range(0..12_000)).collect();
        let mut sorted = times.clone();
        sorted.sort_unstable();
        let known = answered_at(&sorted);
        // Answers older than the latest outage are dropped, so the newest are added first.
        times.sort_unstable_by(|a, b| b.cmp(a));
        let found = answered_at(&times);
        let latest = |o: &Outages| o.latest().map(|(_, at)| at);
        assert_eq!(latest(&found), latest(&known), "{times:?}");
    }
}

/// Number of daemons in a simulation.
const DAEMONS: usize = 6;

/// Time between two steps of a simulation, in ms.
const STEP: u64 = 50;

/// Length of a simulation, in ms.
const LENGTH: u64 = 40_000;

/// Time in which all connected daemons must remove a server that has left, in ms.
const DRAIN: u64 = 2_000;

/// Time without a cut after which a daemon counts as connected to the store, and time for which the
/// store must have been available before an acknowledged departure is binding, in ms.
const STABLE: u64 = 3_000;

/// Time between two writes of a server's entry, in ms.
const HEARTBEAT: u64 = 1_200;

/// Interval at which a daemon that gets answers reads the store, in ms.
const READ_INTERVAL: u64 = 300;

/// Interval at which a daemon that gets no answers requests the list from a peer, in ms.
const PEER_INTERVAL: u64 = 400;

/// Number of servers in a simulation. Each leaves once, and its entry expires in long outages.
const SERVERS: usize = 6;

/// A span of time, in ms.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn draw(rng: &mut ChaCha8Rng, longest: u64) -> Self {
        let from = rng.random_range(4_000..LENGTH - 10_000);
        let to = from + rng.random_range(300..longest);
        Self { from, to }
    }

    fn touches(self, from: u64, to: u64) -> bool {
        self.from <= to && from < self.to
    }
}

/// Events of a simulation.
#[derive(Debug)]
struct Schedule {
    outages: Vec<Span>,
    /// Times at which single daemons get no answers from the store.
    cuts: Vec<(usize, Span)>,
    /// When each server's entry is removed for good.
    departures: Vec<u64>,
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let outages = (0..rng.random_range(0..3)).map(|_| Span::draw(&mut rng, 7_000));
        let outages: Vec<_> = outages.collect();
        let cuts = (0..rng.random_range(0..12)).map(|_| {
            let daemon = rng.random_range(0..DAEMONS);
            (daemon, Span::draw(&mut rng, 7_000))
        });
        let cuts = cuts.collect();
        let departures = (0..SERVERS).map(|_| rng.random_range(4_000..LENGTH - 6_000));
        Self {
            outages,
            cuts,
            departures: departures.collect(),
        }
    }

    fn is_away(&self, now: u64) -> bool {
        self.outages.iter().any(|o| o.touches(now, now))
    }

    /// Whether a daemon gets answers from the store.
    fn answers(&self, daemon: usize, now: u64) -> bool {
        let cut = self
            .cuts
            .iter()
            .any(|(d, c)| *d == daemon && c.touches(now, now));
        !cut && !self.is_away(now)
    }

    /// Whether a daemon has been connected to an available store for long enough.
    fn is_connected(&self, daemon: usize, now: u64) -> bool {
        let from = now.saturating_sub(STABLE);
        let stable = !self.outages.iter().any(|o| o.touches(from, now));
        stable
            && !self
                .cuts
                .iter()
                .any(|(d, c)| *d == daemon && c.touches(from, now))
    }

    /// Whether the store lists a server. Its entry expires after three heartbeats without the
    /// store, and a live server is listed again one heartbeat after the end of the outage.
    fn lists(&self, server: usize, now: u64) -> bool {
        let expired = self.outages.iter().any(|o| {
            let expiry = o.from + 3 * HEARTBEAT;
            expiry < o.to && expiry <= now && now < o.to + HEARTBEAT
        });
        now < self.departures[server] && !expired
    }

    /// Whether the departure of a server is binding: acknowledged while the store was stable.
    fn is_binding(&self, server: usize) -> bool {
        let left = self.departures[server];
        !self
            .outages
            .iter()
            .any(|o| o.touches(left.saturating_sub(STABLE), left))
    }
}

struct Daemon {
    servers: Servers,
    reachability: StoreReachability,
    /// Time of the next read of the store, or request to a peer.
    due: u64,
}

impl Daemon {
    /// Removes missing servers. A daemon without answers relies on the lists of its peers instead.
    fn expire(&mut self, now: u64) {
        if !self.reachability.is_lost(Subject::Servers) {
            self.servers.expire(at(now));
        }
    }
}

/// A message in transit.
struct Message {
    to: usize,
    at: u64,
    /// When the receiver had sent the last message that reached the sender.
    asked: u64,
    answered: Vec<AnsweredAge>,
    listing: Option<Listing>,
}

fn id(server: usize) -> MemberId {
    format!("s{server}").parse().expect("valid")
}

fn entry(server: usize) -> Server {
    Server {
        id: id(server),
        service: "drafts".into(),
        address: format!("10.0.0.{server}:80").parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        slots: 4,
        state: ServerState::Ready,
        born: WallTime(1),
        loaded: Vec::new(),
        cold_remaining: None,
    }
}

/// Simulates a schedule: daemons read the store, or the list of a peer that gets answers, and
/// exchange the times of their answers.
fn simulate(seed: u64, schedule: &Schedule) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons: Vec<_> = (0..DAEMONS)
        .map(|_| Daemon {
            servers: Servers::new(OutageConfig::default()),
            reachability: StoreReachability::default(),
            due: rng.random_range(0..READ_INTERVAL),
        })
        .collect();
    let mut in_transit: Vec<Message> = Vec::new();
    for now in (0..LENGTH / STEP).map(|step| step * STEP) {
        for index in 0..DAEMONS {
            daemons[index].expire(now);
            if daemons[index].due > now {
                continue;
            }
            if schedule.answers(index, now) {
                read(&mut daemons[index], schedule, now);
            } else {
                daemons[index].due = now + PEER_INTERVAL;
                let reachability = &mut daemons[index].reachability;
                reachability.failed(Subject::Servers, ReadFailure::Unreachable);
                in_transit.extend(request_list(&daemons, index, &mut rng, now));
            }
        }
        let (arrived, later): (Vec<_>, _) = in_transit.into_iter().partition(|m| m.at <= now);
        in_transit = later;
        for message in arrived {
            deliver(&mut daemons[message.to], message, now);
        }
        send(&daemons, &mut in_transit, &mut rng, now);
        check(&daemons, schedule, now)?;
    }
    Ok(())
}

fn read(daemon: &mut Daemon, schedule: &Schedule, now: u64) {
    daemon.due = now + READ_INTERVAL;
    daemon.reachability.answered(Subject::Servers);
    daemon.servers.outages.record_answer(at(now));
    let listed = (0..SERVERS).filter(|s| schedule.lists(*s, now));
    daemon.servers.replace(listed.map(entry).collect(), at(now));
}

/// The response of a peer that gets answers from the store, if there is one.
fn request_list(daemons: &[Daemon], to: usize, rng: &mut ChaCha8Rng, now: u64) -> Option<Message> {
    let healthy: Vec<_> = daemons
        .iter()
        .filter(|d| !d.reachability.is_lost(Subject::Servers))
        .collect();
    let peer = healthy.choose(rng)?;
    Some(Message {
        to,
        at: now + rng.random_range(5..100),
        asked: now,
        answered: Vec::new(),
        listing: Some(peer.servers.listing(at(now))),
    })
}

fn deliver(daemon: &mut Daemon, message: Message, now: u64) {
    let asked = at(message.asked);
    let servers = &mut daemon.servers;
    servers
        .outages
        .merge_peer_answers(&message.answered, asked, at(now));
    if let Some(listing) = message.listing {
        servers.adopt(listing, asked, at(now));
    }
    daemon.expire(now);
}

/// Each daemon sends a message to a random one every 200 ms on average, with one in ten lost.
fn send(daemons: &[Daemon], in_transit: &mut Vec<Message>, rng: &mut ChaCha8Rng, now: u64) {
    for daemon in daemons {
        if rng.random_bool(0.775) {
            continue;
        }
        in_transit.push(Message {
            to: rng.random_range(0..DAEMONS),
            at: now + rng.random_range(5..100),
            asked: now.saturating_sub(rng.random_range(5..500)),
            answered: daemon.servers.outages.answer_ages(at(now)),
            listing: None,
        });
    }
}

fn check(daemons: &[Daemon], schedule: &Schedule, now: u64) -> Result<(), String> {
    for (index, daemon) in daemons.iter().enumerate() {
        for server in 0..SERVERS {
            let known = daemon.servers.get(&id(server)).is_some();
            let left = schedule.departures[server];
            if known
                && now > left + DRAIN
                && schedule.is_binding(server)
                && schedule.is_connected(index, now)
            {
                return Err(format!(
                    "{now} ms: daemon {index} still lists server {server}, which left at {left} ms"
                ));
            }
            if !known && (2_000..left).contains(&now) {
                return Err(format!(
                    "{now} ms: daemon {index} has removed server {server}, which is live"
                ));
            }
        }
    }
    Ok(())
}

/// Guards against the incident DRAIN (docs/incidents/drain.md), and against a fix that empties the
/// list after an outage: whichever daemons get no answers, a server that left while the store was
/// available is removed in time, and one whose entry expired in an outage is kept.
#[test]
fn departures_are_distinguished_from_entries_that_expire_in_outages() {
    for seed in 0..400 {
        let schedule = Schedule::draw(seed);
        if let Err(fault) = simulate(seed, &schedule) {
            panic!("seed {seed}: {fault}; {schedule:#?}");
        }
    }
}

//! Outages of the store as a fleet of daemons sees them, some of which it does not answer.

use apricothall_decide::outage::{AnsweredAge, OutageConfig, Outages};
use apricothall_decide::readers::StoreReachability;
use apricothall_decide::servers::{Listing, Server, ServerState, Servers};
use apricothall_types::{MemberId, Timestamp, WallTime};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// What a daemon knows that the store answered at `times`, in ms.
fn knows(times: &[u64]) -> Outages {
    let mut outages = Outages::new(OutageConfig::default());
    for time in times {
        outages.record_answer(at(*time));
    }
    outages
}

/// Milliseconds left in which entries come back, as seen at `now`.
fn left(outages: &Outages, now: u64) -> u128 {
    outages.restore_time_left(at(now)).as_millis()
}

macro_rules! outages {
    ($($case:ident: own $own:expr, peer $peer:expr, at $now:literal => $left:literal;)*) => {
        $(#[test] fn $case() {
            let mut outages = knows(&$own);
            outages.merge_peer_answers(&knows(&$peer).answer_ages(at($now)), at($now), at($now));
            assert_eq!(left(&outages, $now), $left);
        })*
    };
}

outages! {
    nothing_known_is_no_outage: own [], peer [], at 1_000 => 0;
    the_first_answer_is_no_outage: own [1_000], peer [], at 1_000 => 0;
    a_short_silence_is_no_outage: own [1_000, 3_500], peer [], at 3_500 => 0;
    a_long_silence_is_an_outage: own [1_000, 7_000], peer [], at 7_500 => 1_500;
    silence_here_is_no_outage_when_a_peer_was_answered: own [1_000, 7_000], peer [1_200, 3_400, 5_600], at 7_500 => 0;
    an_outage_starts_after_the_last_answer_of_any: own [1_000, 7_000], peer [5_000], at 7_500 => 0;
    an_outage_ends_with_the_first_answer_of_any: own [1_000, 7_000], peer [6_200], at 7_500 => 700;
    what_peers_tell_shows_an_outage_as_well: own [1_000], peer [1_000, 7_000], at 7_500 => 1_500;
    an_outage_is_over_after_a_while: own [1_000, 7_000], peer [], at 9_000 => 0;
}

/// News may come in any order.
#[test]
fn what_is_known_does_not_depend_on_the_order_of_news() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let mut times: Vec<u64> = (0..8).map(|_| rng.random_range(0..12_000)).collect();
        let mut sorted = times.clone();
        sorted.sort_unstable();
        let known = knows(&sorted);
        // Older answers than those of the latest outage are not kept, so the newest come first.
        times.sort_unstable_by(|a, b| b.cmp(a));
        let found = knows(&times);
        let latest = |o: &Outages| o.latest().map(|(_, at)| at);
        assert_eq!(latest(&found), latest(&known), "{times:?}");
    }
}

/// Daemons of a model.
const DAEMONS: usize = 6;

/// Time between two steps of a model, in ms.
const STEP: u64 = 50;

/// Length of a play, in ms.
const PLAY: u64 = 40_000;

/// Time in which all daemons in touch drop a server that has left, in ms.
const DRAIN: u64 = 2_000;

/// Time for which a daemon has its way to the store before it counts as in touch, and for which the
/// store answers before what it acks binds, in ms.
const CONTACT: u64 = 3_000;

/// Time between two writes of a server's entry, in ms.
const HEARTBEAT: u64 = 1_200;

/// Time after which a daemon that the store answers hears of a change, in ms.
const READ_EVERY: u64 = 300;

/// Time between two questions to peers of one that it does not answer, in ms.
const ASK_EVERY: u64 = 400;

/// Servers of a model: each leaves once, when the store answers, or lapses in an outage.
const SERVERS: usize = 6;

/// A span of time, in ms.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn draw(rng: &mut ChaCha8Rng, longest: u64) -> Self {
        let from = rng.random_range(4_000..PLAY - 10_000);
        let to = from + rng.random_range(300..longest);
        Self { from, to }
    }

    fn touches(self, from: u64, to: u64) -> bool {
        self.from <= to && from < self.to
    }
}

/// When what happens in a play.
#[derive(Debug)]
struct Schedule {
    outages: Vec<Span>,
    /// Times at which the store turns a daemon away.
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
        let departures = (0..SERVERS).map(|_| rng.random_range(4_000..PLAY - 6_000));
        Self {
            outages,
            cuts,
            departures: departures.collect(),
        }
    }

    fn is_away(&self, now: u64) -> bool {
        self.outages.iter().any(|o| o.touches(now, now))
    }

    /// Whether the store answers a daemon.
    fn answers(&self, daemon: usize, now: u64) -> bool {
        let cut = self
            .cuts
            .iter()
            .any(|(d, c)| *d == daemon && c.touches(now, now));
        !cut && !self.is_away(now)
    }

    /// Whether a daemon has had its way to a stable store for long enough.
    fn in_touch(&self, daemon: usize, now: u64) -> bool {
        let from = now.saturating_sub(CONTACT);
        let stable = !self.outages.iter().any(|o| o.touches(from, now));
        stable
            && !self
                .cuts
                .iter()
                .any(|(d, c)| *d == daemon && c.touches(from, now))
    }

    /// Whether the store lists a server. It lapses after three heartbeats without the store, and a
    /// living one is back one heartbeat after its return.
    fn lists(&self, server: usize, now: u64) -> bool {
        let lapsed = self.outages.iter().any(|o| {
            let lapse = o.from + 3 * HEARTBEAT;
            lapse < o.to && lapse <= now && now < o.to + HEARTBEAT
        });
        now < self.departures[server] && !lapsed
    }

    /// Whether the departure of a server binds, as the store acked it in peace.
    fn binds(&self, server: usize) -> bool {
        let left = self.departures[server];
        !self
            .outages
            .iter()
            .any(|o| o.touches(left.saturating_sub(CONTACT), left))
    }
}

struct Daemon {
    servers: Servers,
    reach: StoreReachability,
    /// When it reads the store next.
    due: u64,
}

impl Daemon {
    /// One that the store does not answer goes by what others list.
    fn expire(&mut self, now: u64) {
        if !self.reach.is_lost() {
            self.servers.expire(at(now));
        }
    }
}

/// A message on its way.
struct Message {
    to: usize,
    at: u64,
    /// When its receiver had sent the last message that its sender had from it.
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
    }
}

/// Plays a schedule: daemons read the store, each in its turn, or ask a peer that it answers, and
/// tell each other when it answered.
fn play(seed: u64, schedule: &Schedule) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons: Vec<_> = (0..DAEMONS)
        .map(|_| Daemon {
            servers: Servers::new(OutageConfig::default()),
            reach: StoreReachability::default(),
            due: rng.random_range(0..READ_EVERY),
        })
        .collect();
    let mut under_way: Vec<Message> = Vec::new();
    for now in (0..PLAY / STEP).map(|step| step * STEP) {
        for index in 0..DAEMONS {
            daemons[index].expire(now);
            if daemons[index].due > now {
                continue;
            }
            if schedule.answers(index, now) {
                read(&mut daemons[index], schedule, now);
            } else {
                daemons[index].due = now + ASK_EVERY;
                daemons[index].reach.failed();
                under_way.extend(ask(&daemons, index, &mut rng, now));
            }
        }
        let (arrived, later): (Vec<_>, _) = under_way.into_iter().partition(|m| m.at <= now);
        under_way = later;
        for message in arrived {
            take(&mut daemons[message.to], message, now);
        }
        send(&daemons, &mut under_way, &mut rng, now);
        check(&daemons, schedule, now)?;
    }
    Ok(())
}

fn read(daemon: &mut Daemon, schedule: &Schedule, now: u64) {
    daemon.due = now + READ_EVERY;
    daemon.reach.answered(at(now));
    daemon.servers.outages.record_answer(at(now));
    let listed = (0..SERVERS).filter(|s| schedule.lists(*s, now));
    daemon.servers.replace(listed.map(entry).collect(), at(now));
}

/// The answer of a peer that the store answers, if there is one.
fn ask(daemons: &[Daemon], to: usize, rng: &mut ChaCha8Rng, now: u64) -> Option<Message> {
    let sound: Vec<_> = daemons.iter().filter(|d| !d.reach.is_lost()).collect();
    let peer = sound.choose(rng)?;
    Some(Message {
        to,
        at: now + rng.random_range(5..100),
        asked: now,
        answered: Vec::new(),
        listing: Some(peer.servers.listing(at(now))),
    })
}

fn take(daemon: &mut Daemon, message: Message, now: u64) {
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

/// Each daemon tells another one, every 200 ms on average, one message in ten lost.
fn send(daemons: &[Daemon], under_way: &mut Vec<Message>, rng: &mut ChaCha8Rng, now: u64) {
    for daemon in daemons {
        if rng.random_bool(0.775) {
            continue;
        }
        under_way.push(Message {
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
                && schedule.binds(server)
                && schedule.in_touch(index, now)
            {
                return Err(format!(
                    "{now}: daemon {index} still lists {server}, gone since {left}"
                ));
            }
            if !known && (2_000..left).contains(&now) {
                return Err(format!(
                    "{now}: daemon {index} has dropped {server}, which lives"
                ));
            }
        }
    }
    Ok(())
}

/// Guards against DRAIN, and against a remedy that empties the list after an outage: whatever some
/// daemons meet, a server that left in peace is gone in time, and one that lapsed keeps its place.
#[test]
fn departures_are_told_from_lapses_whoever_the_store_turns_away() {
    for seed in 0..400 {
        let schedule = Schedule::draw(seed);
        if let Err(fault) = play(seed, &schedule) {
            panic!("seed {seed}: {fault}; {schedule:#?}");
        }
    }
}

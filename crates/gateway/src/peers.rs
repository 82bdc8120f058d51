//! Other daemons, as heard of by gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::cadence::{ROUND, Receivers, silence_timeout};
use apricothall_decide::outage::AnsweredAge;
use apricothall_decide::placement::Distance;
use apricothall_decide::quarantine::Record;
use apricothall_decide::readers::{HealthyPeer, ReaderRole, reader_role};
use apricothall_decide::reload::Progress;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{Digest, Incarnation, MemberId, Region, Revision, Role, Timestamp, Zone};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::settings::Settings;

/// Silence after which a daemon of this zone no longer counts as one that reads the store.
const READER_TIMEOUT: Duration = Duration::from_secs(1);

/// Half times between two of its messages after which it does not either.
const READER_MESSAGES: u32 = 5;

/// Shortest silence between two processes of one daemon.
const MIN_RESTART: Duration = Duration::from_millis(400);

/// Silence after which a daemon is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Whether a daemon takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It lacks what it needs to serve.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it runs and ends.
    Leaving,
}

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// Its id.
    pub id: MemberId,
    /// Its role.
    pub role: Role,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM.
    pub region: Region,
    /// Its start.
    pub incarnation: Incarnation,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for callers; entries only.
    pub public: Option<SocketAddr>,
    /// Whether it takes work.
    pub phase: Phase,
}

/// What an agent tells of the engine beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Start of its present life, in ms since the Unix epoch; zero while it does not answer.
    pub born: u64,
    /// Model and version that it serves.
    pub serving: Option<(SmolStr, u64)>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Its pace in percent of the published one: 200 is half as fast.
    pub pace: u32,
    /// Version that the agent fetches or holds.
    pub version: u64,
    /// Newest version that the agent holds whole; zero for none.
    pub whole: u64,
    /// How far its engine is on its way to the newest version.
    pub progress: Progress,
    /// Pieces of that version that the agent can pass on.
    pub held: ChunkSet,
    /// Pieces of that version that the agent is fetching from outside its region.
    pub flying: ChunkSet,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The model.
    pub model: SmolStr,
    /// The version.
    pub version: u64,
    /// Time since it was named, in ms, if that is known.
    pub age: Option<u64>,
}

/// Names a message by its sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Start of the daemon that sent it.
    pub incarnation: Incarnation,
    /// Its clock when it was sent.
    pub stamp: Timestamp,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Who sends it.
    pub hello: DaemonInfo,
    /// Sender's clock when it was sent.
    pub stamp: Timestamp,
    /// The last message that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// Revision of the configuration in force at the sender.
    pub revision: Revision,
    /// Age of its last confirmation, in ms.
    pub confirmed: Option<u64>,
    /// Revision up to which it knows the servers.
    pub servers: Revision,
    /// Whether the store does not answer it.
    pub away: bool,
    /// When the store answered any daemon.
    pub answered: Vec<AnsweredAge>,
    /// Versions of models.
    pub versions: Vec<VersionStatus>,
    /// Requests that end servers, as far as there is news of them.
    pub suspects: Vec<(Digest, Record)>,
    /// A digest of what the sender knows of such requests; zero for nothing.
    pub quarantine: u64,
    /// The engine beside the sender; agents only.
    pub engine: Option<EngineStatus>,
    /// Addresses of other daemons.
    pub known: Vec<SocketAddr>,
    /// Rounds between two messages to the receiver.
    pub every: u32,
}

/// A daemon as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub hello: DaemonInfo,
    /// When it was last heard.
    pub heard: Timestamp,
    /// Stamp of its last message.
    pub stamp: Timestamp,
    /// Revision of the configuration in force there.
    pub revision: Revision,
    /// Revision up to which it knows the servers.
    pub servers: Revision,
    /// Whether the store does not answer it.
    pub away: bool,
    /// A digest of what it knows of requests that end servers; zero for nothing.
    pub quarantine: u64,
    /// The engine beside it.
    pub engine: Option<EngineStatus>,
    /// Its role, and how far it is.
    pub kind: Receivers,
    /// Whether it is in another region.
    pub far: bool,
    /// Time between two of its messages.
    pub between: Duration,
    /// Silence after which it counts as gone.
    pub silence: Duration,
}

impl Peer {
    /// Whether it was heard lately.
    #[must_use]
    pub fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.heard) < self.silence
    }

    /// Whether it serves and the store answers it, so that others may learn from it.
    #[must_use]
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        let limit = if self.far {
            self.silence
        } else {
            READER_TIMEOUT.max(self.between * READER_MESSAGES / 2)
        };
        self.hello.phase == Phase::Serving && !self.away && now.since(self.heard) < limit
    }
}

/// Whether `gossip` was sent before the last message taken. Incarnations come from the time of
/// day, which may be set back, so that after a silence another incarnation counts as a later one.
fn is_older(gossip: &Gossip, before: &Peer, now: Timestamp) -> bool {
    let (new, old) = (gossip.hello.incarnation, before.hello.incarnation);
    if new == old {
        return gossip.stamp <= before.stamp;
    }
    new < old && now.since(before.heard) < MIN_RESTART
}

/// What a message says of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipEffect {
    /// Less than one taken before.
    Stale,
    /// That it is as before.
    Unchanged,
    /// That it is new, or in another phase.
    Changed,
}

/// Daemons of each kind that were heard lately.
pub type Counts = BTreeMap<Receivers, u32>;

/// Counts and when they were taken.
type Counted = (Timestamp, Arc<Counts>);

/// All daemons heard of.
#[derive(Default)]
pub struct Peers {
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
    counted: Mutex<Option<Counted>>,
}

impl Peers {
    fn known(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a message, unless it is older than one taken before.
    pub fn take(&self, gossip: &Gossip, settings: &Settings, now: Timestamp) -> GossipEffect {
        let mut known = self.known();
        let address = gossip.hello.address;
        if known
            .get(&address)
            .is_some_and(|before| is_older(gossip, before, now))
        {
            return GossipEffect::Stale;
        }
        let distance = settings.distance(&gossip.hello.zone);
        let peer = Peer {
            hello: gossip.hello.clone(),
            heard: now,
            stamp: gossip.stamp,
            revision: gossip.revision,
            servers: gossip.servers,
            away: gossip.away,
            quarantine: gossip.quarantine,
            engine: gossip.engine.clone(),
            kind: Receivers {
                role: gossip.hello.role,
                distance,
            },
            far: distance == Distance::Far,
            between: ROUND * gossip.every,
            silence: silence_timeout(gossip.every),
        };
        let before = known.insert(address, peer);
        if before.is_none() {
            known.retain(|_, p| now.since(p.heard) < FORGET_AFTER);
        }
        let state = |hello: &DaemonInfo| (hello.phase, hello.incarnation);
        if before.is_some_and(|p| state(&p.hello) == state(&gossip.hello)) {
            return GossipEffect::Unchanged;
        }
        GossipEffect::Changed
    }

    /// The agents heard lately whose engine's note is `wanted`.
    #[must_use]
    pub fn agents(&self, now: Timestamp, wanted: impl Fn(&EngineStatus) -> bool) -> Vec<Peer> {
        let known = self.known();
        let alive = known.values().filter(|p| p.is_alive(now));
        let found = alive.filter(|p| p.hello.role == Role::Agent);
        let found = found.filter(|p| p.engine.as_ref().is_some_and(&wanted));
        found.cloned().collect()
    }

    /// Addresses of at most `most` daemons heard lately, drawn anew each time.
    #[must_use]
    pub fn sample(&self, most: usize, rng: &mut impl Rng, now: Timestamp) -> Vec<SocketAddr> {
        let known = self.known();
        let alive = known.values().filter(|p| p.is_alive(now));
        let addresses = alive.map(|p| p.hello.address);
        addresses.choose_multiple(rng, most)
    }

    /// How many daemons of each kind were heard lately, at most a round ago.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> Arc<Counts> {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, counts)) = counted.as_ref().filter(|(at, _)| now.since(*at) < ROUND) {
            return counts.clone();
        }
        let mut counts = Counts::default();
        self.each(now, |peer| *counts.entry(peer.kind).or_default() += 1);
        let counts = Arc::new(counts);
        *counted = Some((now, counts.clone()));
        counts
    }

    /// Runs `read` on each daemon heard lately.
    pub fn each(&self, now: Timestamp, mut read: impl FnMut(&Peer)) {
        for peer in self.known().values().filter(|p| p.is_alive(now)) {
            read(peer);
        }
    }

    /// What the daemon of `settings` does about the store.
    #[must_use]
    pub fn reader_role(&self, settings: &Settings, now: Timestamp) -> ReaderRole {
        let known = self.known();
        let healthy = known.values().filter(|p| p.is_healthy(now));
        let others = healthy.map(|p| HealthyPeer {
            id: &p.hello.id,
            role: p.hello.role,
            same_zone: p.hello.zone == settings.zone,
        });
        reader_role(&settings.id, settings.role, others)
    }

    /// Entries of the zone that come before the daemon of `settings` and that the store does not
    /// answer either.
    #[must_use]
    pub fn preceding_without_store(&self, settings: &Settings, now: Timestamp) -> u32 {
        let mut before = 0;
        self.each(now, |peer| {
            let near = peer.hello.zone == settings.zone && peer.hello.role == Role::Entry;
            let ahead = settings.role == Role::Agent || peer.hello.id < settings.id;
            before += u32::from(near && peer.away && ahead);
        });
        before
    }

    /// Addresses of all daemons known, silent ones included.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known().keys().copied().collect()
    }

    /// The last message from `address`.
    #[must_use]
    pub fn echo(&self, address: &SocketAddr) -> Option<Echo> {
        self.known().get(address).map(|p| Echo {
            incarnation: p.hello.incarnation,
            stamp: p.stamp,
        })
    }

    /// Whether the daemon at `address` was heard lately.
    #[must_use]
    pub fn is_alive(&self, address: &SocketAddr, now: Timestamp) -> bool {
        let known = self.known();
        known.get(address).is_some_and(|p| p.is_alive(now))
    }

    /// The kind of the daemon at `address`, if it was ever heard.
    #[must_use]
    pub fn kind(&self, address: &SocketAddr) -> Option<Receivers> {
        self.known().get(address).map(|p| p.kind)
    }
}

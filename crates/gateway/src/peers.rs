//! Other daemons, as heard of by gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::cadence::silence;
use apricothall_decide::placement::Distance;
use apricothall_decide::quarantine::Record;
use apricothall_decide::readers::{Sound, Turn, turn};
use apricothall_decide::reload::Progress;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{Digest, Incarnation, MemberId, Region, Revision, Role, Timestamp, Zone};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::settings::Settings;

/// Silence after which a daemon of this zone no longer counts as one that reads the store.
const READER_SILENCE: Duration = Duration::from_secs(1);

/// Shortest silence between two processes of one daemon.
const RESTART: Duration = Duration::from_millis(400);

/// Silence after which a daemon is forgotten.
const FORGET: Duration = Duration::from_secs(30);

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
pub struct Hello {
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
pub struct EngineNote {
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
pub struct VersionNote {
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
    pub hello: Hello,
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
    /// Versions of models.
    pub versions: Vec<VersionNote>,
    /// Requests that end servers, as far as there is news of them.
    pub suspects: Vec<(Digest, Record)>,
    /// A digest of what the sender knows of such requests; zero for nothing.
    pub quarantine: u64,
    /// The engine beside the sender; agents only.
    pub engine: Option<EngineNote>,
    /// Addresses of other daemons.
    pub known: Vec<SocketAddr>,
}

/// A daemon as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub hello: Hello,
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
    pub engine: Option<EngineNote>,
    /// Whether it is in another region.
    pub far: bool,
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
    pub fn is_sound(&self, now: Timestamp) -> bool {
        let limit = if self.far {
            self.silence
        } else {
            READER_SILENCE
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
    new < old && now.since(before.heard) < RESTART
}

/// All daemons heard of.
#[derive(Default)]
pub struct Peers {
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
}

impl Peers {
    fn known(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a message. False when it is older than one taken before.
    pub fn take(&self, gossip: &Gossip, settings: &Settings, now: Timestamp) -> bool {
        let mut known = self.known();
        let address = gossip.hello.address;
        if known
            .get(&address)
            .is_some_and(|before| is_older(gossip, before, now))
        {
            return false;
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
            far: distance == Distance::Far,
            silence: silence(gossip.hello.role, settings.role, distance),
        };
        let before = known.insert(address, peer);
        let phase = before.map(|p| (p.hello.phase, p.hello.incarnation));
        if phase != Some((gossip.hello.phase, gossip.hello.incarnation)) {
            tracing::info!(peer = %gossip.hello.id, %address, phase = ?gossip.hello.phase, incarnation = %gossip.hello.incarnation, "peer heard");
        }
        known.retain(|_, p| now.since(p.heard) < FORGET);
        true
    }

    /// All daemons heard lately.
    #[must_use]
    pub fn alive(&self, now: Timestamp) -> Vec<Peer> {
        let known = self.known();
        known
            .values()
            .filter(|p| p.is_alive(now))
            .cloned()
            .collect()
    }

    /// Runs `read` on each daemon heard lately.
    pub fn each(&self, now: Timestamp, mut read: impl FnMut(&Peer)) {
        for peer in self.known().values().filter(|p| p.is_alive(now)) {
            read(peer);
        }
    }

    /// What the daemon of `settings` does about the store.
    #[must_use]
    pub fn turn(&self, settings: &Settings, now: Timestamp) -> Turn {
        let known = self.known();
        let sound = known.values().filter(|p| p.is_sound(now));
        let others = sound.map(|p| Sound {
            id: &p.hello.id,
            role: p.hello.role,
            near: p.hello.zone == settings.zone,
        });
        turn(&settings.id, settings.role, others)
    }

    /// Whether the store does not answer some daemon heard lately.
    #[must_use]
    pub fn any_away(&self, now: Timestamp) -> bool {
        let known = self.known();
        known.values().any(|p| p.away && p.is_alive(now))
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

    /// The daemon at `address`, if it was heard lately.
    #[must_use]
    pub fn get(&self, address: &SocketAddr, now: Timestamp) -> Option<Peer> {
        let known = self.known();
        known.get(address).filter(|p| p.is_alive(now)).cloned()
    }
}

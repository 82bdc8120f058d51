//! State of other daemons, received by gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::cadence::{ROUND, Receivers, naming_timeout, silence_timeout};
use apricothall_decide::evacuation::EvacuationSet;
use apricothall_decide::loaded::Weights;
use apricothall_decide::outage::AnsweredAge;
use apricothall_decide::placement::Distance;
use apricothall_decide::prompt_parts::PartReport;
use apricothall_decide::quarantine::Record;
use apricothall_decide::readers::{HealthyPeer, ReaderRole, reader_role};
use apricothall_decide::reload::Progress;
use apricothall_decide::server_limits::LimitRecord;
use apricothall_decide::store_reachability::{LostSubjects, Subject};
use apricothall_decide::token_memory::MemoryReport;
use apricothall_decide::transfer::ChunkSet;
use apricothall_types::{
    ConfigurationRevision, Digest, Incarnation, MemberId, Region, Role, StoreRevision, Timestamp,
    TokenCount, Zone,
};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::settings::Settings;

/// Minimum silence after which a daemon of the same region no longer counts as a reader of the
/// store.
const READER_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum silence, in half message intervals (5 means 2.5 intervals), after which a daemon of the
/// same region no longer counts as a reader of the store. The larger of this and [`READER_TIMEOUT`]
/// applies.
const READER_HALF_INTERVALS: u32 = 5;

/// Minimum time between the last message of a process and the first one of its successor.
const MIN_RESTART: Duration = Duration::from_millis(400);

/// Silence after which a daemon is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Lifecycle phase of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does not have all data needed to serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It completes the running work and shuts down.
    Leaving,
}

/// Identity and phase of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// Id of the daemon.
    pub id: MemberId,
    /// Its role.
    pub role: Role,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM.
    pub region: Region,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for callers; entries only.
    pub public: Option<SocketAddr>,
    /// Its lifecycle phase.
    pub phase: Phase,
}

/// Status of the engine on an agent's VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Start time of the engine, in ms since the Unix epoch; zero while it does not respond.
    pub born: u64,
    /// Model and version that it serves.
    pub serving: Option<(SmolStr, u64)>,
    /// What is known of the weights that it has loaded.
    pub weights: Weights,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Slowdown compared with the published timing, in percent: 200 means half as fast.
    pub pace: u32,
    /// Memory for the tokens of requests, if the engine tells.
    pub memory: Option<EngineMemory>,
    /// Version that the agent fetches or holds.
    pub version: u64,
    /// Latest version that the agent holds completely; zero if there is none.
    pub whole: u64,
    /// Progress of the engine towards the latest version.
    pub progress: Progress,
    /// Pieces of that version that the agent can send to others.
    pub held: ChunkSet,
    /// Pieces of that version that the agent is fetching from outside its region.
    pub flying: ChunkSet,
}

/// Memory of an engine for the tokens of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMemory {
    /// Tokens that cannot be freed.
    pub used: u64,
    /// Tokens that fit.
    pub total: u64,
}

impl From<MemoryReport> for EngineMemory {
    fn from(report: MemoryReport) -> Self {
        Self {
            used: report.used.0,
            total: report.total.0,
        }
    }
}

impl From<EngineMemory> for MemoryReport {
    fn from(memory: EngineMemory) -> Self {
        Self {
            used: TokenCount(memory.used),
            total: TokenCount(memory.total),
        }
    }
}

/// A published version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Name of the model.
    pub model: SmolStr,
    /// The version.
    pub version: u64,
    /// Time since its publication in ms, if known.
    pub age: Option<u64>,
}

/// Identifies a message by its sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Time of sending, by the sender's clock.
    pub stamp: Timestamp,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Identity of the sender.
    pub hello: DaemonInfo,
    /// Time of sending, by the sender's clock.
    pub stamp: Timestamp,
    /// Last message that the sender received from the receiver.
    pub echo: Option<Echo>,
    /// Revision of the sender's current configuration.
    pub revision: ConfigurationRevision,
    /// Age of its last confirmation, in ms.
    pub confirmed: Option<u64>,
    /// Revision of the sender's server list.
    pub servers: StoreRevision,
    /// Revision of the store up to which the configuration is known to be the latest.
    pub checked: Option<StoreRevision>,
    /// Evacuated zones in the store.
    pub evacuations: EvacuationSet,
    /// Subjects that the sender cannot read from the store.
    pub lost: LostSubjects,
    /// Periods in which the store answered any daemon.
    pub answered: Vec<AnsweredAge>,
    /// Versions of models.
    pub versions: Vec<VersionStatus>,
    /// Recently changed records of requests that crash servers.
    pub suspects: Vec<(Digest, Record)>,
    /// Recently changed records of parts of prompts that crash servers.
    pub parts: Vec<PartReport>,
    /// Digest of all such records that daemons share; zero if there are none.
    pub quarantine: u64,
    /// Limits of servers, to entries only.
    pub limits: Vec<LimitRecord>,
    /// Status of the sender's engine; agents only.
    pub engine: Option<EngineStatus>,
    /// Start of the receiver's engine, if the sender last heard that its weights may be bad.
    pub doubted: Option<u64>,
    /// Addresses of other daemons.
    pub known: Vec<SocketAddr>,
    /// Number of rounds between two messages to the receiver.
    pub every: u32,
}

/// A daemon, as of its last message.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its identity.
    pub hello: DaemonInfo,
    /// When the last message was received.
    pub last_heard: Timestamp,
    /// A time before which the last message did not arrive at this VM. It may have waited to be
    /// received while this process stood still.
    pub arrived_after: Timestamp,
    /// Timestamp in the last message.
    pub stamp: Timestamp,
    /// Revision of its current configuration.
    pub revision: ConfigurationRevision,
    /// Revision of its server list.
    pub servers: StoreRevision,
    /// Subjects that it cannot read from the store.
    pub lost: LostSubjects,
    /// Digest of its shared records of requests that crash servers; zero if there are none.
    pub quarantine: u64,
    /// Status of its engine.
    pub engine: Option<EngineStatus>,
    /// Its role and distance.
    pub kind: Receivers,
    /// Whether it is in another region.
    pub far: bool,
    /// Interval of its messages.
    pub message_interval: Duration,
    /// Silence after which it counts as failed.
    pub timeout: Duration,
    /// Silence after which it is no longer named to callers.
    pub naming_timeout: Duration,
}

impl Gossip {
    /// Latest revision of the store known to the sender.
    #[must_use]
    pub fn store_revision(&self) -> StoreRevision {
        self.servers.max(self.checked.unwrap_or_default())
    }
}

impl Peer {
    /// Whether a message from it was received within its timeout.
    #[must_use]
    pub fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) < self.timeout
    }

    /// Whether it may be named to callers, which must not be sent to an entry that is gone.
    #[must_use]
    pub fn may_be_named(&self, now: Timestamp) -> bool {
        self.is_alive(now) && now.since(self.arrived_after) < self.naming_timeout
    }

    /// Whether it serves and can read `subject` from the store, so that other daemons may fetch
    /// updates from it.
    #[must_use]
    pub fn is_healthy(&self, subject: Subject, now: Timestamp) -> bool {
        let limit = if self.far {
            self.timeout
        } else {
            READER_TIMEOUT.max(self.message_interval * READER_HALF_INTERVALS / 2)
        };
        let is_serving = self.hello.phase == Phase::Serving;
        is_serving && !self.lost.contains(subject) && now.since(self.last_heard) < limit
    }
}

/// Whether `gossip` was sent before the last accepted message. Incarnations are derived from the
/// wall clock, which may be set back. After a silence, a different incarnation therefore counts as
/// newer.
fn is_older(gossip: &Gossip, before: &Peer, now: Timestamp) -> bool {
    let (new, old) = (gossip.hello.incarnation, before.hello.incarnation);
    if new == old {
        return gossip.stamp <= before.stamp;
    }
    new < old && now.since(before.last_heard) < MIN_RESTART
}

/// Effect of a message on the state of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipEffect {
    /// The message is older than an accepted one and was ignored.
    Stale,
    /// Phase and incarnation are unchanged.
    Unchanged,
    /// The sender is new, restarted or changed its phase.
    Changed,
}

/// Number of live daemons by kind.
pub type Counts = BTreeMap<Receivers, u32>;

/// Counts, with the time at which they were computed.
type CachedCounts = (Timestamp, Arc<Counts>);

/// All daemons from which gossip messages were received, until they are removed.
#[derive(Default)]
pub struct Peers {
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
    cached_counts: Mutex<Option<CachedCounts>>,
}

impl Peers {
    fn known(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a message unless it is older than an accepted one. It arrived after `arrived_after`
    /// and is received now.
    pub fn record_message(
        &self,
        gossip: &Gossip,
        settings: &Settings,
        arrived_after: Timestamp,
        now: Timestamp,
    ) -> GossipEffect {
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
            last_heard: now,
            arrived_after,
            stamp: gossip.stamp,
            revision: gossip.revision,
            servers: gossip.servers,
            lost: gossip.lost,
            quarantine: gossip.quarantine,
            engine: gossip.engine.clone(),
            kind: Receivers {
                role: gossip.hello.role,
                distance,
            },
            far: distance == Distance::Far,
            message_interval: ROUND * gossip.every,
            timeout: silence_timeout(gossip.every),
            naming_timeout: naming_timeout(gossip.every),
        };
        let before = known.insert(address, peer);
        if before.is_none() {
            known.retain(|_, p| now.since(p.last_heard) < REMOVAL_TIMEOUT);
        }
        let state = |hello: &DaemonInfo| (hello.phase, hello.incarnation);
        if before.is_some_and(|p| state(&p.hello) == state(&gossip.hello)) {
            return GossipEffect::Unchanged;
        }
        GossipEffect::Changed
    }

    /// Live agents whose engine status satisfies `wanted`.
    #[must_use]
    pub fn agents(&self, now: Timestamp, wanted: impl Fn(&EngineStatus) -> bool) -> Vec<Peer> {
        let known = self.known();
        let alive = known.values().filter(|p| p.is_alive(now));
        let found = alive.filter(|p| p.hello.role == Role::Agent);
        let found = found.filter(|p| p.engine.as_ref().is_some_and(&wanted));
        found.cloned().collect()
    }

    /// Addresses of at most `most` live daemons, selected at random on each call.
    #[must_use]
    pub fn sample(&self, most: usize, rng: &mut impl Rng, now: Timestamp) -> Vec<SocketAddr> {
        let known = self.known();
        let alive = known.values().filter(|p| p.is_alive(now));
        let addresses = alive.map(|p| p.hello.address);
        addresses.choose_multiple(rng, most)
    }

    /// Number of live daemons by kind, cached for one round.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> Arc<Counts> {
        let mut cached_counts = self
            .cached_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((_, counts)) = cached_counts
            .as_ref()
            .filter(|(at, _)| now.since(*at) < ROUND)
        {
            return counts.clone();
        }
        let mut counts = Counts::default();
        self.each(now, |peer| *counts.entry(peer.kind).or_default() += 1);
        let counts = Arc::new(counts);
        *cached_counts = Some((now, counts.clone()));
        counts
    }

    /// Calls `read` for each live daemon.
    pub fn each(&self, now: Timestamp, mut read: impl FnMut(&Peer)) {
        for peer in self.known().values().filter(|p| p.is_alive(now)) {
            read(peer);
        }
    }

    /// Role of the daemon with `settings` in reading `subject` from the store.
    #[must_use]
    pub fn reader_role(&self, settings: &Settings, subject: Subject, now: Timestamp) -> ReaderRole {
        let known = self.known();
        let healthy = known.values().filter(|p| p.is_healthy(subject, now));
        let others = healthy.map(|p| HealthyPeer {
            id: &p.hello.id,
            role: p.hello.role,
            same_zone: p.hello.zone == settings.zone,
        });
        reader_role(&settings.id, settings.role, others)
    }

    /// Number of entries in the zone that precede the daemon with `settings` and satisfy `wanted`.
    #[must_use]
    pub fn preceding_entries(
        &self,
        settings: &Settings,
        now: Timestamp,
        wanted: impl Fn(&Peer) -> bool,
    ) -> u32 {
        let mut before = 0;
        self.each(now, |peer| {
            let near = peer.hello.zone == settings.zone && peer.hello.role == Role::Entry;
            let ahead = settings.role == Role::Agent || peer.hello.id < settings.id;
            before += u32::from(near && ahead && wanted(peer));
        });
        before
    }

    /// Addresses of all daemons in the list, including silent ones.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known().keys().copied().collect()
    }

    /// Reference to the last message from `address`.
    #[must_use]
    pub fn echo(&self, address: &SocketAddr) -> Option<Echo> {
        self.known().get(address).map(|p| Echo {
            incarnation: p.hello.incarnation,
            stamp: p.stamp,
        })
    }

    /// Whether a message from the daemon at `address` was received within its timeout.
    #[must_use]
    pub fn is_alive(&self, address: &SocketAddr, now: Timestamp) -> bool {
        let known = self.known();
        known.get(address).is_some_and(|p| p.is_alive(now))
    }

    /// Address of the engine of the agent at `address`.
    #[must_use]
    pub fn engine_address(&self, address: &SocketAddr) -> Option<SocketAddr> {
        let known = self.known();
        let engine = known.get(address)?.engine.as_ref()?;
        Some(engine.address)
    }

    /// Kind of the daemon at `address`, if it is in the list.
    #[must_use]
    pub fn kind(&self, address: &SocketAddr) -> Option<Receivers> {
        self.known().get(address).map(|p| p.kind)
    }
}

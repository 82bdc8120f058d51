//! UDP gossip by which daemons discover each other and exchange their state.
//!
//! Each message echoes the receiver's last timestamp. The receiver can therefore convert the age of
//! a confirmation in the message to a time of its own clock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::cadence::{ROUND, Receivers, fetch_sample, is_due, period};
use apricothall_decide::placement::Distance;
use apricothall_decide::update_queue::{Fanout, fanout};
use apricothall_types::{Role, Timestamp};
use apricothall_wire::WireError;
use apricothall_wire::codec::{decode, encode};
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::net::UdpSocket;

use crate::Context;
use crate::dialect::Subject;
use crate::log_budgets::millis;
use crate::peers::{Counts, DaemonInfo, EngineStatus, Gossip, GossipEffect, Phase, VersionStatus};
use crate::published::Reader;
use crate::quarantine::{CrashRecords, crash_of, has_other_records};
use crate::settings::Settings;
use crate::traffic::Kind;

/// Number of rounds between attempts to reach silent daemons.
const PROBE_ROUNDS: u64 = 4;

/// Maximum number of receivers per round.
const MAX_FANOUT: usize = 64;

/// Maximum number of addresses of other daemons per message.
const MAX_KNOWN_ADDRESSES: usize = 6;

/// Maximum number of versions per model and message.
const MAX_VERSIONS: usize = 3;

/// Maximum size of a datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// Precision of the time before which a message did not arrive.
const ARRIVAL_PRECISION: Duration = Duration::from_millis(100);

/// Sends and receives gossip until the process ends.
///
/// # Errors
/// If the port cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let settings = context.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let (receiving, from) = (context.clone(), socket.clone());
    context
        .lifecycle
        .spawn(async move { receive(&receiving, &from).await });
    let (updates_context, to) = (context.clone(), socket.clone());
    context
        .lifecycle
        .spawn(async move { send_updates(&updates_context, &to).await });
    let sending = context.clone();
    context
        .lifecycle
        .spawn(async move { send(&sending, &socket).await });
    Ok(())
}

/// Receives messages. While this process stands still, they wait in the socket: all that is known of
/// their age is that they arrived after the socket was last empty.
async fn receive(context: &Context, socket: &UdpSocket) {
    let mut buffer = [0; DATAGRAM_BYTES];
    let mut empty_at = context.clock.now();
    loop {
        let checked_at = context.clock.now();
        match socket.try_recv_from(&mut buffer) {
            Ok((length, from)) => match decode::<Gossip>(&buffer[..length]) {
                Ok(gossip) => handle_message(context, socket, &gossip, empty_at).await,
                Err(error) => {
                    metrics::counter!("apricothall_gossip_unusable_total").increment(1);
                    tracing::warn!(%from, %error, "cannot decode gossip message");
                }
            },
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                empty_at = wait_readable(context, socket, checked_at).await;
            }
            Err(error) => {
                // The error may stem from an earlier datagram that its receiver refused; receiving
                // can go on.
                tracing::debug!(%error, "cannot receive gossip message");
            }
        }
        tokio::task::coop::consume_budget().await;
    }
}

/// Waits for a message. Returns the latest known time, from `empty_at` on, at which there was none.
async fn wait_readable(context: &Context, socket: &UdpSocket, empty_at: Timestamp) -> Timestamp {
    let mut empty_at = empty_at;
    loop {
        let waiting_since = context.clock.now();
        let waited = tokio::time::timeout(ARRIVAL_PRECISION, socket.readable()).await;
        if waited.is_ok() {
            return empty_at;
        }
        // The socket was looked at after the wait began and before it ended.
        empty_at = waiting_since;
    }
}

async fn handle_message(
    context: &Context,
    socket: &UdpSocket,
    gossip: &Gossip,
    arrived_after: Timestamp,
) {
    let now = context.clock.now();
    let was_alive = context.peers.is_alive(&gossip.hello.address, now);
    let settings = context.settings();
    match context
        .peers
        .record_message(gossip, &settings, arrived_after, now)
    {
        GossipEffect::Stale => return,
        GossipEffect::Unchanged => {}
        GossipEffect::Changed => log_peer(context, &gossip.hello, now),
    }
    let sender = &gossip.hello.id;
    context
        .published
        .observe_era(gossip.store_revision(), sender);
    for version in &gossip.versions {
        let since = version.age.map(|age| now - Duration::from_millis(age));
        context
            .published
            .publish_version(&version.model, version.version, since, Reader::Peer);
    }
    let records = CrashRecords {
        requests: gossip.suspects.clone(),
        parts: gossip.parts.clone(),
    };
    context.quarantine.merge(&records, now);
    context.server_limits.merge(&gossip.limits, now);
    let differs = has_other_records(gossip.quarantine, context.quarantine.summary());
    if gossip.hello.phase == Phase::Serving && !differs {
        context.quarantine.set_synced();
    }
    if let Some(status) = &gossip.engine {
        record_engine_liveness(context, status, now);
        let far = gossip.hello.region != context.settings().region;
        context.fleet.record_engine_status(status, far, now);
    }
    if let Some(born) = gossip.doubted {
        context.fleet.record_doubt(born);
    }
    merge_ages(context, gossip, now);
    let published = &context.published;
    published.replace_evacuations(gossip.evacuations.clone(), Reader::Peer, now);
    published.merge_checked(gossip.revision, gossip.checked);
    if was_alive {
        return;
    }
    // An immediate reply adds this daemon to the peers of the sender, and announces addresses of
    // further daemons to it.
    send_to(context, socket, gossip.hello.address, Reason::Period).await;
    for address in &gossip.known {
        if !context.peers.is_alive(address, now) {
            send_to(context, socket, *address, Reason::Period).await;
        }
    }
}

/// Merges the fields of a message that are stated as ages. The echoed timestamp is a lower bound on
/// the time of sending. An echo of a timestamp of an earlier process on this VM is ignored, as it
/// refers to another clock.
fn merge_ages(context: &Context, gossip: &Gossip, now: Timestamp) {
    let Some(echo) = gossip.echo.filter(|e| e.incarnation == context.incarnation) else {
        return;
    };
    let published = &context.published;
    published.merge_peer_answers(&gossip.answered, echo.stamp, now);
    if let Some(age) = gossip.confirmed {
        published.confirm(gossip.revision, echo.stamp - Duration::from_millis(age));
    }
}

/// Logs a daemon that is new or changed its phase. The log is rate-limited, so not all are logged
/// if many change at once.
fn log_peer(context: &Context, peer: &DaemonInfo, now: Timestamp) {
    if context.log_budgets.allow_success(now) {
        tracing::info!(peer = %peer.id, address = %peer.address, phase = ?peer.phase, incarnation = %peer.incarnation, "peer heard");
    }
}

/// If the engine still has the same start time, clears the requests that were recorded for its
/// inferred crash. Otherwise sends their records to other daemons without delay.
fn record_engine_liveness(context: &Context, status: &EngineStatus, now: Timestamp) {
    if !context.quarantine.has_inferred_crashes() {
        return;
    }
    let servers: Vec<_> = context.published.servers(|servers| {
        let at_address = servers.iter().filter(|s| s.address == status.address);
        at_address.map(|s| (crash_of(s), s.born.0)).collect()
    });
    for (crash, born) in servers {
        if born == status.born {
            context.quarantine.heard(&crash, now);
        } else {
            context.quarantine.ended(&crash, now);
        }
    }
}

/// Sends changed limits of servers, and records of requests that crash servers, to some entries as
/// soon as they are due. Entries of other regions are drawn anew each round, so that most receive
/// the changes within a few rounds.
async fn send_updates(context: &Context, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(ROUND).await;
        let now = context.clock.now();
        let suspects_due = context.quarantine.take_due(now);
        let limits_due = context.server_limits.take_due(now);
        if !context.quarantine.has_updates(now) && !context.server_limits.has_updates(now) {
            continue;
        }
        for address in update_receivers(context, fanout(suspects_due || limits_due), now) {
            send_to(context, socket, address, Reason::Update).await;
        }
    }
}

/// Draws the entries for a fanout.
fn update_receivers(context: &Context, fanout: Fanout, now: Timestamp) -> Vec<SocketAddr> {
    let (mut own, mut far) = (Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        if peer.hello.role != Role::Entry {
            return;
        }
        let group = if peer.far { &mut far } else { &mut own };
        group.push(peer.hello.address);
    });
    let mut rng = rand::rng();
    let mut chosen = own.into_iter().choose_multiple(&mut rng, fanout.near);
    chosen.extend(far.choose_multiple(&mut rng, fanout.far));
    chosen
}

async fn send(context: &Context, socket: &UdpSocket) {
    let mut round = 0_u64;
    let mut changes = context.published.changes();
    loop {
        for address in receivers(context, round) {
            send_to(context, socket, address, Reason::Period).await;
        }
        round += 1;
        let waited = tokio::time::timeout(ROUND, changes.changed()).await;
        if waited.is_ok() {
            notify_zone(context, socket).await;
            tokio::time::sleep(ROUND).await;
        }
    }
}

/// Sends an update from the store to all daemons of the zone immediately.
async fn notify_zone(context: &Context, socket: &UdpSocket) {
    let now = context.clock.now();
    if !context.reads_store(Subject::Servers, now) {
        return;
    }
    let zone = context.settings().zone.clone();
    let mut near = Vec::new();
    context.peers.each(now, |peer| {
        if peer.hello.zone == zone {
            near.push(peer.hello.address);
        }
    });
    for address in near {
        send_to(context, socket, address, Reason::Period).await;
    }
}

/// Receivers of a regular message in this round.
fn receivers(context: &Context, round: u64) -> Vec<SocketAddr> {
    let settings = context.settings();
    let now = context.clock.now();
    let (mut due, mut near, mut far) = (Vec::new(), Vec::new(), Vec::new());
    let counts = context.peers.counts(now);
    context.peers.each(now, |peer| {
        let period = send_period(settings.role, peer.kind, &counts);
        let (address, distance) = (peer.hello.address, peer.kind.distance);
        if is_due(round, offset(&settings, &address), period) {
            due.push(address);
        } else if peer.hello.role == Role::Agent && distance == Distance::Far {
            far.push(address);
        } else if peer.hello.role == Role::Agent {
            near.push(address);
        }
    });
    let mut rng = rand::rng();
    let mut chosen: Vec<_> = due.choose_multiple(&mut rng, MAX_FANOUT).copied().collect();
    let requested = context.fleet.take_report_receivers();
    chosen.extend(requested.into_iter().filter(|a| !due.contains(a)));
    if context.fleet.is_fetching() {
        let sample = fetch_sample(round);
        chosen.extend(near.choose_multiple(&mut rng, sample.near));
        chosen.extend(far.choose_multiple(&mut rng, sample.far));
    }
    if round.is_multiple_of(PROBE_ROUNDS) {
        let own = SocketAddr::new(settings.ip, settings.peer_port);
        let silent: Vec<_> = settings
            .seeds
            .iter()
            .copied()
            .chain(context.peers.addresses())
            .filter(|a| *a != own && !context.peers.is_alive(a, now))
            .collect();
        chosen.extend(silent.choose_multiple(&mut rng, MAX_KNOWN_ADDRESSES));
    }
    chosen
}

/// Number of rounds between two messages to a receiver of this kind.
fn send_period(own: Role, kind: Receivers, counts: &Counts) -> u32 {
    period(own, kind, counts.get(&kind).copied().unwrap_or(1))
}

/// Offset that spreads the messages between pairs of daemons over the rounds.
fn offset(settings: &Settings, to: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (settings.ip, to).hash(&mut hasher);
    hasher.finish()
}

/// Reason for sending a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// It is due, or other state has changed.
    Period,
    /// Limits of servers, or records of requests that crash servers, have changed. Only these
    /// messages carry such records to other regions.
    Update,
}

async fn send_to(context: &Context, socket: &UdpSocket, address: SocketAddr, reason: Reason) {
    let gossip = message(context, &address, reason);
    if gossip.hello.address == address {
        return;
    }
    match datagram(gossip) {
        Ok(bytes) => {
            context.traffic.record(Kind::Gossip, bytes.len());
            if let Err(error) = socket.send_to(&bytes, address).await {
                tracing::debug!(%address, %error, "cannot send gossip message");
            }
        }
        Err(error) => tracing::error!(%error, "cannot encode gossip message"),
    }
}

/// Encodes a message. Records of requests that crash servers, then those of parts of prompts, then
/// limits of servers, are dropped until it fits a datagram.
///
/// # Errors
/// If it cannot be encoded.
pub fn datagram(mut gossip: Gossip) -> Result<Vec<u8>, WireError> {
    loop {
        let bytes = encode(&gossip)?;
        if bytes.len() <= DATAGRAM_BYTES {
            return Ok(bytes);
        }
        let dropped = gossip.suspects.pop().is_some()
            || gossip.parts.pop().is_some()
            || gossip.limits.pop().is_some();
        if !dropped {
            return Ok(bytes);
        }
    }
}

fn message(context: &Context, to: &SocketAddr, reason: Reason) -> Gossip {
    let now = context.clock.now();
    let age = context.published.age(now);
    let kind = context.peers.kind(to);
    let counts = context.peers.counts(now);
    let role = context.settings().role;
    let every = kind.map_or(1, |kind| send_period(role, kind, &counts));
    let is_far = kind.is_some_and(|kind| kind.distance == Distance::Far);
    let is_for_agent = kind.is_some_and(|kind| kind.role == Role::Agent);
    let include_suspects = reason == Reason::Update || !is_far;
    let records = if include_suspects {
        context.quarantine.updates(now)
    } else {
        CrashRecords::default()
    };
    Gossip {
        hello: daemon_info(context),
        stamp: now,
        echo: context.peers.echo(to),
        revision: context.published.revision(),
        confirmed: age.map(|a| {
            u64::try_from(a.as_millis())
                .unwrap_or(u64::MAX)
                .saturating_add(1)
        }),
        servers: context.published.servers_revision(),
        checked: context.published.checked_revision(),
        evacuations: context.published.evacuations(),
        lost: context.published.lost_subjects(),
        answered: context.published.servers(|s| s.outages.answer_ages(now)),
        versions: versions(context, now),
        suspects: records.requests,
        parts: records.parts,
        quarantine: context.quarantine.summary(),
        limits: if is_for_agent {
            Vec::new()
        } else {
            context.server_limits.records(now)
        },
        engine: context.fleet.engine_status(),
        doubted: context
            .peers
            .engine_address(to)
            .and_then(|engine| context.fleet.doubted(engine)),
        known: context
            .peers
            .sample(MAX_KNOWN_ADDRESSES, &mut rand::rng(), now),
        every,
    }
}

/// The latest versions of each model, with their ages.
fn versions(context: &Context, now: Timestamp) -> Vec<VersionStatus> {
    let mut all_models = Vec::new();
    context.published.each_version(|model, versions| {
        let mut all: Vec<_> = versions.iter().collect();
        let older = all.len().saturating_sub(MAX_VERSIONS);
        all_models.extend(all.drain(older..).map(|(version, since)| VersionStatus {
            model: model.clone(),
            version,
            age: since.map(|s| millis(now.since(s))),
        }));
    });
    all_models
}

/// Identity and phase of this daemon.
#[must_use]
pub fn daemon_info(context: &Context) -> DaemonInfo {
    let settings = context.settings();
    DaemonInfo {
        id: settings.id.clone(),
        role: settings.role,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation: context.incarnation,
        address: SocketAddr::new(settings.ip, settings.peer_port),
        public: settings.listen.callers,
        phase: phase(context),
    }
}

/// Lifecycle phase of this daemon.
#[must_use]
pub fn phase(context: &Context) -> Phase {
    if context.lifecycle.is_leaving() {
        return Phase::Leaving;
    }
    let limit = context.settings().bounds.revoke.unwrap_or(Duration::MAX);
    let now = context.clock.now();
    // The last configuration still serves requests without a key if a later one cannot be read.
    let published = &context.published;
    let is_superseded = published.is_unreadable() && published.in_force().is_some();
    let is_usable = published.is_fresh(limit, now) || is_superseded;
    if is_usable && context.quarantine.is_synced(now) {
        return Phase::Serving;
    }
    Phase::Starting
}

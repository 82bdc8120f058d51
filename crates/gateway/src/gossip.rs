//! Datagrams by which daemons find each other and tell how they are.
//!
//! Each message echoes the receiver's last stamp, so the age of a confirmation that it carries
//! can be dated by the receiver's own clock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::cadence::{ROUND, Receivers, fetch_sample, is_due, period};
use apricothall_decide::placement::Distance;
use apricothall_decide::quarantine::{Fanout, fanout};
use apricothall_types::{Role, Timestamp};
use apricothall_wire::WireError;
use apricothall_wire::codec::{decode, encode};
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::net::UdpSocket;

use crate::Context;
use crate::log_budgets::millis;
use crate::peers::{Counts, DaemonInfo, EngineStatus, Gossip, GossipEffect, Phase, VersionStatus};
use crate::published::Reader;
use crate::quarantine::{crash_of, has_other_records};
use crate::settings::Settings;

/// Rounds between two tries to reach daemons that are silent.
const PROBE_ROUNDS: u64 = 4;

/// Daemons that a round reaches at most.
const MAX_FANOUT: usize = 64;

/// Addresses of others that a message carries.
const MAX_KNOWN_ADDRESSES: usize = 6;

/// Versions of a model that a message carries.
const MAX_VERSIONS: usize = 3;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 2_048;

/// Sends and receives until the process ends.
///
/// # Errors
/// When the port cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let settings = context.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let (receiving, from) = (context.clone(), socket.clone());
    context
        .lifecycle
        .spawn(async move { receive(&receiving, &from).await });
    let (warning, to) = (context.clone(), socket.clone());
    context
        .lifecycle
        .spawn(async move { send_suspects(&warning, &to).await });
    let sending = context.clone();
    context
        .lifecycle
        .spawn(async move { send(&sending, &socket).await });
    Ok(())
}

async fn receive(context: &Context, socket: &UdpSocket) {
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A refused datagram of ours shows here; the next one may arrive.
                tracing::debug!(%error, "gossip not received");
                continue;
            }
        };
        match decode::<Gossip>(&buffer[..length]) {
            Ok(gossip) => take(context, socket, &gossip).await,
            Err(error) => {
                metrics::counter!("apricothall_gossip_unusable_total").increment(1);
                tracing::warn!(%from, %error, "gossip not understood");
            }
        }
    }
}

async fn take(context: &Context, socket: &UdpSocket, gossip: &Gossip) {
    let now = context.clock.now();
    let known = context.peers.is_alive(&gossip.hello.address, now);
    match context.peers.take(gossip, &context.settings(), now) {
        GossipEffect::Stale => return,
        GossipEffect::Unchanged => {}
        GossipEffect::Changed => note_peer(context, &gossip.hello, now),
    }
    for note in &gossip.versions {
        let since = note.age.map(|age| now - Duration::from_millis(age));
        context
            .published
            .publish_version(&note.model, note.version, since, Reader::Peer);
    }
    context.quarantine.merge(&gossip.suspects, now);
    let knows_more = has_other_records(gossip.quarantine, context.quarantine.summary());
    if gossip.hello.phase == Phase::Serving && !knows_more {
        context.quarantine.set_synced();
    }
    if let Some(note) = &gossip.engine {
        record_engine_life(context, note, now);
        let far = gossip.hello.region != context.settings().region;
        context.fleet.record_engine_status(note, far, now);
    }
    note_ages(context, gossip, now);
    if known {
        return;
    }
    // An answer makes both sides known at once, and tells a new daemon of the others.
    send_to(context, socket, gossip.hello.address, Reason::Period).await;
    for address in &gossip.known {
        if !context.peers.is_alive(address, now) {
            send_to(context, socket, *address, Reason::Period).await;
        }
    }
}

/// Takes what a message dates by its age. The echo in it bounds when it was sent; one of an earlier
/// process on this VM is of another clock.
fn note_ages(context: &Context, gossip: &Gossip, now: Timestamp) {
    let Some(echo) = gossip.echo.filter(|e| e.incarnation == context.incarnation) else {
        return;
    };
    let published = &context.published;
    published.merge_peer_answers(&gossip.answered, echo.stamp, now);
    if let Some(age) = gossip.confirmed {
        published.confirm(gossip.revision, echo.stamp - Duration::from_millis(age));
    }
}

/// Tells of a daemon that is new or in another phase. Where many change at once not all are told.
fn note_peer(context: &Context, hello: &DaemonInfo, now: Timestamp) {
    if context.log_budgets.allow_success(now) {
        tracing::info!(peer = %hello.id, address = %hello.address, phase = ?hello.phase, incarnation = %hello.incarnation, "peer heard");
    }
}

/// Clears requests that were thought to have ended an engine which still lives, and lets others
/// know of those whose engine does not.
fn record_engine_life(context: &Context, note: &EngineStatus, now: Timestamp) {
    if !context.quarantine.has_inferred_crashes() {
        return;
    }
    let lives: Vec<_> = context.published.servers(|servers| {
        let there = servers.iter().filter(|s| s.address == note.address);
        there.map(|s| (crash_of(s), s.born.0)).collect()
    });
    for (crash, born) in lives {
        if born == note.born {
            context.quarantine.heard(&crash, now);
        } else {
            context.quarantine.ended(&crash, now);
        }
    }
}

/// Tells some entries of requests that end servers, as soon as that is due. Those of other regions
/// are drawn anew in each round, so that most hear of them within a few.
async fn send_suspects(context: &Context, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(ROUND).await;
        let now = context.clock.now();
        let due = context.quarantine.take_due(now);
        if !context.quarantine.has_updates(now) {
            continue;
        }
        for address in suspect_receivers(context, fanout(due), now) {
            send_to(context, socket, address, Reason::Suspects).await;
        }
    }
}

/// Entries drawn for a fanout.
fn suspect_receivers(context: &Context, fanout: Fanout, now: Timestamp) -> Vec<SocketAddr> {
    let (mut own, mut far) = (Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        if peer.hello.role != Role::Entry {
            return;
        }
        let side = if peer.far { &mut far } else { &mut own };
        side.push(peer.hello.address);
    });
    let mut rng = rand::rng();
    let mut chosen = own.into_iter().choose_multiple(&mut rng, fanout.near);
    chosen.extend(far.choose_multiple(&mut rng, fanout.far));
    chosen
}

async fn send(context: &Context, socket: &UdpSocket) {
    let mut round = 0_u64;
    let mut news = context.published.changes();
    loop {
        for address in receivers(context, round) {
            send_to(context, socket, address, Reason::Period).await;
        }
        round += 1;
        let waited = tokio::time::timeout(ROUND, news.changed()).await;
        if waited.is_ok() {
            notify_zone(context, socket).await;
            tokio::time::sleep(ROUND).await;
        }
    }
}

/// Tells the zone at once of news from the store.
async fn notify_zone(context: &Context, socket: &UdpSocket) {
    let now = context.clock.now();
    if !context.reads_store(now) {
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

/// Who gets a message in this round.
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

/// Rounds between two messages to each receiver of a kind.
fn send_period(own: Role, kind: Receivers, counts: &Counts) -> u32 {
    period(own, kind, counts.get(&kind).copied().unwrap_or(1))
}

/// Spreads the messages of a pair over the rounds.
fn offset(settings: &Settings, to: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (settings.ip, to).hash(&mut hasher);
    hasher.finish()
}

/// Why a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// It is due, or tells of other news.
    Period,
    /// There is news of requests that end servers, which goes to other regions in no other message.
    Suspects,
}

async fn send_to(context: &Context, socket: &UdpSocket, address: SocketAddr, reason: Reason) {
    let gossip = message(context, &address, reason);
    if gossip.hello.address == address {
        return;
    }
    match datagram(gossip) {
        Ok(bytes) => {
            if let Err(error) = socket.send_to(&bytes, address).await {
                tracing::debug!(%address, %error, "gossip not sent");
            }
        }
        Err(error) => tracing::error!(%error, "gossip has no form"),
    }
}

/// A message as it goes out. What it tells of requests that end servers is cut to what fits.
///
/// # Errors
/// When it has no form.
pub fn datagram(mut gossip: Gossip) -> Result<Vec<u8>, WireError> {
    loop {
        let bytes = encode(&gossip)?;
        if bytes.len() <= DATAGRAM_BYTES || gossip.suspects.pop().is_none() {
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
    let told = reason == Reason::Suspects || !is_far;
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
        servers: context.published.servers_seen(),
        away: context.published.is_store_lost(),
        answered: context.published.servers(|s| s.outages.answer_ages(now)),
        versions: versions(context, now),
        suspects: if told {
            context.quarantine.updates(now)
        } else {
            Vec::new()
        },
        quarantine: context.quarantine.summary(),
        engine: context.fleet.engine_status(),
        known: context
            .peers
            .sample(MAX_KNOWN_ADDRESSES, &mut rand::rng(), now),
        every,
    }
}

/// The newest versions of each model with their ages.
fn versions(context: &Context, now: Timestamp) -> Vec<VersionStatus> {
    let mut notes = Vec::new();
    context.published.each_version(|model, versions| {
        let mut all: Vec<_> = versions.iter().collect();
        let older = all.len().saturating_sub(MAX_VERSIONS);
        notes.extend(all.drain(older..).map(|(version, since)| VersionStatus {
            model: model.clone(),
            version,
            age: since.map(|s| millis(now.since(s))),
        }));
    });
    notes
}

/// Who this daemon is at present.
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

/// Whether this daemon takes work.
#[must_use]
pub fn phase(context: &Context) -> Phase {
    if context.lifecycle.is_leaving() {
        return Phase::Leaving;
    }
    let limit = context.settings().bounds.revoke.unwrap_or(Duration::MAX);
    let now = context.clock.now();
    if context.published.is_fresh(limit, now) && context.quarantine.is_synced(now) {
        return Phase::Serving;
    }
    Phase::Starting
}

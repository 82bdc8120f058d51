//! Synchronization of published state between daemons, for those that do not read the store or
//! cannot reach it.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::prompt_parts::PartReport;
use apricothall_decide::quarantine::Record;
use apricothall_decide::servers::Listing;
use apricothall_decide::update_source::Source;
use apricothall_types::{ConfigurationRevision, Digest, Role, StoreRevision, Timestamp};
use apricothall_wire::codec::encode;
use apricothall_wire::{Connector, ConnectorConfig, Incoming, TrafficClass, WireError};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpListener;

use crate::Context;
use crate::agent::pieces;
use crate::configuration_sync;
use crate::dialect::Subject;
use crate::missing_updates::{ServerListLag, choose_servers_peer, pick_peer};
use crate::quarantine::{CrashRecords, has_other_records};
use crate::traffic::Kind;

/// Path of streams that request published state.
const PUBLISHED_PATH: &str = "/published";

/// Interval of checks whether a peer has newer state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of server list requests to peers while the store is unreachable.
const SERVERS_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval of requests for a peer's records of requests that crash servers.
const QUARANTINE_MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum interval of such requests, while the responses contain nothing new.
const QUARANTINE_MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Serialize, Deserialize)]
struct PublishedRequest {
    /// Revision of the sender's server list; zero requests the list in any case.
    servers: StoreRevision,
    /// Digest of the sender's records of requests that crash servers.
    quarantine: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct PublishedResponse {
    revision: ConfigurationRevision,
    confirmed: Option<u64>,
    servers: Option<(StoreRevision, Listing)>,
    suspects: Vec<(Digest, Record)>,
    parts: Vec<PartReport>,
}

#[derive(Debug, Error)]
enum PeerSyncError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("no answer in time")]
    Timeout,
    #[error("the stream ended without an answer")]
    Ended,
}

/// Serves peers on the internal port, and requests missing updates from them.
///
/// # Errors
/// If the port cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let settings = context.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let listener = TcpListener::bind(address).await?;
    let serving = context.clone();
    let handle = move |incoming: Incoming| {
        let context = serving.clone();
        async move { answer(&context, incoming).await }
    };
    let log_event = |event| tracing::debug!(?event, "peer port");
    context
        .lifecycle
        .spawn(apricothall_wire::serve(listener, handle, log_event));
    let sync_context = context.clone();
    if settings.role == Role::Entry {
        context
            .lifecycle
            .spawn(async move { follow_peers(&sync_context).await });
    }
    let configuration_context = context.clone();
    context
        .lifecycle
        .spawn(async move { configuration_sync::follow(&configuration_context).await });
    let quarantine_context = context.clone();
    context
        .lifecycle
        .spawn(async move { sync_quarantine(&quarantine_context).await });
    Ok(())
}

/// Creates a connector for streams to other daemons.
#[must_use]
pub fn connector(context: &Context) -> Connector {
    Connector::new(ConnectorConfig {
        source: context.settings().ip,
        connect: PEER_TIMEOUT,
    })
}

async fn answer(context: &Context, incoming: Incoming) {
    let result = match incoming.path.as_str() {
        PUBLISHED_PATH => serve_published(context, incoming).await,
        configuration_sync::PATH => configuration_sync::serve(context, incoming).await,
        pieces::PATH => pieces::serve(context, incoming).await,
        _ => {
            incoming.refuse(http::StatusCode::NOT_FOUND, "no such path");
            return;
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "peer not answered");
    }
}

async fn serve_published(context: &Context, incoming: Incoming) -> Result<(), WireError> {
    let mut channel = incoming.accept::<PublishedRequest, PublishedResponse>()?;
    let Some(request) = channel.next().await.transpose()? else {
        return Ok(());
    };
    let now = context.clock.now();
    let age = context.published.age(now);
    let revision = context.published.servers_revision();
    let store_lost = context.published.is_store_lost(Subject::Servers);
    let newer_servers = !store_lost && revision > request.servers;
    let list = || context.published.servers(|s| s.listing(now));
    let records = if request.quarantine == context.quarantine.summary() {
        CrashRecords::default()
    } else {
        context.quarantine.replicated()
    };
    let response = PublishedResponse {
        revision: context.published.revision(),
        confirmed: age.map(|a| {
            u64::try_from(a.as_millis())
                .unwrap_or(u64::MAX)
                .saturating_add(1)
        }),
        servers: newer_servers.then(|| (revision, list())),
        suspects: records.requests,
        parts: records.parts,
    };
    record_traffic(context, &response);
    channel.send(response).await?;
    channel.close().await
}

fn record_traffic(context: &Context, response: &PublishedResponse) {
    let size = |encoded: Result<Vec<u8>, WireError>| encoded.map_or(0, |bytes| bytes.len());
    let traffic = &context.traffic;
    if response.servers.is_some() {
        traffic.record(Kind::Servers, size(encode(&response.servers)));
    }
    let records = size(encode(&response.suspects)) + size(encode(&response.parts));
    traffic.record(Kind::CrashRecords, records);
}

/// Requests newer server lists from peers.
async fn follow_peers(context: &Context) {
    let connector = connector(context);
    let mut lag = ServerListLag::default();
    let mut last_request = Timestamp::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = context.clock.now();
        let mut source = lag.source(context, now);
        if context.published.is_store_lost(Subject::Servers)
            && now.since(last_request) >= SERVERS_INTERVAL
        {
            source = Source::Anywhere;
        }
        if source == Source::Nobody {
            continue;
        }
        last_request = now;
        let Some(peer) = choose_servers_peer(context, source, now) else {
            continue;
        };
        if let Err(error) = request_state(context, &connector, peer, now).await {
            tracing::debug!(%peer, %error, "peer does not tell");
            connector.drop_connection(peer, TrafficClass::Control).await;
        }
    }
}

/// Requests records from peers whose records of requests that crash servers differ. It is a
/// separate task from [`follow_peers`], so that a peer which does not respond delays no update of
/// configurations and servers.
async fn sync_quarantine(context: &Context) {
    let connector = connector(context);
    let mut pause = QUARANTINE_MIN_INTERVAL;
    loop {
        let now = context.clock.now();
        if let Some(peer) = choose_quarantine_peer(context, now) {
            let response = request_state(context, &connector, peer, now).await;
            pause = match response {
                Ok(true) => QUARANTINE_MIN_INTERVAL,
                // Digests may differ for long although neither side lacks a record.
                Ok(false) => (pause * 2).min(QUARANTINE_MAX_INTERVAL),
                Err(error) => {
                    tracing::debug!(%peer, %error, "peer does not tell of suspects");
                    connector.drop_connection(peer, TrafficClass::Control).await;
                    QUARANTINE_MIN_INTERVAL
                }
            };
            tokio::time::sleep(pause).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Selects a peer whose records of requests that crash servers differ, preferably in the same zone.
/// Only readers of the store send requests to other zones; the other daemons of the zone fetch from
/// these readers.
fn choose_quarantine_peer(context: &Context, now: Timestamp) -> Option<SocketAddr> {
    let summary = context.quarantine.summary();
    let zone = context.settings().zone.clone();
    let (mut near, mut all) = (Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        if !has_other_records(peer.quarantine, summary) {
            return;
        }
        all.push(peer.hello.address);
        if peer.hello.zone == zone {
            near.push(peer.hello.address);
        }
    });
    if !context.reads_store(Subject::Servers, now) {
        all.clear();
    }
    pick_peer(&near, &all)
}

/// Requests the state of a peer. Returns whether the peer sent records of requests that crash
/// servers that this daemon lacked.
async fn request_state(
    context: &Context,
    connector: &Connector,
    peer: SocketAddr,
    sent: Timestamp,
) -> Result<bool, PeerSyncError> {
    let exchange = async {
        let opened = connector.open::<PublishedResponse, PublishedRequest>(
            peer,
            TrafficClass::Control,
            PUBLISHED_PATH,
            None,
        );
        let mut channel = opened.await?;
        let servers = if context.published.is_store_lost(Subject::Servers) {
            StoreRevision::default()
        } else {
            context.published.servers_revision()
        };
        let quarantine = context.quarantine.summary();
        let request = PublishedRequest {
            servers,
            quarantine,
        };
        channel.send(request).await?;
        channel
            .next()
            .await
            .ok_or(PeerSyncError::Ended)?
            .map_err(PeerSyncError::from)
    };
    let answered = tokio::time::timeout(PEER_TIMEOUT, exchange).await;
    let response = answered.map_err(|_| PeerSyncError::Timeout)??;
    if let Some(age) = response.confirmed {
        let since = sent - Duration::from_millis(age);
        context.published.confirm(response.revision, since);
    }
    let now = context.clock.now();
    let records = CrashRecords {
        requests: response.suspects,
        parts: response.parts,
    };
    let changed = context.quarantine.merge(&records, now);
    context.quarantine.set_synced();
    if let Some((revision, listing)) = response.servers {
        context
            .published
            .adopt_servers(listing, revision, sent, now);
    }
    Ok(changed)
}

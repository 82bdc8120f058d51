//! How daemons that do not read the store, or that it turns away, learn what was published: from
//! each other.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::quarantine::Record;
use apricothall_decide::servers::Listing;
use apricothall_decide::update_source::Source;
use apricothall_types::{Digest, Revision, Role, Timestamp};
use apricothall_wire::{Connector, ConnectorConfig, Incoming, Payload, TrafficClass, WireError};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::Context;
use crate::agent::pieces;
use crate::dialect::Item;
use crate::lack::{Behind, Lack, choose, pick};
use crate::published::Reader;
use crate::quarantine::knows_others;

/// Path of streams that ask for what was published.
const PUBLISHED_PATH: &str = "/published";

/// Time between two looks at whether a peer knows more.
const STEP: Duration = Duration::from_millis(100);

/// Time between two reads of a peer's servers while the store is away.
const SERVERS_EVERY: Duration = Duration::from_millis(400);

/// Least time between two reads of what a peer knows of requests that end servers.
const SUSPECTS_EVERY: Duration = Duration::from_millis(500);

/// Longest time between two such reads, while what peers tell is no news.
const SUSPECTS_LONGEST: Duration = Duration::from_secs(4);

/// Longest wait for a peer.
const PEER_WAIT: Duration = Duration::from_millis(800);

#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    /// Revision of the configuration held.
    held: Revision,
    /// Revision up to which the servers are known; zero asks for them in any case.
    servers: Revision,
    /// A digest of what is known of requests that end servers.
    quarantine: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Told {
    revision: Revision,
    configuration: Option<(SmolStr, Payload)>,
    confirmed: Option<u64>,
    servers: Option<(Revision, Listing)>,
    suspects: Vec<(Digest, Record)>,
}

#[derive(Debug, Error)]
enum RelayError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("no answer in time")]
    Timeout,
    #[error("the stream ended without an answer")]
    Ended,
}

/// Serves peers on the internal port and asks them when the store does not answer.
///
/// # Errors
/// When the port cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let settings = context.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let listener = TcpListener::bind(address).await?;
    let serving = context.clone();
    let handle = move |incoming: Incoming| {
        let context = serving.clone();
        async move { answer(&context, incoming).await }
    };
    let observe = |event| tracing::debug!(?event, "peer port");
    context
        .lifecycle
        .spawn(apricothall_wire::serve(listener, handle, observe));
    let asking = context.clone();
    context
        .lifecycle
        .spawn(async move { follow(&asking).await });
    let learning = context.clone();
    context
        .lifecycle
        .spawn(async move { learn(&learning).await });
    Ok(())
}

/// A connector for streams to other daemons.
#[must_use]
pub fn connector(context: &Context) -> Connector {
    Connector::new(ConnectorConfig {
        source: context.settings().ip,
        connect: PEER_WAIT,
    })
}

async fn answer(context: &Context, incoming: Incoming) {
    let result = match incoming.path.as_str() {
        PUBLISHED_PATH => tell(context, incoming).await,
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

async fn tell(context: &Context, incoming: Incoming) -> Result<(), WireError> {
    let mut channel = incoming.accept::<Ask, Told>()?;
    let Some(ask) = channel.next().await.transpose()? else {
        return Ok(());
    };
    let now = context.clock.now();
    let in_force = context.published.in_force();
    let newer = in_force.filter(|f| f.revision > ask.held);
    let age = context.published.age(now);
    let seen = context.published.servers_seen();
    let away = context.published.is_away();
    let newer_servers = !away && seen > ask.servers;
    let list = || context.published.servers(|s| s.listing(now));
    let suspects = if ask.quarantine == context.quarantine.summary() {
        Vec::new()
    } else {
        context.quarantine.shared()
    };
    let told = Told {
        revision: context.published.revision(),
        configuration: newer.map(|f| (f.item.key.clone(), Payload(f.item.value.clone()))),
        confirmed: age.map(|a| {
            u64::try_from(a.as_millis())
                .unwrap_or(u64::MAX)
                .saturating_add(1)
        }),
        servers: newer_servers.then(|| (seen, list())),
        suspects,
    };
    channel.send(told).await?;
    channel.close().await
}

/// Asks peers for newer configurations and servers.
async fn follow(context: &Context) {
    let connector = connector(context);
    let mut behind = Behind::default();
    let mut asked = Timestamp::default();
    loop {
        tokio::time::sleep(STEP).await;
        let now = context.clock.now();
        let mut lack = behind.lack(context, now);
        let is_entry = context.settings().role == Role::Entry;
        if is_entry && context.published.is_away() && now.since(asked) >= SERVERS_EVERY {
            lack.servers = Source::Anywhere;
        }
        if lack == Lack::NOTHING {
            continue;
        }
        asked = now;
        let Some(peer) = choose(context, lack, now) else {
            continue;
        };
        if let Err(error) = ask(context, &connector, peer, now).await {
            tracing::debug!(%peer, %error, "peer does not tell");
            connector.drop_connection(peer, TrafficClass::Control).await;
        }
    }
}

/// Asks peers that know other requests which end servers. Apart from [`follow`], so that a peer
/// which does not answer holds up no news of configurations and servers.
async fn learn(context: &Context) {
    let connector = connector(context);
    let mut pause = SUSPECTS_EVERY;
    loop {
        let now = context.clock.now();
        if let Some(peer) = choose_teacher(context, now) {
            let told = ask(context, &connector, peer, now).await;
            pause = match told {
                Ok(true) => SUSPECTS_EVERY,
                // Sets that differ though neither side lacks anything may do so for long.
                Ok(false) => (pause * 2).min(SUSPECTS_LONGEST),
                Err(error) => {
                    tracing::debug!(%peer, %error, "peer does not tell of suspects");
                    connector.drop_connection(peer, TrafficClass::Control).await;
                    SUSPECTS_EVERY
                }
            };
            tokio::time::sleep(pause).await;
        }
        tokio::time::sleep(STEP).await;
    }
}

/// A daemon that knows other requests which end servers, of the own zone if there is one. Only the
/// zone's readers of the store ask other zones; the others of the zone have it from them.
fn choose_teacher(context: &Context, now: Timestamp) -> Option<SocketAddr> {
    let summary = context.quarantine.summary();
    let zone = context.settings().zone.clone();
    let (mut near, mut all) = (Vec::new(), Vec::new());
    context.peers.each(now, |peer| {
        if !knows_others(peer.quarantine, summary) {
            return;
        }
        all.push(peer.hello.address);
        if peer.hello.zone == zone {
            near.push(peer.hello.address);
        }
    });
    if !context.reads_store(now) {
        all.clear();
    }
    pick(&near, &all)
}

/// Asks a peer. True when it told of requests that end servers which were not known.
async fn ask(
    context: &Context,
    connector: &Connector,
    peer: SocketAddr,
    sent: Timestamp,
) -> Result<bool, RelayError> {
    let exchange = async {
        let opened = connector.open::<Told, Ask>(peer, TrafficClass::Control, PUBLISHED_PATH, None);
        let mut channel = opened.await?;
        let held = context.published.revision();
        let servers = if context.published.is_away() {
            Revision::default()
        } else {
            context.published.servers_seen()
        };
        let quarantine = context.quarantine.summary();
        let ask = Ask {
            held,
            servers,
            quarantine,
        };
        channel.send(ask).await?;
        channel
            .next()
            .await
            .ok_or(RelayError::Ended)?
            .map_err(RelayError::from)
    };
    let answered = tokio::time::timeout(PEER_WAIT, exchange).await;
    let told = answered.map_err(|_| RelayError::Timeout)??;
    if let Some((key, value)) = told.configuration {
        let item = Item {
            key,
            value: value.0,
            revision: told.revision,
        };
        context
            .published
            .take_item(&context.dialect.store, &item, Reader::Peer, None);
    }
    if let Some(age) = told.confirmed {
        let since = sent - Duration::from_millis(age);
        context.published.confirm(told.revision, since);
    }
    let now = context.clock.now();
    let news = context.quarantine.merge(&told.suspects, now);
    context.quarantine.set_learned();
    if let Some((revision, listing)) = told.servers {
        context
            .published
            .adopt_servers(listing, revision, sent, now);
    }
    Ok(news)
}

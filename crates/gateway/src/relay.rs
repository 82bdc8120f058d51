//! How daemons that the store turns away learn what was published: from each other.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::servers::Server;
use apricothall_types::{Revision, Role, Timestamp};
use apricothall_wire::{Connector, ConnectorConfig, Incoming, Lane, Payload, WireError};
use futures::{SinkExt, StreamExt};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::Context;
use crate::agent::pieces;
use crate::dialect::Item;
use crate::published::Reader;

/// Path of streams that ask for what was published.
const PUBLISHED_PATH: &str = "/published";

/// Time between two looks at whether a peer knows more.
const STEP: Duration = Duration::from_millis(100);

/// Time for which the own watch may still bring a revision that peers have.
const PATIENCE: Duration = Duration::from_millis(200);

/// Time between two reads of a peer's servers while the store is away.
const SERVERS_EVERY: Duration = Duration::from_millis(400);

/// Longest wait for a peer.
const PEER_WAIT: Duration = Duration::from_millis(800);

#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    held: Revision,
}

#[derive(Debug, Serialize, Deserialize)]
struct Told {
    revision: Revision,
    configuration: Option<(SmolStr, Payload)>,
    confirmed: Option<u64>,
    servers: Option<(Revision, Vec<Server>)>,
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
    let away = context
        .published
        .servers(apricothall_decide::servers::Servers::is_away);
    let list = || context.published.servers(|s| s.iter().cloned().collect());
    let told = Told {
        revision: context.published.revision(),
        configuration: newer.map(|f| (f.item.key.clone(), Payload(f.item.value.clone()))),
        confirmed: age.map(|a| {
            u64::try_from(a.as_millis())
                .unwrap_or(u64::MAX)
                .saturating_add(1)
        }),
        servers: (!away && seen > Revision::default()).then(|| (seen, list())),
    };
    channel.send(told).await?;
    channel.close().await
}

/// Asks peers for newer configurations and, while the store is away, for servers.
async fn follow(context: &Context) {
    let connector = connector(context);
    let mut behind: Option<Timestamp> = None;
    let mut asked = Timestamp::default();
    loop {
        tokio::time::sleep(STEP).await;
        let now = context.clock.now();
        let held = context.published.revision();
        let is_entry = context.settings().role == Role::Entry;
        let away = context
            .published
            .servers(apricothall_decide::servers::Servers::is_away);
        let lacks = context.peers.alive(now).iter().any(|p| p.revision > held);
        let due = away && is_entry && now.since(asked) >= SERVERS_EVERY;
        behind = lacks.then(|| behind.unwrap_or(now));
        let overdue = behind.is_some_and(|since| away || now.since(since) >= PATIENCE);
        if !overdue && !due {
            continue;
        }
        asked = now;
        let Some(peer) = choose(context, held, overdue, now) else {
            continue;
        };
        if let Err(error) = ask(context, &connector, peer, now).await {
            tracing::debug!(%peer, %error, "peer does not tell");
            connector.forget(peer, Lane::Control).await;
        }
    }
}

/// An entry that knows more, of the own zone if there is one.
fn choose(context: &Context, held: Revision, newer: bool, now: Timestamp) -> Option<SocketAddr> {
    let zone = context.settings().zone.clone();
    let peers = context.peers.alive(now);
    let fits =
        |p: &&crate::peers::Peer| p.hello.role == Role::Entry && (!newer || p.revision > held);
    let near: Vec<_> = peers
        .iter()
        .filter(fits)
        .filter(|p| p.hello.zone == zone)
        .collect();
    let all: Vec<_> = peers.iter().filter(fits).collect();
    let mut rng = rand::rng();
    let chosen = near.choose(&mut rng).or_else(|| all.choose(&mut rng))?;
    Some(chosen.hello.address)
}

async fn ask(
    context: &Context,
    connector: &Connector,
    peer: SocketAddr,
    sent: Timestamp,
) -> Result<(), RelayError> {
    let exchange = async {
        let opened = connector.open::<Told, Ask>(peer, Lane::Control, PUBLISHED_PATH, None);
        let mut channel = opened.await?;
        let held = context.published.revision();
        channel.send(Ask { held }).await?;
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
    let away = context
        .published
        .servers(apricothall_decide::servers::Servers::is_away);
    if let Some((revision, servers)) = told.servers
        && away
        && revision >= context.published.servers_seen()
    {
        context.published.adopt_servers(servers, revision);
    }
    Ok(())
}

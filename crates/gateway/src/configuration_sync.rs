//! Synchronization of the configuration between daemons. Large configurations have streams,
//! connections and timeouts of their own, so that they delay no update of the servers.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_decide::transfer_timeout::TransferTimeout;
use apricothall_types::{ConfigurationRevision, Digest, Timestamp};
use apricothall_wire::{Connector, Incoming, Payload, TrafficClass, WireError};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::Context;
use crate::configuration_copies::{CopyError, unpack};
use crate::dialect::Item;
use crate::log_budgets::millis;
use crate::missing_updates::{ConfigurationLag, choose_configuration_peer};
use crate::peer_sync::connector;
use crate::published::Reader;
use crate::traffic::Kind;

/// Path of streams that request the configuration.
pub const PATH: &str = "/configuration";

/// Interval of checks whether a peer has a newer configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
struct ConfigurationRequest {
    /// Revision of the configuration held by the sender.
    held: ConfigurationRevision,
    /// Digest of its text, if the answer may be a patch of it.
    base: Option<Digest>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ConfigurationResponse {
    /// Revision of the configuration.
    revision: ConfigurationRevision,
    /// Age of its last confirmation, in ms.
    confirmed: Option<u64>,
    /// The configuration, if it is newer than the one held by the receiver.
    copy: Option<ConfigurationCopy>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ConfigurationCopy {
    /// Key of the item.
    key: SmolStr,
    /// Compressed text or patch.
    packed: Payload,
}

#[derive(Debug, Error)]
enum ConfigurationError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Copy(#[from] CopyError),
    #[error("no answer in time")]
    Timeout,
    #[error("the stream ended without an answer")]
    Ended,
}

/// Sends the current configuration to a peer.
///
/// # Errors
/// If the stream fails.
pub async fn serve(context: &Context, incoming: Incoming) -> Result<(), WireError> {
    let mut channel = incoming.accept::<ConfigurationRequest, ConfigurationResponse>()?;
    let Some(request) = channel.next().await.transpose()? else {
        return Ok(());
    };
    let published = &context.published;
    let in_force = published.in_force();
    let newer = in_force.filter(|f| f.revision > request.held);
    let copy = newer.as_ref().and_then(|in_force| {
        let packed = published.copies.pack(in_force.digest, request.base);
        let packed = packed.map_err(|error| {
            tracing::warn!(%error, "cannot pack the configuration");
        });
        Some(ConfigurationCopy {
            key: in_force.item.key.clone(),
            packed: Payload(packed.ok()?),
        })
    });
    let sent = copy.as_ref().map_or(0, |copy| copy.packed.len());
    context.traffic.record(Kind::Configuration, sent);
    let age = published.age(context.clock.now());
    let response = ConfigurationResponse {
        revision: newer.map_or(request.held, |f| f.revision),
        confirmed: age.map(|age| millis(age).saturating_add(1)),
        copy,
    };
    channel.send(response).await?;
    channel.close().await
}

/// Requests newer configurations from peers until the process ends.
pub async fn follow(context: &Context) {
    let connector = connector(context);
    let mut lag = ConfigurationLag::default();
    let mut timeout = TransferTimeout::default();
    let mut may_patch = true;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = context.clock.now();
        if !lag.is_missing(context, now) {
            continue;
        }
        let Some(peer) = choose_configuration_peer(context, now) else {
            continue;
        };
        let requested = request(context, &connector, peer, may_patch, now);
        let received = tokio::time::timeout(timeout.get(), requested).await;
        let received = received.unwrap_or(Err(ConfigurationError::Timeout));
        let Err(error) = received else {
            timeout = TransferTimeout::default();
            may_patch = true;
            continue;
        };
        tracing::info!(%peer, %error, timeout_ms = millis(timeout.get()), "configuration not received");
        match error {
            ConfigurationError::Copy(_) => may_patch = false,
            ConfigurationError::Timeout => timeout.extend(),
            ConfigurationError::Wire(_) | ConfigurationError::Ended => {}
        }
        connector.drop_connection(peer, TrafficClass::Bulk).await;
    }
}

async fn request(
    context: &Context,
    connector: &Connector,
    peer: SocketAddr,
    may_patch: bool,
    sent: Timestamp,
) -> Result<(), ConfigurationError> {
    let opened = connector.open::<ConfigurationResponse, ConfigurationRequest>(
        peer,
        TrafficClass::Bulk,
        PATH,
        None,
    );
    let mut channel = opened.await?;
    let held = context.published.in_force();
    let base = held.as_ref().map(|f| f.digest).filter(|_| may_patch);
    let request = ConfigurationRequest {
        held: context.published.revision(),
        base,
    };
    channel.send(request).await?;
    let response = channel.next().await.ok_or(ConfigurationError::Ended)??;
    if let Some(copy) = response.copy {
        let held_text = held.as_ref().map_or("", |f| f.text());
        let text = unpack(&copy.packed.0, held_text)?;
        let item = Item {
            key: copy.key,
            value: text.as_bytes().to_vec().into(),
            revision: response.revision.written,
        };
        let calls = &context.dialect.store;
        context
            .published
            .take_item(calls, &item, Reader::Peer, None);
    }
    if let Some(age) = response.confirmed {
        let since = sent - Duration::from_millis(age);
        context.published.confirm(response.revision, since);
    }
    Ok(())
}

//! `GET /v1/entries`: lists the addresses that callers should use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use apricothall_fleet::http_server::{Body, json};
use apricothall_types::{EntryName, Region, Role, Zone};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::callers::EntryContext;
use crate::tickets::{self, TicketText};

/// Address of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Address of the callers' port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
}

/// Response body of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Addresses, those in the zone of the responding entry first.
    pub entries: Vec<EntryAddress>,
    /// How long the response may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Tickets by service.
    pub tickets: BTreeMap<EntryName, TicketText>,
}

/// Lists the entries that accept new work.
#[must_use]
pub fn list(entry: &EntryContext) -> Response<Body> {
    let alive = entry
        .view
        .alive()
        .into_iter()
        .filter(|m| m.role == Role::Entry);
    let mut entries: Vec<_> = alive
        .filter_map(|m| {
            Some(EntryAddress {
                address: m.public?,
                zone: m.zone,
                region: m.region,
            })
        })
        .collect();
    entries.sort_by_key(|e| (e.zone != entry.zone, e.address));
    let keep_ms = u64::try_from(entry.config.keep.0.as_millis()).unwrap_or(u64::MAX);
    json(
        StatusCode::OK,
        &EntryList {
            entries,
            keep_ms,
            tickets: tickets::list(entry),
        },
    )
}

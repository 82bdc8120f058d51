//! Issues tickets that bind calls to a home; they are part of the list of entries.

use std::collections::BTreeMap;

use apricothall_decide::dedupe::{Home, Ticket};
use apricothall_kernel::Clock;
use apricothall_types::{CatalogueEntry, EntryName, WallTime};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::callers::EntryContext;

/// A ticket in the form that callers receive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketText {
    /// Value for `x-ticket`.
    pub ticket: SmolStr,
    /// Required prefix of each key that is used with the ticket.
    pub prefix: SmolStr,
    /// Last time at which the ticket is accepted, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Issues a ticket for each service whose calls must not run twice and that has a live home.
#[must_use]
pub fn list(entry: &EntryContext) -> BTreeMap<EntryName, TicketText> {
    let catalogue = entry.catalogue.current();
    let services = catalogue.value.entries.iter().filter(|e| !e.repeatable);
    let tickets = services.filter_map(|s| Some((s.name.clone(), ticket(entry, s)?)));
    tickets.collect()
}

fn ticket(entry: &EntryContext, service: &CatalogueEntry) -> Option<TicketText> {
    let alive = entry.view.alive().into_iter();
    let homes: Vec<_> = alive.filter(|m| service.pool.contains(&m.id)).collect();
    let home = homes.choose(&mut rand::rng())?;
    // Half of the time for which homes keep keys, which leaves room for clock skew.
    let life = u64::try_from(entry.horizon.as_millis()).unwrap_or(u64::MAX) / 2;
    let expires = WallTime(Clock.wall().0.saturating_add(life));
    let ticket = Ticket {
        home: Home {
            id: home.id.clone(),
            incarnation: home.incarnation,
        },
        name: service.name.clone(),
        expires,
    };
    Some(TicketText {
        ticket: ticket.to_smolstr(),
        prefix: ticket.prefix().into(),
        expires_ms: expires.0,
    })
}

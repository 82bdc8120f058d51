//! Limits that servers name, shared with other entries by gossip.

use std::sync::{Mutex, MutexGuard, PoisonError};

use apricothall_decide::server_limits::{
    LimitChange, LimitRecord, Place, Sender, ServerLife, ServerLimits, ShareChange, Verdict,
};
use apricothall_decide::servers::Server;
use apricothall_types::{Quota, Role, Timestamp};

use crate::Context;
use crate::gossip::phase;
use crate::log_budgets::millis;
use crate::peers::Phase;
use crate::settings::Settings;

/// Maximum number of limits per message.
const MAX_LIMITS_PER_MESSAGE: usize = 8;

/// Limits of all servers, as known to this entry.
pub struct SharedLimits {
    limits: Mutex<ServerLimits>,
}

impl SharedLimits {
    /// Creates the state of an entry that was started at `now`.
    #[must_use]
    pub fn new(settings: &Settings, now: Timestamp) -> Self {
        let mut limits = ServerLimits::new(settings.id.clone(), now);
        let regions = settings.regions.iter();
        limits.set_regions(regions.map(|(z, r)| (z.clone(), r.clone())).collect());
        Self {
            limits: Mutex::new(limits),
        }
    }

    fn limits(&self) -> MutexGuard<'_, ServerLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an answer of `server` into account. The request was sent at `sent`.
    pub fn record_answer(
        &self,
        settings: &Settings,
        server: &Server,
        named: Option<Quota>,
        sent: Timestamp,
        now: Timestamp,
    ) {
        let life = ServerLife {
            id: server.id.clone(),
            born: server.born,
            place: Place {
                zone: server.zone.clone(),
                region: settings.regions.get(&server.zone).cloned(),
            },
        };
        let change = self.limits().observe(&life, named, sent, now);
        log_change(change);
    }

    /// Merges limits that another entry told.
    pub fn merge(&self, records: &[LimitRecord], now: Timestamp) {
        for record in records {
            let change = self.limits().merge(record, now);
            log_change(change);
        }
    }

    /// Whether a request may be sent to `server`.
    #[must_use]
    pub fn verdict(&self, server: &Server, now: Timestamp) -> Verdict {
        self.limits().verdict(&server.id, server.born, now)
    }

    /// Takes the room of one request in the limit of `server`. Returns whether it may be sent.
    pub fn take(&self, server: &Server, now: Timestamp) -> bool {
        self.limits().take(&server.id, server.born, now)
    }

    /// Whether `server` has a limit.
    #[must_use]
    pub fn is_limited(&self, server: &Server) -> bool {
        self.limits().is_limited(&server.id, server.born)
    }

    /// Moves changes that are due into the messages of the next rounds.
    pub fn take_due(&self, now: Timestamp) -> bool {
        self.limits().take_due(now)
    }

    /// Whether there are changes to be sent in addition to regular messages.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.limits().has_updates(now)
    }

    /// Limits for a message to another entry.
    #[must_use]
    pub fn records(&self, now: Timestamp) -> Vec<LimitRecord> {
        self.limits().records(MAX_LIMITS_PER_MESSAGE, now)
    }

    /// Updates the senders to limited servers, and forgets old limits.
    pub fn maintain(&self, context: &Context) {
        let now = context.clock.now();
        let senders = serving_entries(context);
        let mut limits = self.limits();
        let entries = senders.len();
        let changes = limits.set_entries(senders, now);
        limits.expire(now);
        let (known, sending) = limits.counts();
        drop(limits);
        log_shares(&changes, entries);
        set_gauge("known", known);
        set_gauge("sending", sending);
    }
}

fn set_gauge(kind: &'static str, count: usize) {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    metrics::gauge!("apricothall_limited_servers", "kind" => kind).set(f64::from(count));
}

/// Entries that serve, including this one if it does.
fn serving_entries(context: &Context) -> Vec<Sender> {
    let mut senders = Vec::new();
    let settings = context.settings();
    if settings.role == Role::Entry && phase(context) == Phase::Serving {
        senders.push(Sender {
            id: settings.id.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        });
    }
    context.peers.each(context.clock.now(), |peer| {
        let hello = &peer.hello;
        if hello.role == Role::Entry && hello.phase == Phase::Serving {
            senders.push(Sender {
                id: hello.id.clone(),
                zone: hello.zone.clone(),
                region: hello.region.clone(),
            });
        }
    });
    senders
}

fn log_shares(changes: &[ShareChange], entries: usize) {
    for change in changes {
        let shown = |rate: Option<Quota>| rate.map(tracing::field::display);
        let (before, share) = (shown(change.before), shown(change.share));
        tracing::info!(server = %change.server, before, share, entries, "share of a server's limit changed");
    }
}

fn log_change(change: Option<LimitChange>) {
    let Some(change) = change else {
        return;
    };
    let LimitChange {
        server,
        before,
        limit,
        source,
        age,
    } = change;
    let age_ms = millis(age);
    match (before, limit) {
        (_, None) => {
            tracing::info!(%server, before = before.map(tracing::field::display), ?source, age_ms, "server's limit ended");
        }
        (None, Some(limit)) => {
            tracing::info!(%server, %limit, ?source, age_ms, "server's limit known");
        }
        (Some(before), Some(limit)) => {
            tracing::info!(%server, %limit, %before, ?source, age_ms, "server's limit changed");
        }
    }
}

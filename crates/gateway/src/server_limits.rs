//! Limits that servers name, shared with other entries by gossip, and limits of cold servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use apricothall_decide::server_limits::{
    ColdChange, LimitChange, LimitRecord, PassedOver, Place, Reservation, Sender, ServerLife,
    ServerLimits, ShareChange, Source, Verdict,
};
use apricothall_decide::servers::Server;
use apricothall_types::{ConfigurationRevision, MemberId, Quota, Role, Timestamp, Zone};

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
    /// Configuration from which the limits of cold servers were taken.
    configuration: Mutex<ConfigurationRevision>,
    /// Evacuated zones, as last seen.
    evacuated: Mutex<BTreeSet<Zone>>,
}

impl SharedLimits {
    /// Creates the state of an entry that was started at `now`.
    #[must_use]
    pub fn new(settings: &Settings, now: Timestamp) -> Self {
        let mut limits = ServerLimits::new(settings.id.clone(), now);
        let regions = settings.regions.iter();
        limits.set_regions(regions.map(|(z, r)| (z.clone(), r.clone())).collect());
        let own = SocketAddr::new(settings.ip, settings.peer_port);
        let expects_others = settings.seeds.iter().any(|seed| *seed != own);
        limits.cold.set_expects_others(expects_others);
        Self {
            limits: Mutex::new(limits),
            configuration: Mutex::default(),
            evacuated: Mutex::default(),
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

    /// Takes the limits of cold servers from the configuration in force.
    pub fn follow_configuration(&self, context: &Context, now: Timestamp) {
        let Some(in_force) = context.published.in_force() else {
            return;
        };
        let lock = self.configuration.lock();
        let mut followed = lock.unwrap_or_else(PoisonError::into_inner);
        if *followed < in_force.revision {
            *followed = in_force.revision;
            let services = in_force.configuration.cold_starts.clone();
            self.limits().cold.set_services(services, now);
        }
    }

    /// Whether a request may be sent to `server`, whose entry may have changed.
    #[must_use]
    pub fn verdict(&self, server: &Server, now: Timestamp) -> Verdict {
        let mut limits = self.limits();
        let change = limits.observe_entry(server, now);
        let verdict = limits.verdict(&server.id, server.born, now);
        drop(limits);
        log_cold(change);
        verdict
    }

    /// Takes the room of one request in the limits of `server`.
    pub fn reserve(&self, server: &Server, now: Timestamp) -> Reservation {
        self.limits().reserve(&server.id, server.born, now)
    }

    /// Whether a request may be sent to `server` now, for which room was `reserved`.
    pub fn confirm(
        &self,
        context: &Context,
        server: &Server,
        reserved: Reservation,
        now: Timestamp,
    ) -> bool {
        self.follow_configuration(context, now);
        // The server may have become cold since it was selected.
        let change = context.published.servers(|servers| {
            let current = servers.get(&server.id)?;
            self.limits().observe_entry(current, now)
        });
        log_cold(change);
        let mut limits = self.limits();
        limits.confirm(&server.id, server.born, reserved, now)
    }

    /// Takes the zones that are evacuated. Servers of a zone that no longer is may be cold.
    pub fn follow_evacuations(&self, zones: &BTreeSet<Zone>, now: Timestamp) {
        let lock = self.evacuated.lock();
        let mut evacuated = lock.unwrap_or_else(PoisonError::into_inner);
        if *evacuated == *zones {
            return;
        }
        for zone in evacuated.difference(zones) {
            let changes = self.limits().cold.zone_restored(zone, now);
            log_cold(changes);
        }
        evacuated.clone_from(zones);
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
        let (senders, departed) = entries(context);
        let mut limits = self.limits();
        let entries = senders.len();
        limits.cold.record_departures(&departed);
        let changes = limits.set_entries(senders, now);
        limits.expire(now);
        let (known, sending) = limits.counts();
        drop(limits);
        log_shares(&changes, entries);
        metrics::gauge!("apricothall_limited_servers", "kind" => "known").set(gauge(known));
        metrics::gauge!("apricothall_limited_servers", "kind" => "sending").set(gauge(sending));
        if context.settings().role == Role::Entry {
            self.maintain_cold(context, now);
        }
    }

    /// Takes changes of server entries into account, and reports servers that are no longer cold.
    fn maintain_cold(&self, context: &Context, now: Timestamp) {
        self.follow_configuration(context, now);
        self.follow_evacuations(&context.published.evacuated_zones(), now);
        let tolerance = context.settings().bounds.cold;
        let began = context.published.servers(|servers| {
            let mut limits = self.limits();
            limits.cold.set_tolerance(tolerance, now);
            limits.cold.retain(servers.iter().map(|s| &s.id), now);
            let began = servers.iter().filter_map(|s| limits.observe_entry(s, now));
            began.collect::<Vec<_>>()
        });
        let mut limits = self.limits();
        let ended = limits.cold.take_ended(now);
        let (cold, sending) = limits.cold.counts(now);
        drop(limits);
        log_cold(began);
        log_cold(ended);
        metrics::gauge!("apricothall_cold_servers", "kind" => "known").set(gauge(cold));
        metrics::gauge!("apricothall_cold_servers", "kind" => "sending").set(gauge(sending));
    }
}

/// Counts a server selection that passed over a server because of a limit.
pub fn count_passed_over(passed: &PassedOver) {
    metrics::counter!("apricothall_limit_passed_over_total").increment(1);
    if matches!(passed.source, Source::Cold(_)) {
        metrics::counter!("apricothall_cold_passed_over_total").increment(1);
    }
}

fn gauge(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Entries that serve, including this one if it does, and other ones that told that they do not.
fn entries(context: &Context) -> (Vec<Sender>, Vec<MemberId>) {
    let mut senders = Vec::new();
    let mut departed = Vec::new();
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
        if hello.role != Role::Entry {
            return;
        }
        if hello.phase != Phase::Serving {
            departed.push(hello.id.clone());
            return;
        }
        senders.push(Sender {
            id: hello.id.clone(),
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        });
    });
    (senders, departed)
}

fn log_shares(changes: &[ShareChange], entries: usize) {
    for change in changes {
        let shown = |rate: Option<Quota>| rate.map(tracing::field::display);
        let (before, share) = (shown(change.before), shown(change.share));
        tracing::info!(server = %change.server, before, share, entries, "share of a server's limit changed");
    }
}

fn log_cold(changes: impl IntoIterator<Item = ColdChange>) {
    for change in changes {
        let ColdChange {
            server,
            limit,
            source,
            age,
            left,
        } = change;
        let (age_ms, left_ms) = (millis(age), millis(left));
        if let Some(limit) = limit {
            tracing::info!(%server, %limit, ?source, age_ms, left_ms, "server is cold");
        } else {
            tracing::info!(%server, ?source, age_ms, "server is no longer cold");
        }
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

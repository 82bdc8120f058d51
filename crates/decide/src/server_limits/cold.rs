//! Servers that are cold, as they have just started or their zone returns from an evacuation.
//!
//! A cold server takes a limited number of requests per second from all entries together. Each
//! entry learns from the server list and the configuration until when a server is cold; there are
//! no messages about it. The limit is divided like one that a server names, but also counts entries
//! that fell silent.
//!
//! "Entry" alone is a daemon that accepts requests; the item of a server in the store is its "server
//! entry".

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Quota, Timestamp, WallTime, Zone};
use smol_str::SmolStr;

use super::Verdict;
use super::known_entries::KnownEntries;
use super::record::{ColdChange, ColdSource, PassedOver, ServerLife, Source};
use super::share::{Sender, Tolerance, entries_before, share_at};
use super::usage::Usage;

/// Longest time for which a server is taken for cold because of one statement.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);

/// Time between two steps of the limit after the end of the cold time.
const RAMP_STEP: Duration = Duration::from_millis(250);

/// Number of equal steps in which the limit rises to twice its value before it is lifted.
const RAMP_STEPS: u32 = 4;

/// Time for which a server is remembered that is no longer listed.
const RETENTION: Duration = Duration::from_mins(10);

/// How servers of a service start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold server takes.
    pub limit: Quota,
}

/// What the entry of a server in the store tells of its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server process.
    pub server: ServerLife,
    /// Its service.
    pub service: SmolStr,
    /// Time for which it stays cold, if its entry states one.
    pub remaining: Option<Duration>,
}

/// Time in which a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdTime {
    until: Timestamp,
    since: Timestamp,
    source: ColdSource,
}

impl ColdTime {
    fn new(since: Timestamp, length: Duration, source: ColdSource) -> Option<Self> {
        let until = since + length.min(MAX_COLD_TIME);
        (until > since).then_some(Self {
            until,
            since,
            source,
        })
    }

    /// The limit at `now`, which rises in steps after the end; `None` once it is lifted.
    fn limit_at(&self, limit: Quota, now: Timestamp) -> Option<Quota> {
        if now < self.until {
            return Some(limit);
        }
        let step = now.since(self.until).as_millis() / RAMP_STEP.as_millis() + 1;
        let steps = u128::from(RAMP_STEPS);
        let raised = u128::from(limit.0) * (steps + step) / steps;
        let raised = Quota(u64::try_from(raised).unwrap_or(u64::MAX));
        (step <= steps).then_some(raised)
    }
}

/// A cold time that server entries stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// Absent if the latest entry stated none.
    remaining: Option<Duration>,
    time: Option<ColdTime>,
}

#[derive(Clone, Debug)]
struct ColdServer {
    entry: ServerEntry,
    first_seen: Timestamp,
    last_seen: Timestamp,
    stated: Option<Stated>,
    /// The cold time that ends last.
    time: Option<ColdTime>,
    /// Cold time whose beginning was reported and whose end was not.
    reported: Option<ColdTime>,
    /// Number of entries that precede this one as senders.
    before: Option<u64>,
    /// Limit for which the share was set.
    limit: Option<Quota>,
    usage: Usage,
}

impl ColdServer {
    fn new(entry: ServerEntry, window: Duration, now: Timestamp) -> Self {
        Self {
            entry,
            first_seen: now,
            last_seen: now,
            stated: None,
            time: None,
            reported: None,
            before: None,
            limit: None,
            usage: Usage::new(window, now),
        }
    }

    /// Takes what the server's entry states into account. The same statement again does not begin a
    /// new cold time, as lists of servers are fetched repeatedly.
    fn record_statement(&mut self, remaining: Duration, now: Timestamp) {
        let before = self.stated;
        if before.is_some_and(|s| s.remaining == Some(remaining)) {
            return;
        }
        // A time of zero ends the earlier cold time now, and the limit rises from here.
        let ended = before.and_then(|s| s.time).map(|time| ColdTime {
            until: time.until.min(now),
            ..time
        });
        let time = ColdTime::new(now, remaining, ColdSource::Entry).or(ended);
        self.stated = Some(Stated {
            remaining: Some(remaining),
            time,
        });
    }

    /// The cold time that ends last.
    fn latest_time(&self, start: ColdStart, restored: Option<Timestamp>) -> Option<ColdTime> {
        let from_start = || ColdTime::new(self.first_seen, start.duration, ColdSource::Start);
        let by_entry = self.stated.map_or_else(from_start, |s| s.time);
        let by_zone =
            restored.and_then(|at| ColdTime::new(at, start.duration, ColdSource::Evacuation));
        [by_entry, by_zone]
            .into_iter()
            .flatten()
            .max_by_key(|time| time.until)
    }
}

/// Servers and until when they are cold, as known to one entry.
#[derive(Clone, Debug)]
pub struct ColdServers {
    own: MemberId,
    tolerance: Tolerance,
    services: BTreeMap<SmolStr, ColdStart>,
    restored: BTreeMap<Zone, Timestamp>,
    entries: KnownEntries,
    has_joined: bool,
    servers: BTreeMap<MemberId, ColdServer>,
}

impl ColdServers {
    /// Creates the state of the entry `own`.
    #[must_use]
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            tolerance: Tolerance::COLD,
            services: BTreeMap::new(),
            restored: BTreeMap::new(),
            entries: KnownEntries::default(),
            has_joined: false,
            servers: BTreeMap::new(),
        }
    }

    /// Sets the tolerance of limits of cold servers.
    pub fn set_tolerance(&mut self, tolerance: Tolerance, now: Timestamp) {
        if tolerance != self.tolerance {
            self.tolerance = tolerance;
            self.update_shares(now);
        }
    }

    /// Sets the services whose cold servers have a limit.
    pub fn set_services(&mut self, services: BTreeMap<SmolStr, ColdStart>, now: Timestamp) {
        if services == self.services {
            return;
        }
        self.services = services;
        for id in self.ids() {
            self.update_time(&id);
        }
        self.update_shares(now);
    }

    /// Whether servers of `service` have a limit while they are cold.
    #[must_use]
    pub fn is_limiting(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Sets whether the settings of this entry name other daemons. If they do, it takes no share
    /// until it has heard of another entry, as it may have been started while it is partitioned.
    pub fn set_expects_others(&mut self, expects_others: bool) {
        self.entries.set_expects_others(expects_others);
    }

    /// Sets the entries that accept requests, as known to this entry, which was started at
    /// `started`.
    pub(super) fn set_entries(&mut self, entries: &[Sender], started: Timestamp, now: Timestamp) {
        let changed = self.entries.update(&self.own, entries, now);
        let has_joined = self.entries.has_joined(started, now);
        if changed || has_joined != self.has_joined {
            self.has_joined = has_joined;
            self.update_shares(now);
        }
    }

    /// Records that entries have told that they accept no requests. Others are counted for a while
    /// after they were last heard from.
    pub fn record_departures(&mut self, entries: &[MemberId]) {
        if !entries.is_empty() {
            self.entries.record_departures(entries);
        }
    }

    fn ids(&self) -> Vec<MemberId> {
        self.servers.keys().cloned().collect()
    }

    /// Whether `entry` tells nothing new of its server.
    #[must_use]
    pub fn knows(&self, id: &MemberId, born: WallTime, remaining: Option<Duration>) -> bool {
        let known = self.servers.get(id).filter(|s| s.entry.server.born == born);
        known.is_some_and(|s| s.stated.and_then(|s| s.remaining) == remaining)
    }

    /// Takes the entry of a server into account. Returns the change if the server has become cold.
    pub fn observe(&mut self, entry: ServerEntry, now: Timestamp) -> Option<ColdChange> {
        if !self.services.contains_key(&entry.service) {
            return None;
        }
        let id = entry.server.id.clone();
        let known = self.servers.get(&id).map(|s| s.entry.server.born);
        if known.is_some_and(|born| entry.server.born < born) {
            return None;
        }
        let remaining = entry.remaining;
        let window = self.tolerance.window();
        if known != Some(entry.server.born) {
            let server = ColdServer::new(entry, window, now);
            self.servers.insert(id.clone(), server);
        }
        let server = self.servers.get_mut(&id)?;
        server.last_seen = now;
        match (remaining, &mut server.stated) {
            (Some(remaining), _) => server.record_statement(remaining, now),
            // The same time stated again later is another cold time.
            (None, Some(stated)) => stated.remaining = None,
            (None, None) => {}
        }
        self.update_time(&id);
        self.report_beginning(&id, now)
    }

    /// Records that the evacuation of `zone` was removed. Its servers may be cold. Returns those
    /// that were not.
    pub fn zone_restored(&mut self, zone: &Zone, now: Timestamp) -> Vec<ColdChange> {
        let restored = self.restored.entry(zone.clone()).or_insert(now);
        *restored = now.max(*restored);
        let mut ids = self.ids();
        ids.retain(|id| self.servers[id].entry.server.place.zone == *zone);
        let changes = ids.iter().filter_map(|id| {
            self.update_time(id);
            self.report_beginning(id, now)
        });
        changes.collect()
    }

    fn update_time(&mut self, id: &MemberId) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let start = self.services.get(&server.entry.service);
        let restored = self.restored.get(&server.entry.server.place.zone).copied();
        server.time = start.and_then(|start| server.latest_time(*start, restored));
    }

    fn report_beginning(&mut self, id: &MemberId, now: Timestamp) -> Option<ColdChange> {
        let server = self.servers.get_mut(id)?;
        let time = server.time.filter(|time| now < time.until)?;
        if server.reported.replace(time).is_some() {
            return None;
        }
        let start = self.services.get(&server.entry.service)?;
        Some(ColdChange {
            server: id.clone(),
            limit: Some(start.limit),
            source: time.source,
            age: now.since(time.since),
            left: time.until.since(now),
        })
    }

    /// Servers whose limit was lifted since the last call.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let mut ended = Vec::new();
        for (id, server) in &mut self.servers {
            let is_lifted = |t: ColdTime| t.limit_at(Quota(0), now).is_none();
            if !server.time.is_none_or(is_lifted) {
                continue;
            }
            let Some(reported) = server.reported.take() else {
                continue;
            };
            let time = server.time.unwrap_or(reported);
            server.limit = None;
            server.usage.set_share(None, now);
            ended.push(ColdChange {
                server: id.clone(),
                limit: None,
                source: time.source,
                age: now.since(time.since),
                left: Duration::ZERO,
            });
        }
        ended
    }

    /// Records that servers are listed, and forgets those that are not for a long time.
    pub fn retain<'a>(&mut self, listed: impl Iterator<Item = &'a MemberId>, now: Timestamp) {
        for id in listed {
            if let Some(server) = self.servers.get_mut(id) {
                server.last_seen = now;
            }
        }
        self.servers
            .retain(|_, s| now.since(s.last_seen) < RETENTION);
        self.restored
            .retain(|_, at| now.since(*at) < MAX_COLD_TIME + RETENTION);
    }

    /// Recomputes the shares in all limits that apply.
    fn update_shares(&mut self, now: Timestamp) {
        for id in self.ids() {
            if let Some(server) = self.servers.get_mut(&id) {
                server.before = None;
                server.limit = None;
            }
            self.refresh_share(&id, now);
        }
    }

    /// Updates the share in the limit of a server. Returns its state and the limit at `now`, if it has
    /// one.
    fn refresh_share(&mut self, id: &MemberId, now: Timestamp) -> Option<(&mut ColdServer, Quota)> {
        let server = self.servers.get_mut(id)?;
        let time = server.time?;
        let start = self.services.get(&server.entry.service)?;
        let limit = time.limit_at(start.limit, now)?;
        if server.limit != Some(limit) {
            let entries = self.entries.all();
            if server.before.is_none() && self.has_joined {
                let place = &server.entry.server.place;
                server.before = entries_before(&self.own, id, place, entries);
            }
            let before = server.before.filter(|_| self.has_joined);
            let share = before.and_then(|b| share_at(b, limit, &self.tolerance, entries.len()));
            server.usage.set_share(share, now);
            server.limit = Some(limit);
        }
        Some((server, limit))
    }

    /// Like [`Self::refresh_share`], only for the process started at `born`.
    fn refresh_share_of_life(
        &mut self,
        id: &MemberId,
        born: WallTime,
        now: Timestamp,
    ) -> Option<(&mut ColdServer, Quota)> {
        let limited = self.refresh_share(id, now)?;
        (limited.0.entry.server.born == born).then_some(limited)
    }

    /// Whether a request may be sent to the server `id`, started at `born`.
    pub(super) fn verdict(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> Verdict {
        let Some((server, limit)) = self.refresh_share_of_life(id, born, now) else {
            return Verdict::Unlimited;
        };
        if server.usage.has_room(now) {
            return Verdict::Allowed;
        }
        let Some(time) = server.time else {
            return Verdict::Unlimited;
        };
        Verdict::PassedOver(PassedOver {
            server: id.clone(),
            limit,
            share: server.usage.rate(),
            taken: server.usage.sent_in_window(now),
            source: Source::Cold(time.source),
            age: now.since(time.since),
            wait: server.usage.wait(limit, now),
        })
    }

    /// What this entry uses of the limit of a cold server; `None` if it has no limit.
    pub(super) fn usage(
        &mut self,
        id: &MemberId,
        born: WallTime,
        now: Timestamp,
    ) -> Option<&mut Usage> {
        let (server, _) = self.refresh_share_of_life(id, born, now)?;
        Some(&mut server.usage)
    }

    /// Number of cold servers, and of those to which this entry sends.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let is_cold = |s: &&ColdServer| s.time.is_some_and(|t| now < t.until);
        let cold = || self.servers.values().filter(is_cold);
        let sending = cold().filter(|s| s.usage.share().is_some());
        (cold().count(), sending.count())
    }
}

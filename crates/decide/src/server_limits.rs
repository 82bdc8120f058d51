//! Limits that servers name for the requests of all entries together.
//!
//! A server in need names in its answers how many requests a second it takes. Each entry tells the
//! others what it heard, so that all know the limit of each server, and a few of them, chosen alike
//! by all, use it. The limit ends after a few answers without it, or with the server process.
//!
//! A cold server has a limit from the configuration, which is divided in the same way ([`cold`]).
//! If a server has both, the stricter applies.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Quota, Region, Timestamp, WallTime, Zone};

use crate::servers::Server;
use crate::update_queue::UpdateQueue;

pub mod cold;
mod known_entries;
mod record;
mod share;
mod usage;

pub use record::{
    ColdChange, ColdSource, LimitChange, LimitRecord, PassedOver, ServerLife, ShareChange, Source,
};
pub use share::{Place, Sender, Tolerance, WINDOW};

use cold::{ColdServers, ServerEntry};
use record::Knowledge;
use share::share_of;
use usage::Usage;

/// Consecutive answers without the limit after which it has ended.
const CLEAN_ANSWERS: u8 = 3;

/// Time after the start of an entry during which it sends nothing to limited servers, as it does
/// not know all entries yet and they do not know it.
const JOIN_TIME: Duration = Duration::from_secs(5);

/// Minimum time between two immediate messages about the same server.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a limit, or its end, is remembered without further answers.
const RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of servers whose changes are sent at once.
const MAX_UPDATES: usize = 8;

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server has no limit.
    Unlimited,
    /// The limit has room for a request of this entry.
    Allowed,
    /// Another request of this entry would exceed its share.
    PassedOver(PassedOver),
}

/// State of one server.
#[derive(Clone, Debug)]
struct Limited {
    born: WallTime,
    place: Place,
    known: Knowledge,
    /// Time of the latest answer with the limit.
    named: Timestamp,
    /// Time of the latest such answer to this entry.
    named_here: Option<Timestamp>,
    /// Time of the latest immediate message.
    updated: Option<Timestamp>,
    usage: Usage,
}

/// Limits of a server in which the room of a request was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    named: bool,
    cold: bool,
}

impl Limited {
    fn new(server: &ServerLife, known: Knowledge, now: Timestamp) -> Self {
        Self {
            born: server.born,
            place: server.place.clone(),
            named: known.observed,
            named_here: None,
            known,
            updated: None,
            usage: Usage::new(WINDOW, now),
        }
    }
}

/// Limits of all servers, as known to one entry.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    own: MemberId,
    started: Timestamp,
    entries: Vec<Sender>,
    regions: BTreeMap<Zone, Region>,
    has_joined: bool,
    servers: BTreeMap<MemberId, Limited>,
    updates: UpdateQueue<MemberId>,
    cursor: usize,
    /// Servers that are cold.
    pub cold: ColdServers,
}

impl ServerLimits {
    /// Creates the state of the entry `own`, which was started at `started`.
    #[must_use]
    pub fn new(own: MemberId, started: Timestamp) -> Self {
        Self {
            cold: ColdServers::new(own.clone()),
            own,
            started,
            entries: Vec::new(),
            regions: BTreeMap::new(),
            has_joined: false,
            servers: BTreeMap::new(),
            updates: UpdateQueue::default(),
            cursor: 0,
        }
    }

    /// Creates the state of the only sender to its servers.
    #[must_use]
    pub fn for_single_sender(own: Sender) -> Self {
        Self {
            entries: vec![own.clone()],
            has_joined: true,
            ..Self::new(own.id, Timestamp::default())
        }
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: BTreeMap<Zone, Region>) {
        self.regions = regions;
    }

    /// Sets the entries that accept requests, including this one if it does. Returns what it
    /// changes.
    pub fn set_entries(&mut self, entries: Vec<Sender>, now: Timestamp) -> Vec<ShareChange> {
        let has_joined = now.since(self.started) >= JOIN_TIME;
        self.cold.set_entries(&entries, self.started, now);
        if entries == self.entries && has_joined == self.has_joined {
            return Vec::new();
        }
        self.entries = entries;
        self.has_joined = has_joined;
        let ids: Vec<_> = self.servers.keys().cloned().collect();
        let changes = ids.iter().filter_map(|id| self.update_share(id, now));
        changes.collect()
    }

    /// Takes an answer of `server` into account, which named the limit `named` or none. The request
    /// was sent at `sent`.
    pub fn observe(
        &mut self,
        server: &ServerLife,
        named: Option<Quota>,
        sent: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let known = self.servers.get(&server.id);
        let known = known.filter(|k| k.born == server.born);
        match named {
            Some(limit) => self.observe_limit(server, limit, now),
            None if known.is_some_and(|k| k.known.limit.is_some() && sent > k.named) => {
                self.observe_clean(&server.id, now)
            }
            None => None,
        }
    }

    /// Takes the entry of a server in the store into account. Returns the change if the server has
    /// become cold.
    pub fn observe_entry(&mut self, server: &Server, now: Timestamp) -> Option<ColdChange> {
        let remaining = server.cold_remaining;
        let is_known = || self.cold.knows(&server.id, server.born, remaining);
        if !self.cold.is_limiting(&server.service) || is_known() {
            return None;
        }
        let entry = ServerEntry {
            server: ServerLife {
                id: server.id.clone(),
                born: server.born,
                place: Place {
                    zone: server.zone.clone(),
                    region: self.regions.get(&server.zone).cloned(),
                },
            },
            service: server.service.clone(),
            remaining,
        };
        self.cold.observe(entry, now)
    }

    fn observe_limit(
        &mut self,
        server: &ServerLife,
        limit: Quota,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let current = self.servers.get(&server.id);
        let current = current.filter(|k| k.born == server.born);
        let version = current.map(|k| k.known.version).unwrap_or_default();
        let known = Knowledge {
            version: version.next(),
            limit: Some(limit),
            clean: 0,
            observed: now,
            source: Source::Answer,
        };
        let change = self.apply(server, known, now);
        if let Some(state) = self.servers.get_mut(&server.id) {
            state.named_here = Some(now);
        }
        change
    }

    fn observe_clean(&mut self, id: &MemberId, now: Timestamp) -> Option<LimitChange> {
        let state = self.servers.get(id)?;
        let clean = state.known.clean.saturating_add(1);
        let known = Knowledge {
            version: state.known.version.next(),
            limit: state.known.limit.filter(|_| clean < CLEAN_ANSWERS),
            clean,
            observed: now,
            source: Source::Answer,
        };
        let server = ServerLife {
            id: id.clone(),
            born: state.born,
            place: state.place.clone(),
        };
        self.apply(&server, known, now)
    }

    /// Merges what another entry told.
    pub fn merge(&mut self, record: &LimitRecord, now: Timestamp) -> Option<LimitChange> {
        let observed = now - Duration::from_millis(record.age);
        let told = Knowledge {
            version: record.version,
            limit: record.limit,
            clean: record.clean,
            observed,
            source: Source::Peer,
        };
        if let Some(state) = self.servers.get_mut(&record.server) {
            if record.born < state.born {
                return None;
            }
            let same_life = record.born == state.born;
            if same_life && !told.supersedes(&state.known) {
                return None;
            }
            // What this entry has heard itself since then is newer.
            let heard_since = state.named_here.is_some_and(|at| at > observed);
            if same_life && heard_since && state.known.limit.is_some() {
                let differs = state.known.limit != record.limit;
                state.known.version = record.version.next();
                if differs {
                    self.schedule_update(&record.server, now);
                }
                return None;
            }
        }
        let region = self.regions.get(&record.zone).cloned();
        let server = ServerLife {
            id: record.server.clone(),
            born: record.born,
            place: Place {
                zone: record.zone.clone(),
                region,
            },
        };
        self.apply(&server, told, now)
    }

    /// Replaces what is known of a server.
    fn apply(
        &mut self,
        server: &ServerLife,
        known: Knowledge,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let new = || Limited::new(server, known, now);
        let is_known = |k: &Limited| k.born == server.born;
        let before = self.servers.get(&server.id).filter(|k| is_known(k));
        let before = before.and_then(|k| k.known.limit);
        let state = self.servers.entry(server.id.clone()).or_insert_with(new);
        if state.born != server.born {
            *state = new();
        }
        state.known = known;
        if known.clean == 0 {
            state.named = state.named.max(known.observed);
        }
        if before == known.limit {
            return None;
        }
        self.update_share(&server.id, now);
        self.schedule_update(&server.id, now);
        Some(LimitChange {
            server: server.id.clone(),
            before,
            limit: known.limit,
            source: known.source,
            age: now.since(known.observed),
        })
    }

    fn update_share(&mut self, id: &MemberId, now: Timestamp) -> Option<ShareChange> {
        let state = self.servers.get_mut(id)?;
        let limit = state.known.limit.filter(|_| self.has_joined);
        let share =
            limit.and_then(|limit| share_of(&self.own, id, &state.place, limit, &self.entries));
        let before = state.usage.rate();
        state.usage.set_share(share, now);
        let share = share.map(|share| share.rate);
        (before != share).then(|| ShareChange {
            server: id.clone(),
            before,
            share,
        })
    }

    fn schedule_update(&mut self, id: &MemberId, now: Timestamp) {
        let Some(state) = self.servers.get_mut(id) else {
            return;
        };
        let earliest = state.updated.map(|at| at + UPDATE_INTERVAL);
        let due = earliest.map_or(now, |earliest| earliest.max(now));
        state.updated = Some(due);
        self.updates.schedule(id.clone(), due);
    }

    /// Whether a request may be sent to the server `id`, started at `born`.
    pub fn verdict(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> Verdict {
        let cold = self.cold.verdict(id, born, now);
        match (self.named_verdict(id, born, now), cold) {
            (Verdict::PassedOver(named), Verdict::PassedOver(cold)) => {
                let longest = if cold.wait > named.wait { cold } else { named };
                Verdict::PassedOver(longest)
            }
            (Verdict::PassedOver(passed), _) | (_, Verdict::PassedOver(passed)) => {
                Verdict::PassedOver(passed)
            }
            (Verdict::Unlimited, Verdict::Unlimited) => Verdict::Unlimited,
            _ => Verdict::Allowed,
        }
    }

    fn named_verdict(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> Verdict {
        let Some((state, limit)) = limited(&mut self.servers, id, born) else {
            return Verdict::Unlimited;
        };
        if state.usage.has_room(now) {
            return Verdict::Allowed;
        }
        Verdict::PassedOver(PassedOver {
            server: id.clone(),
            limit,
            share: state.usage.rate(),
            taken: state.usage.sent_in_window(now),
            source: state.known.source,
            age: now.since(state.known.observed),
            wait: state.usage.wait(limit, now),
        })
    }

    /// Takes the room of one request in the limits of a server. Returns whether the request may be
    /// sent.
    pub fn take(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> bool {
        let has_room = !matches!(self.verdict(id, born, now), Verdict::PassedOver(_));
        has_room && self.confirm(id, born, Reservation::default(), now)
    }

    /// Takes the room of a request that will be sent soon in the limits of a server.
    pub fn reserve(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> Reservation {
        if matches!(self.verdict(id, born, now), Verdict::PassedOver(_)) {
            return Reservation::default();
        }
        let cold = self.cold.usage(id, born, now);
        let cold = cold.is_some_and(|usage| usage.take(now));
        let named = limited(&mut self.servers, id, born);
        let named = named.is_some_and(|(state, _)| state.usage.take(now));
        if named && let Some(state) = self.servers.get_mut(id) {
            state.usage.record_sent(now);
        }
        Reservation { named, cold }
    }

    /// Whether a request may be sent now. Takes its room in limits that the server did not have
    /// when the room was reserved.
    pub fn confirm(
        &mut self,
        id: &MemberId,
        born: WallTime,
        reserved: Reservation,
        now: Timestamp,
    ) -> bool {
        if let Some(usage) = self.cold.usage(id, born, now) {
            let has_room = reserved.cold || usage.take(now);
            if !has_room || !usage.may_send(now) {
                return false;
            }
        }
        if !reserved.named
            && let Some((state, _)) = limited(&mut self.servers, id, born)
        {
            if !state.usage.take(now) {
                return false;
            }
            state.usage.record_sent(now);
        }
        if let Some(usage) = self.cold.usage(id, born, now) {
            usage.record_sent(now);
        }
        true
    }

    /// Whether the server `id`, started at `born`, names a limit.
    #[must_use]
    pub fn is_limited(&self, id: &MemberId, born: WallTime) -> bool {
        let state = self.servers.get(id).filter(|k| k.born == born);
        state.is_some_and(|k| k.known.limit.is_some())
    }

    /// Number of servers that name a limit, and of those to which this entry sends.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let limited = || self.servers.values().filter(|k| k.known.limit.is_some());
        let sending = limited().filter(|k| k.usage.share().is_some());
        (limited().count(), sending.count())
    }

    /// Moves changes that are due into the messages of the next rounds. Returns whether there were
    /// any.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        self.updates.take_due(MAX_UPDATES, now)
    }

    /// Whether there are changes to be sent in addition to regular messages.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.updates.recent(now).next().is_some()
    }

    /// At most `most` records for a message: recent changes first, then the others in turn.
    pub fn records(&mut self, most: usize, now: Timestamp) -> Vec<LimitRecord> {
        let mut ids: Vec<MemberId> = Vec::new();
        for id in self.updates.recent(now) {
            if ids.len() < most && !ids.contains(id) {
                ids.push(id.clone());
            }
        }
        let rest = most - ids.len();
        let others = self.servers.keys().filter(|id| !ids.contains(id));
        let others: Vec<_> = others.cloned().collect();
        if !others.is_empty() {
            let turn = self.cursor % others.len();
            ids.extend(
                others
                    .iter()
                    .cycle()
                    .skip(turn)
                    .take(rest.min(others.len()))
                    .cloned(),
            );
            self.cursor = self.cursor.wrapping_add(rest.max(1));
        }
        ids.iter().filter_map(|id| self.record(id, now)).collect()
    }

    fn record(&self, id: &MemberId, now: Timestamp) -> Option<LimitRecord> {
        let state = self.servers.get(id)?;
        let age = now.since(state.known.observed).as_millis();
        Some(LimitRecord {
            server: id.clone(),
            born: state.born,
            zone: state.place.zone.clone(),
            limit: state.known.limit,
            version: state.known.version,
            clean: state.known.clean,
            age: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }

    /// Forgets servers of which nothing was heard for a long time.
    pub fn expire(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, k| now.since(k.known.observed) < RETENTION);
    }
}

/// State of a server that names a limit.
fn limited<'a>(
    servers: &'a mut BTreeMap<MemberId, Limited>,
    id: &MemberId,
    born: WallTime,
) -> Option<(&'a mut Limited, Quota)> {
    let state = servers.get_mut(id).filter(|k| k.born == born)?;
    let limit = state.known.limit?;
    Some((state, limit))
}

//! Servers while the store comes back from an older copy.
//!
//! Such a copy lacks the entries written last and holds those removed last. Until live servers have
//! written their entries again, what was known before is held against it.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp};

use crate::configs::OutageConfig;

/// Number of heartbeat intervals within which a live server writes its entry again, after which the
/// store drops it.
const EXPIRY_HEARTBEATS: u32 = 3;

/// Number of heartbeat intervals after which the store has dropped the entries of servers that left.
/// It drops them some time after it has come back, and its answers may be late.
const CLEANUP_HEARTBEATS: u32 = 6;

/// Time for which departures are remembered, beyond the age of any copy.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(1);

/// The period that follows a return of the store from an older copy, and recent departures.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    heartbeat: Duration,
    began: Option<Timestamp>,
    departures: BTreeMap<MemberId, Timestamp>,
}

impl Default for Hold {
    fn default() -> Self {
        Self::new(&OutageConfig::default())
    }
}

impl Hold {
    pub(super) fn new(config: &OutageConfig) -> Self {
        Self {
            heartbeat: config.heartbeat.0,
            began: None,
            departures: BTreeMap::new(),
        }
    }

    /// Starts the period.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.began = Some(now);
    }

    /// Time left for live servers to write entries again that the copy lacks.
    pub(super) fn time_left(&self, now: Timestamp) -> Duration {
        let length = self.heartbeat * EXPIRY_HEARTBEATS;
        let left = |began| length.saturating_sub(now.since(began));
        self.began.map(left).unwrap_or_default()
    }

    /// Whether the store may still have entries of servers that had left before it came back.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        let length = self.heartbeat * CLEANUP_HEARTBEATS;
        self.began.is_some_and(|began| now.since(began) < length)
    }

    /// Records that the entry of a server is gone.
    pub(super) fn record_departure(&mut self, id: MemberId, now: Timestamp) {
        let departures = &mut self.departures;
        departures.retain(|_, at| now.since(*at) < DEPARTURE_RETENTION);
        departures.insert(id, now);
    }

    /// Records that a server has an entry.
    pub(super) fn record_entry(&mut self, id: &MemberId) {
        self.departures.remove(id);
    }

    /// Whether the server was gone before the store came back, so that an entry is of the copy.
    pub(super) fn withholds(&self, id: &MemberId, now: Timestamp) -> bool {
        let departure = self.departures.get(id);
        self.is_active(now) && departure.is_some_and(|at| Some(*at) < self.began)
    }

    /// Servers whose entries the store removed after it had come back.
    pub(super) fn departed(&self, now: Timestamp) -> Vec<MemberId> {
        let is_recent = |at: &Timestamp| self.is_active(now) && Some(*at) >= self.began;
        let departed = self.departures.iter().filter(|(_, at)| is_recent(at));
        departed.map(|(id, _)| id.clone()).collect()
    }
}

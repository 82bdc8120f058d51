//! A server of the model, which checks its arrivals as the platform does.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use apricothall_decide::server_limits::{Place, Sender, ServerLife, WINDOW};
use apricothall_types::{Quota, Timestamp, WallTime};

/// Time within which an entry that was told a limit must observe it.
const REACTION: Duration = Duration::from_millis(500);

/// Time after which a limit, and a restarted or frozen entry, is checked.
pub const CONTACT: Duration = Duration::from_secs(3);

/// A server and what it has received.
pub struct Server {
    /// Its identity.
    pub life: ServerLife,
    /// The limit that it names.
    pub limit: Option<Quota>,
    /// When it began to name limits.
    since: Timestamp,
    /// Earlier limits, with the time until which each was named.
    earlier: VecDeque<(Timestamp, Option<Quota>)>,
    told: BTreeMap<usize, Timestamp>,
    counted: VecDeque<Timestamp>,
    arrivals: Vec<Timestamp>,
}

impl Server {
    /// A server at the place of an entry, without a limit.
    pub fn new(index: usize, near: &Sender) -> Self {
        Self {
            life: ServerLife {
                id: format!("server-{index}").parse().expect("valid"),
                born: WallTime(1),
                place: Place {
                    zone: near.zone.clone(),
                    region: Some(near.region.clone()),
                },
            },
            limit: None,
            since: Timestamp::default(),
            earlier: VecDeque::new(),
            told: BTreeMap::new(),
            counted: VecDeque::new(),
            arrivals: Vec::new(),
        }
    }

    /// Names a limit from now on, or none.
    pub fn set_limit(&mut self, limit: Option<Quota>, now: Timestamp) {
        if self.limit.is_none() || limit.is_none() {
            self.since = now;
            self.told.clear();
            self.counted.clear();
        }
        self.earlier.push_back((now, self.limit));
        self.limit = limit;
    }

    /// Records that an entry was told the limit.
    pub fn record_told(&mut self, entry: usize, now: Timestamp) {
        if self.limit.is_some() {
            self.told.entry(entry).or_insert(now);
        }
    }

    /// Forgets what an entry was told, as its process has been restarted.
    pub fn forget(&mut self, entry: usize) {
        self.told.remove(&entry);
    }

    /// Requests that arrived since `from`.
    pub fn arrived_since(&self, from: Timestamp) -> usize {
        self.arrivals.iter().filter(|at| **at >= from).count()
    }

    /// Records the arrival of a request. Returns what the platform would report.
    pub fn arrive(&mut self, from: usize, excused: bool, now: Timestamp) -> Option<String> {
        self.arrivals.push(now);
        let told = self.told.get(&from);
        if told.is_some_and(|told| now.since(*told) >= REACTION) && !excused {
            self.counted.push_back(now);
        }
        self.counted.retain(|at| now.since(*at) < WINDOW);
        self.earlier
            .retain(|(until, _)| now.since(*until) < WINDOW + CONTACT);
        if now.since(self.since) < CONTACT + WINDOW {
            return None;
        }
        let limit = self.limit?;
        let earlier = self.earlier.iter().filter_map(|(_, limit)| *limit);
        let highest = earlier.chain([limit]).max().unwrap_or(limit);
        let allowed = highest.over(WINDOW) * 3 / 2 + 5_000;
        let count = self.counted.len();
        if u64::try_from(count).expect("few") * 1_000 <= allowed {
            return None;
        }
        let id = &self.life.id;
        Some(format!(
            "{count} requests in 4 s at {id} with a limit of {highest}"
        ))
    }
}

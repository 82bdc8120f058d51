//! Load estimate per replica: the entry's own requests in progress, plus load reports that decay
//! with age.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use apricothall_types::{Load, MemberId, Timestamp};

/// Weight of a new report in the moving average. Reports arrive late, and entries that react to one
/// at full weight all overload the replica that was idle when it was measured.
const REPORT_WEIGHT: f64 = 0.2;

/// Reported load without the entry's own requests, and the time of its measurement.
#[derive(Clone, Copy, Debug)]
struct Report {
    others: f64,
    measured: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Score {
    in_flight: u32,
    slots: u32,
    report: Option<Report>,
}

/// Load estimates of all replicas.
#[derive(Clone, Debug)]
pub struct Scores {
    half_life: Duration,
    scores: BTreeMap<MemberId, Score>,
}

impl Scores {
    /// Creates an empty table. The weight of a report halves with every `half_life` of its age.
    pub fn new(half_life: Duration) -> Self {
        let scores = BTreeMap::new();
        Self { half_life, scores }
    }

    pub fn request_started(&mut self, id: &MemberId) {
        let score = self.scores.entry(id.clone()).or_default();
        score.in_flight = score.in_flight.saturating_add(1);
    }

    pub fn request_ended(&mut self, id: &MemberId) {
        if let Some(score) = self.scores.get_mut(id) {
            score.in_flight = score.in_flight.saturating_sub(1);
        }
    }

    /// Applies a report, unless a newer one is known.
    pub fn report(&mut self, id: &MemberId, load: Load, measured: Timestamp) {
        let score = self.scores.entry(id.clone()).or_default();
        if score.report.is_some_and(|r| r.measured > measured) {
            return;
        }
        let all = load.running.saturating_add(load.queued);
        let others = all.saturating_sub(score.in_flight);
        let sample = f64::from(others);
        let known = score.report.map_or(sample, |report| report.others);
        let others = known + (sample - known) * REPORT_WEIGHT;
        score.slots = load.slots;
        score.report = Some(Report { others, measured });
    }

    pub fn in_flight(&self, id: &MemberId) -> u32 {
        self.scores.get(id).map_or(0, |score| score.in_flight)
    }

    /// Load of `id`, in requests per slot.
    pub fn load(&self, id: &MemberId, now: Timestamp) -> f64 {
        self.requests(id, now) * self.load_per_request(id)
    }

    /// Estimated number of requests that one more request would wait for at `id`, including itself.
    pub fn queued(&self, id: &MemberId, now: Timestamp) -> f64 {
        let slots = self.scores.get(id).map_or(1, |score| score.slots.max(1));
        (self.requests(id, now) + 1.0 - f64::from(slots)).max(0.0)
    }

    fn requests(&self, id: &MemberId, now: Timestamp) -> f64 {
        let Some(score) = self.scores.get(id) else {
            return 0.0;
        };
        let others = score.report.map_or(0.0, |report| {
            let age = now.since(report.measured).as_secs_f64();
            let half_lives = age / self.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
            report.others * (-half_lives).exp2()
        });
        f64::from(score.in_flight) + others
    }

    /// Load that one request adds, in requests per slot.
    pub fn load_per_request(&self, id: &MemberId) -> f64 {
        let slots = self.scores.get(id).map_or(1, |score| score.slots);
        1.0 / f64::from(slots.max(1))
    }

    /// Removes all members not in `members` and returns them. Counts of requests in progress are
    /// kept until the requests end.
    pub fn retain(&mut self, members: &BTreeSet<MemberId>) -> Vec<MemberId> {
        let mut removed = Vec::new();
        self.scores.retain(|id, score| {
            let keep = members.contains(id);
            if !keep {
                score.report = None;
                removed.push(id.clone());
            }
            keep || score.in_flight > 0
        });
        removed
    }
}

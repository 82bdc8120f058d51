//! Outlier detection: ejection of members that fail repeatedly or answer much more slowly than the
//! others.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp};

use crate::configs::OutlierConfig;

const PERCENT: usize = 100;
const PERCENT_F64: f64 = 100.0;
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Minimum number of members with enough latency samples for a comparison with the median.
const MIN_JUDGED_MEMBERS: usize = 3;
/// Number of answers after which the count of earlier ejections decreases by one.
const SAMPLES_PER_FORGIVEN_EJECTION: u32 = 100;

/// Outcome of an attempt at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The first frame arrived after this time.
    Answered(Duration),
    /// The attempt failed or timed out because of the member or its network link.
    Failed,
}

/// Whether a member may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The member receives requests normally.
    Open,
    /// The member may receive one request that tests whether it has recovered.
    Probe,
    /// The member receives no requests.
    Ejected,
}

/// State of one member: in service, ejected until a time, or probed since a time.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    latency: f64,
    samples: u32,
    ejections: u32,
    until: Option<Timestamp>,
    probed: Option<Timestamp>,
}

/// Health of the members to which an entry sends requests.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: OutlierConfig,
    members: BTreeMap<MemberId, Health>,
}

impl OutlierDetector {
    /// Creates a detector without members.
    #[must_use]
    pub fn new(config: OutlierConfig) -> Self {
        let members = BTreeMap::new();
        Self { config, members }
    }

    /// Replaces the set of members and keeps the state of those already known.
    pub fn retain(&mut self, members: impl IntoIterator<Item = MemberId>) {
        let mut old = std::mem::take(&mut self.members);
        self.members = members
            .into_iter()
            .map(|id| {
                let health = old.remove(&id).unwrap_or_default();
                (id, health)
            })
            .collect();
    }

    /// Whether `id` may receive a request at `now`.
    #[must_use]
    pub fn permit(&self, id: &MemberId, now: Timestamp) -> Permit {
        let Some(health) = self.members.get(id) else {
            return Permit::Open;
        };
        let Some(until) = health.until else {
            return Permit::Open;
        };
        let probe_pending = health
            .probed
            .is_some_and(|at| now.since(at) < self.config.probe.0);
        if now < until || probe_pending {
            return Permit::Ejected;
        }
        Permit::Probe
    }

    /// Records that a request was sent to `id`. If it is a probe, further probes are held back.
    pub fn note_start(&mut self, id: &MemberId, now: Timestamp) {
        if self.permit(id, now) != Permit::Probe {
            return;
        }
        if let Some(health) = self.members.get_mut(id) {
            health.probed = Some(now);
        }
    }

    /// Records the outcome of an attempt at `id`. Returns true if it ejects the member.
    pub fn record(&mut self, id: &MemberId, attempt: Attempt, now: Timestamp) -> bool {
        let health = self.members.entry(id.clone()).or_default();
        let ejected = health.until.is_some();
        let probed = health.probed.is_some();
        match attempt {
            Attempt::Answered(latency) => health.note_latency(latency),
            Attempt::Failed => health.failures = health.failures.saturating_add(1),
        }
        if ejected && !probed {
            return false;
        }
        let failed = attempt == Attempt::Failed;
        if ejected {
            return self.end_probe(id, failed, now);
        }
        let failing = health.failures >= self.config.failures;
        if (failing || self.is_slow(id)) && self.may_eject_another() {
            self.eject(id, now);
            return true;
        }
        false
    }

    /// Members that are ejected or being probed.
    pub fn ejected(&self) -> impl Iterator<Item = &MemberId> {
        self.members
            .iter()
            .filter(|(_, health)| health.until.is_some())
            .map(|(id, _)| id)
    }

    fn end_probe(&mut self, id: &MemberId, failed: bool, now: Timestamp) -> bool {
        if failed {
            self.eject(id, now);
            return true;
        }
        if let Some(health) = self.members.get_mut(id) {
            health.until = None;
            health.probed = None;
            health.samples = 0;
        }
        false
    }

    fn eject(&mut self, id: &MemberId, now: Timestamp) {
        let Some(health) = self.members.get_mut(id) else {
            return;
        };
        let factor = 2_u32.saturating_pow(health.ejections);
        let span = self.config.base.0.saturating_mul(factor);
        health.until = Some(now + span.min(self.config.longest.0));
        health.probed = None;
        health.failures = 0;
        health.ejections = health.ejections.saturating_add(1);
    }

    /// Whether one more member may be ejected within the configured share.
    fn may_eject_another(&self) -> bool {
        let share = usize::try_from(self.config.share).unwrap_or(PERCENT);
        let most = self.members.len() * share.min(PERCENT) / PERCENT;
        self.ejected().count() < most
    }

    fn is_slow(&self, id: &MemberId) -> bool {
        let Some(health) = self.members.get(id) else {
            return false;
        };
        if health.samples < self.config.samples {
            return false;
        }
        let mut all: Vec<_> = self
            .members
            .values()
            .filter(|h| h.samples >= self.config.samples && h.until.is_none())
            .map(|h| h.latency)
            .collect();
        if all.len() < MIN_JUDGED_MEMBERS {
            return false;
        }
        all.sort_unstable_by(f64::total_cmp);
        let median = all[(all.len() - 1) / 2];
        health.latency * PERCENT_F64 > median * f64::from(self.config.latency)
    }
}

impl Health {
    fn note_latency(&mut self, latency: Duration) {
        let value = latency.as_secs_f64();
        let fresh = self.samples == 0;
        let step = if fresh { 1.0 } else { LATENCY_WEIGHT };
        self.latency += (value - self.latency) * step;
        self.samples = self.samples.saturating_add(1);
        self.failures = 0;
        // A long series of answers gradually shortens the next ejection.
        let steady =
            self.until.is_none() && self.samples.is_multiple_of(SAMPLES_PER_FORGIVEN_EJECTION);
        if steady {
            self.ejections = self.ejections.saturating_sub(1);
        }
    }
}

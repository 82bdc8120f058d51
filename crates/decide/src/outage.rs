//! Detection of store outages, as opposed to failed calls of individual daemons.
//!
//! A daemon whose calls fail cannot determine whether the store answers other daemons. Daemons
//! therefore exchange the times at which the store answered them, and an outage is a period in
//! which it answered none. Each daemon decides from all reports received so far: an assumed outage
//! is dropped as soon as a peer reports an answer within it.

use std::time::Duration;

use apricothall_types::Timestamp;
use serde::{Deserialize, Serialize};

pub use crate::configs::OutageConfig;

/// Number of retained answer periods: one before and one after the latest outage.
const MAX_PERIODS: usize = 2;

/// Time after which a past outage no longer affects any decision and is dropped.
const RETENTION: Duration = Duration::from_secs(20);

/// A period of answers from the store, as ages in milliseconds, for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredAge {
    /// Age of the first answer.
    pub first: u64,
    /// Age of the last answer.
    pub last: u64,
}

/// A period in which the store answered without a gap that counts as an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerPeriod {
    first: Timestamp,
    last: Timestamp,
}

/// The known periods in which the store answered any daemon, and the outages between them.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    config: OutageConfig,
    /// In chronological order, with an outage between each two.
    periods: Vec<AnswerPeriod>,
}

impl Outages {
    /// Creates a history without any known answer.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            config,
            periods: Vec::new(),
        }
    }

    /// Records that the store answered this daemon.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.add(AnswerPeriod {
            first: now,
            last: now,
        });
    }

    /// Merges answer periods reported by a peer. The report was made between `asked` and `now`, so
    /// each age maps to a range of times; the shortest possible period is used, so that periods do
    /// not grow each time a daemon forwards them.
    pub fn merge_peer_answers(&mut self, ages: &[AnsweredAge], asked: Timestamp, now: Timestamp) {
        for age in ages {
            let first = now - Duration::from_millis(age.first);
            let last = asked - Duration::from_millis(age.last);
            self.add(AnswerPeriod {
                first,
                last: last.max(first),
            });
        }
    }

    /// The known answer periods as ages, for peers.
    #[must_use]
    pub fn answer_ages(&self, now: Timestamp) -> Vec<AnsweredAge> {
        let age = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let ages = self.periods.iter().map(|a| AnsweredAge {
            first: age(a.first),
            last: age(a.last),
        });
        ages.collect()
    }

    /// Length of the latest outage, and the time at which it ended.
    #[must_use]
    pub fn latest(&self) -> Option<(Duration, Timestamp)> {
        let [.., before, after] = self.periods.as_slice() else {
            return None;
        };
        Some((after.first.since(before.last), after.first))
    }

    /// Time left for entries that expired during the latest outage to be written again.
    #[must_use]
    pub fn restore_time_left(&self, now: Timestamp) -> Duration {
        let left = |at| self.config.restore.0.saturating_sub(now.since(at));
        self.latest().map(|(_, at)| left(at)).unwrap_or_default()
    }

    /// Whether entries that expired during an outage may still be written again. This holds during
    /// the restore period, and until the store has answered for one heartbeat interval, in which
    /// every live server writes its entry.
    #[must_use]
    pub fn is_restoring(&self, now: Timestamp) -> bool {
        let Some((_, returned)) = self.latest() else {
            return false;
        };
        let last = self.periods.last().map_or(returned, |a| a.last);
        !self.restore_time_left(now).is_zero() || last.since(returned) < self.config.heartbeat.0
    }

    fn add(&mut self, period: AnswerPeriod) {
        self.periods.push(period);
        self.periods.sort_by_key(|a| a.first);
        let mut merged: Vec<AnswerPeriod> = Vec::new();
        for next in self.periods.drain(..) {
            match merged.last_mut() {
                Some(last) if next.first.since(last.last) < self.config.silence.0 => {
                    last.last = last.last.max(next.last);
                }
                _ => merged.push(next),
            }
        }
        let is_long = |a: &AnswerPeriod| a.last.since(a.first) > RETENTION;
        let kept = if merged.last().is_some_and(is_long) {
            1
        } else {
            MAX_PERIODS
        };
        let older = merged.len().saturating_sub(kept);
        self.periods = merged.split_off(older);
    }
}

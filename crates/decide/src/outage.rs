//! Outages of the store, told apart from calls of single daemons that failed.
//!
//! A daemon that the store does not answer cannot tell whether it answers others. So daemons tell
//! each other when it answered, and an outage is a time in which it answered none of them. Each
//! daemon judges by all that it has heard so far: an outage that it assumed is none any more once a
//! peer tells of an answer in it.

use std::time::Duration;

use apricothall_types::Timestamp;
use serde::{Deserialize, Serialize};

pub use crate::configs::OutageConfig;

/// Times in which the store answered that are kept: before and after the latest outage.
const MAX_PERIODS: usize = 2;

/// Time after an outage from which on it matters to nobody.
const RETENTION: Duration = Duration::from_secs(20);

/// A time in which the store answered again and again, as ages in ms, for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredAge {
    /// Age of the first answer.
    pub first: u64,
    /// Age of the last one.
    pub last: u64,
}

/// A time in which the store answered again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerPeriod {
    first: Timestamp,
    last: Timestamp,
}

/// When the store answered any daemon, as far as is known here.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    config: OutageConfig,
    /// In order. An outage lies between two.
    periods: Vec<AnswerPeriod>,
}

impl Outages {
    /// No answer known.
    #[must_use]
    pub fn new(config: OutageConfig) -> Self {
        Self {
            config,
            periods: Vec::new(),
        }
    }

    /// Notes that the store answered this daemon.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.add(AnswerPeriod {
            first: now,
            last: now,
        });
    }

    /// Takes what a peer knows, who said so at `asked` at the earliest and `now` at the latest. The
    /// time that counts as answered is the shortest that fits, so that it does not grow with each
    /// daemon that passes it on.
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

    /// What is known, for peers.
    #[must_use]
    pub fn answer_ages(&self, now: Timestamp) -> Vec<AnsweredAge> {
        let age = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let ages = self.periods.iter().map(|a| AnsweredAge {
            first: age(a.first),
            last: age(a.last),
        });
        ages.collect()
    }

    /// The latest outage: its length, and when the store returned.
    #[must_use]
    pub fn latest(&self) -> Option<(Duration, Timestamp)> {
        let [.., before, after] = self.periods.as_slice() else {
            return None;
        };
        Some((after.first.since(before.last), after.first))
    }

    /// Time left in which entries that lapsed in an outage come back.
    #[must_use]
    pub fn restore_time_left(&self, now: Timestamp) -> Duration {
        let left = |at| self.config.restore.0.saturating_sub(now.since(at));
        self.latest().map(|(_, at)| left(at)).unwrap_or_default()
    }

    /// Whether entries that lapsed in an outage may still come back: for a while after it, and
    /// until the store has answered again for as long as living servers take to write them.
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

//! How often the requests of each priority rank and client account of one service are served, and
//! what follows for the next ones while capacity is insufficient.
//!
//! An entry counts only its own requests. A returning caller is not counted as a new request, so
//! that a caller gains nothing by repeating a refused one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use apricothall_types::Timestamp;
use smol_str::SmolStr;

use crate::placement::Margin;
use crate::priorities::{MAX_RANKS, Rank};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Time for which requests are counted together.
const INTERVAL: Duration = Duration::from_millis(500);

/// Difference of the shares served at which a lower rank gets nothing, in percentage points.
const MAX_LEAD_PERCENT: f64 = 5.0;

/// Ratio of the shares served below which an account is preferred.
const MIN_ACCOUNT_RATIO: f64 = 0.5;

/// Maximum number of accounts of a service that are counted.
const MAX_ACCOUNTS: usize = 256;

const PERCENT: f64 = 100.0;

/// Requests of one interval.
#[derive(Clone, Copy, Debug)]
struct Interval {
    since: Timestamp,
    received: u32,
    served: u32,
}

/// Requests of the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
struct Recent {
    intervals: VecDeque<Interval>,
}

impl Recent {
    fn record(&mut self, outcome: RequestOutcome, now: Timestamp) {
        while self
            .intervals
            .front()
            .is_some_and(|i| now.since(i.since) >= WINDOW)
        {
            self.intervals.pop_front();
        }
        let is_current = |i: &Interval| now.since(i.since) < INTERVAL;
        if !self.intervals.back().is_some_and(is_current) {
            self.intervals.push_back(Interval {
                since: now,
                received: 0,
                served: 0,
            });
        }
        if let Some(current) = self.intervals.back_mut() {
            current.received += u32::from(!outcome.is_returning);
            current.served += u32::from(outcome.is_served);
        }
    }

    /// Numbers of received and of served requests.
    fn sums(&self, now: Timestamp) -> (f64, f64) {
        let recent = self.intervals.iter();
        let recent = recent.filter(|i| now.since(i.since) < WINDOW);
        let (received, served) = recent.fold((0, 0), |(received, served), i| {
            (received + i.received, served + i.served)
        });
        (f64::from(received), f64::from(served))
    }

    /// Fraction of requests that were served.
    fn share(&self, now: Timestamp) -> f64 {
        let (received, served) = self.sums(now);
        (served / received.max(1.0)).min(1.0)
    }

    /// Fraction that were served if one more was: a single refusal is no evidence of a low share.
    fn upper_share(&self, now: Timestamp) -> f64 {
        let (received, served) = self.sums(now);
        ((served + 1.0) / received.max(1.0)).min(1.0)
    }

    fn is_empty(&self, now: Timestamp) -> bool {
        self.sums(now) == (0.0, 0.0)
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Whether its caller was refused before.
    pub is_returning: bool,
    /// Whether it was answered.
    pub is_served: bool,
}

/// Requests of one service at this entry, by rank and by client account.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    ranks: [Recent; MAX_RANKS],
    of_accounts: Recent,
    accounts: HashMap<SmolStr, Recent>,
}

impl Contention {
    /// Records the result of a request.
    pub fn record(
        &mut self,
        rank: Rank,
        account: Option<&SmolStr>,
        outcome: RequestOutcome,
        now: Timestamp,
    ) {
        self.ranks[rank.index()].record(outcome, now);
        let Some(account) = account else {
            return;
        };
        self.of_accounts.record(outcome, now);
        if !self.accounts.contains_key(account) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                self.accounts.retain(|_, recent| !recent.is_empty(now));
            }
            if self.accounts.len() >= MAX_ACCOUNTS {
                return;
            }
        }
        let recent = self.accounts.entry(account.clone()).or_default();
        recent.record(outcome, now);
    }

    /// Margin of a request of `rank` and `account`.
    #[must_use]
    pub fn margin(&self, rank: Rank, account: Option<&SmolStr>, now: Timestamp) -> Margin {
        if account.is_some_and(|account| self.is_underserved(account, now)) {
            return Margin::Whole;
        }
        if !rank.is_protected() {
            return Margin::Usual;
        }
        let higher = self.ranks[..rank.index()].iter();
        let lowest = higher.map(|r| r.upper_share(now)).fold(1.0, f64::min);
        let lead = (self.ranks[rank.index()].share(now) - lowest) * PERCENT;
        if lead <= 0.0 {
            return Margin::Usual;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to 0 to 100"
        )]
        let percent = ((1.0 - lead / MAX_LEAD_PERCENT).clamp(0.0, 1.0) * PERCENT).round() as u32;
        Margin::Reduced { percent }
    }

    /// Whether `account` is served less than half as often as all, while requests are refused.
    fn is_underserved(&self, account: &SmolStr, now: Timestamp) -> bool {
        let Some(recent) = self.accounts.get(account) else {
            return false;
        };
        let (received, served) = self.of_accounts.sums(now);
        let share = self.of_accounts.share(now);
        served < received && recent.upper_share(now) < share * MIN_ACCOUNT_RATIO
    }
}

//! Limits from the catalogue, and estimation of arrival rates.

use std::time::Duration;

use apricothall_types::{CallerId, CallerLimit, CatalogueEntry, Limits, Timestamp};

use super::Quota;

/// Requested rate in percent of the estimated arrival rate. The margin covers growing demand.
const HEADROOM: u64 = 120;
const PERCENT: u64 = 100;

/// Limits of one catalogue entry.
#[derive(Clone, Debug)]
pub struct Rates {
    limits: Limits,
    callers: Vec<CallerLimit>,
}

impl Rates {
    pub fn of(entry: &CatalogueEntry) -> Self {
        Self {
            limits: entry.limits,
            callers: entry.callers.clone(),
        }
    }

    pub fn total(&self, caller: Option<&CallerId>) -> Quota {
        total(&self.limits, &self.callers, caller)
    }
}

/// Limit across all entry VMs, for one caller or for all callers together.
pub fn total(limits: &Limits, callers: &[CallerLimit], caller: Option<&CallerId>) -> Quota {
    let Some(caller) = caller else {
        return Quota::per_second(limits.rate.get());
    };
    let listed = callers.iter().find(|l| l.caller == *caller);
    let rate = listed.map_or(limits.caller, |l| l.rate);
    Quota::per_second(rate.get())
}

/// Arrival rate estimate with an exponentially decaying window.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub rate: f64,
    pub last: Timestamp,
}

impl Arrivals {
    pub fn record(&mut self, window: Duration, count: f64, now: Timestamp) {
        let window = window.as_secs_f64().max(f64::MIN_POSITIVE);
        let span = now.since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.rate = self.rate * (-span / window).exp() + count / window;
    }
}

/// Rate to request for an estimated arrival rate of `rate` requests per second.
pub fn demand_for(rate: f64) -> Quota {
    let millis = Duration::try_from_secs_f64(rate.max(0.0)).unwrap_or(Duration::MAX);
    let millis = u64::try_from(millis.as_millis()).unwrap_or(u64::MAX);
    Quota(millis.saturating_mul(HEADROOM) / PERCENT)
}

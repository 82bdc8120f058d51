//! Rate limiting of requests at one entry VM.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{CallerId, CatalogueEntry, Class, EntryName, Incarnation};
use apricothall_types::{MemberId, Timestamp};

use super::ledger::Ledger;
use super::rates::{Arrivals, Rates, demand_for, total};
use super::record::{Demand, DemandRecord};
use super::{FairBucket, MILLI, Quota, Reason, Refusal, Subject, TokenBucket};
use crate::configs::LimitsConfig;

/// Maximum number of subjects with state at one entry.
const MAX_SUBJECTS: usize = 4_096;

/// A request to check against the limits.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Requested catalogue entry.
    pub entry: &'a CatalogueEntry,
    /// Caller of the request.
    pub caller: &'a CallerId,
    /// Effective class from [`super::class_of`].
    pub class: Class,
}

/// Time for which a bucket accumulates its rate in addition to its part of the burst.
const EXTRA_BURST_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum Bucket {
    Entry(FairBucket),
    Caller(TokenBucket),
}

/// State of one subject at this entry.
#[derive(Clone, Debug)]
struct State {
    bucket: Bucket,
    arrivals: Arrivals,
    total: Quota,
    burst: u64,
    refilled_at: Timestamp,
}

/// Limits of all catalogue entries and callers at one entry VM.
#[derive(Clone, Debug)]
pub struct Limiter {
    config: LimitsConfig,
    ledger: Ledger,
    states: BTreeMap<Subject, State>,
    rates: BTreeMap<EntryName, Rates>,
}

impl Limiter {
    /// Creates a limiter that owns no share until the other entries count it.
    #[must_use]
    pub fn new(
        config: LimitsConfig,
        member: MemberId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Self {
        let ledger = Ledger::new(config.clone(), member, incarnation, now);
        Self {
            config,
            ledger,
            states: BTreeMap::new(),
            rates: BTreeMap::new(),
        }
    }

    /// Ledger of shares and loans.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// See [`Ledger::set_entries`].
    pub fn set_entries(&mut self, entries: impl IntoIterator<Item = MemberId>, now: Timestamp) {
        self.refill_all(now);
        self.ledger.set_entries(entries, now);
    }

    /// Replaces the limits with those of the current catalogue.
    pub fn set_catalogue<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a CatalogueEntry>,
        now: Timestamp,
    ) {
        self.refill_all(now);
        self.rates = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), Rates::of(entry)))
            .collect();
        let rates = &self.rates;
        self.states.retain(|subject, state| {
            let Some(known) = rates.get(&subject.name) else {
                return false;
            };
            state.total = known.total(subject.caller.as_ref());
            true
        });
    }

    /// See [`Ledger::merge`].
    pub fn merge(&mut self, record: DemandRecord, now: Timestamp) -> bool {
        self.refill_all(now);
        self.ledger.merge(record, now)
    }

    /// Creates the record for the next gossip round.
    pub fn publish(&mut self, now: Timestamp) -> DemandRecord {
        self.refill_all(now);
        self.ledger.tick(now);
        let demands = self.demands(now);
        let states = &self.states;
        let rates = &self.rates;
        let total = |subject: &Subject| {
            let known = rates.get(&subject.name);
            known.map(|rates| rates.total(subject.caller.as_ref()))
        };
        let own = |subject: &Subject| {
            let state = states.get(subject);
            state.map_or(Quota::default(), |state| demand_for(state.arrivals.rate))
        };
        let record = self.ledger.publish(demands, total, own, now);
        for (subject, state) in &mut self.states {
            state.refill(subject, &self.ledger, now);
        }
        record
    }

    /// Checks a request against the limits. Critical requests are always granted; the tokens that
    /// they use are deducted from other requests.
    ///
    /// # Errors
    /// Returns the refusal, with the time after which a retry may succeed.
    pub fn check(&mut self, call: Call<'_>, now: Timestamp) -> Result<(), Refusal> {
        let all_callers = Subject {
            name: call.entry.name.clone(),
            caller: None,
        };
        let one_caller = Subject {
            name: call.entry.name.clone(),
            caller: Some(call.caller.clone()),
        };
        self.record_arrival(&all_callers, call, now);
        self.record_arrival(&one_caller, call, now);
        if call.class == Class::Critical {
            self.force(&all_callers);
            return Ok(());
        }
        let rate = self.rate(&one_caller, now);
        let refused = self
            .states
            .get(&one_caller)
            .and_then(State::exhausted_bucket);
        if let Some(bucket) = refused {
            return Err(Refusal::new(Reason::CallerLimit, bucket.wait(rate)));
        }
        let rate = self.rate(&all_callers, now);
        if let Some(state) = self.states.get_mut(&all_callers)
            && let Bucket::Entry(bucket) = &mut state.bucket
            && !bucket.take(call.caller, now)
        {
            let wait = bucket.wait(call.caller, rate);
            return Err(Refusal::new(Reason::EntryLimit, wait));
        }
        if let Some(state) = self.states.get_mut(&one_caller)
            && let Bucket::Caller(bucket) = &mut state.bucket
        {
            bucket.take();
        }
        Ok(())
    }

    fn rate(&self, subject: &Subject, now: Timestamp) -> Quota {
        let total = self.states.get(subject).map_or(Quota(0), |s| s.total);
        self.ledger.share(subject, total, now, now)
    }

    fn force(&mut self, subject: &Subject) {
        let Some(state) = self.states.get_mut(subject) else {
            return;
        };
        if let Bucket::Entry(bucket) = &mut state.bucket {
            bucket.force(state.burst.max(MILLI));
        }
    }

    /// Refills the bucket of `subject` and records the arrival.
    fn record_arrival(&mut self, subject: &Subject, call: Call<'_>, now: Timestamp) {
        self.evict_idle_subject(subject);
        let limits = &call.entry.limits;
        let total = total(limits, &call.entry.callers, subject.caller.as_ref());
        let total_rate = Quota::per_second(limits.rate.get());
        let burst = Quota::per_second(limits.burst.get()).0;
        let part = u128::from(burst) * u128::from(total.0) / u128::from(total_rate.0.max(1));
        let part = u64::try_from(part).unwrap_or(burst).min(burst);
        let burst = part / u64::from(self.ledger.entry_count());
        let max_callers = self.config.callers;
        let start = if self.ledger.is_owner(now) {
            burst.max(MILLI)
        } else {
            0
        };
        let state = self.states.entry(subject.clone()).or_insert_with(|| State {
            bucket: match subject.caller {
                None => Bucket::Entry(FairBucket::new(start, max_callers, now)),
                Some(_) => Bucket::Caller(TokenBucket::new(start, now)),
            },
            arrivals: Arrivals {
                rate: 0.0,
                last: now,
            },
            total,
            burst,
            refilled_at: now,
        });
        state.burst = burst;
        state.refill(subject, &self.ledger, now);
        state.total = total;
        state.arrivals.record(self.config.window.0, 1.0, now);
    }

    /// Evicts the caller that has been idle the longest if the table is full.
    fn evict_idle_subject(&mut self, subject: &Subject) {
        if self.states.len() < MAX_SUBJECTS || self.states.contains_key(subject) {
            return;
        }
        let oldest = self
            .states
            .iter()
            .filter(|(subject, _)| subject.caller.is_some())
            .min_by_key(|(_, state)| state.arrivals.last)
            .map(|(subject, _)| subject.clone());
        if let Some(subject) = oldest {
            self.states.remove(&subject);
        }
    }

    fn refill_all(&mut self, now: Timestamp) {
        for (subject, state) in &mut self.states {
            state.refill(subject, &self.ledger, now);
        }
    }

    /// Demands that exceed the own share, the largest shortage first.
    fn demands(&mut self, now: Timestamp) -> Vec<Demand> {
        let window = self.config.window.0;
        let mut demands = Vec::new();
        for (subject, state) in &mut self.states {
            state.arrivals.record(window, 0.0, now);
            let rate = demand_for(state.arrivals.rate);
            let base = self.ledger.own_share(state.total, now);
            let kept = base.saturating_sub(self.ledger.lent(subject, now));
            let want = rate.saturating_sub(kept);
            if want.0 == 0 {
                continue;
            }
            demands.push(Demand {
                subject: subject.clone(),
                rate,
                want,
            });
        }
        demands.sort_unstable_by(|a, b| (b.want, &a.subject).cmp(&(a.want, &b.subject)));
        demands
    }
}

impl State {
    fn refill(&mut self, subject: &Subject, ledger: &Ledger, now: Timestamp) {
        let rate = ledger.share(subject, self.total, self.refilled_at, now);
        self.refilled_at = self.refilled_at.max(now);
        let burst = self.burst.saturating_add(rate.over(EXTRA_BURST_TIME));
        match &mut self.bucket {
            Bucket::Entry(bucket) => bucket.refill(rate, burst, now),
            Bucket::Caller(bucket) => {
                bucket.refill(rate, burst, now);
            }
        }
    }

    /// Returns the bucket of a caller if it has no tokens for a request.
    fn exhausted_bucket(&self) -> Option<&TokenBucket> {
        match &self.bucket {
            Bucket::Caller(bucket) if !bucket.has_one() => Some(bucket),
            Bucket::Caller(_) | Bucket::Entry(_) => None,
        }
    }
}

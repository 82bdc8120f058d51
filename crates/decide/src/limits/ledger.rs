//! Shares of a limit that this entry owns, has lent and has borrowed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use apricothall_types::{Incarnation, MemberId, Sequence, Timestamp};

use super::record::{Demand, DemandRecord, Loan};
use super::{Quota, Subject};
use crate::configs::LimitsConfig;
use crate::rank;

/// Number of own records whose publication times are kept, to compute the expiry of the loans that
/// answer them.
const MAX_PUBLISHED: usize = 64;
/// Hash subject of the weights that form the digest of the set of entries.
const ENTRY_SET_SUBJECT: &[u8] = b"entries";
const PERCENT: u64 = 100;

/// A share lent to a borrower, which this entry does not use until `until`.
#[derive(Clone, Copy, Debug)]
struct LentShare {
    rate: Quota,
    until: Timestamp,
}

/// Own shares and loans in both directions, for all subjects.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: LimitsConfig,
    member: MemberId,
    incarnation: Incarnation,
    sequence: Sequence,
    published: VecDeque<(Sequence, Timestamp)>,
    entries: BTreeSet<MemberId>,
    peers: BTreeMap<MemberId, (DemandRecord, Timestamp)>,
    lent_shares: BTreeMap<Subject, BTreeMap<MemberId, Vec<LentShare>>>,
    started: Timestamp,
    /// Whether a list of the entries has been received.
    has_list: bool,
    owner_from: Option<Timestamp>,
}

impl Ledger {
    /// Creates the ledger of entry `member`, which owns no share until the other entries count it.
    #[must_use]
    pub fn new(
        config: LimitsConfig,
        member: MemberId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Self {
        let entries = BTreeSet::from([member.clone()]);
        Self {
            config,
            member,
            incarnation,
            sequence: Sequence::default(),
            published: VecDeque::new(),
            entries,
            peers: BTreeMap::new(),
            lent_shares: BTreeMap::new(),
            started: now,
            has_list: false,
            owner_from: None,
        }
    }

    /// Sets the entries among which limits are divided: all that are listed or known from gossip
    /// and have not announced their departure. An entry that is only silent still counts.
    pub fn set_entries(&mut self, entries: impl IntoIterator<Item = MemberId>, now: Timestamp) {
        self.entries = entries.into_iter().collect();
        self.entries.insert(self.member.clone());
        self.has_list = true;
        let known = &self.entries;
        self.peers.retain(|id, _| known.contains(id));
        self.update_ownership(now);
    }

    /// Applies a record of another entry. Returns false if it is not newer than the known one.
    pub fn merge(&mut self, record: DemandRecord, now: Timestamp) -> bool {
        if record.member == self.member || !self.entries.contains(&record.member) {
            return false;
        }
        let known = self.peers.get(&record.member);
        if known.is_some_and(|(old, _)| !record.supersedes(old)) {
            return false;
        }
        self.peers.insert(record.member.clone(), (record, now));
        self.update_ownership(now);
        true
    }

    /// Number of entries among which limits are divided.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Whether this entry already owns its share.
    #[must_use]
    pub fn is_owner(&self, now: Timestamp) -> bool {
        self.owner_from.is_some_and(|at| now >= at)
    }

    /// Share of `total` that this entry owns.
    #[must_use]
    pub fn own_share(&self, total: Quota, now: Timestamp) -> Quota {
        if !self.is_owner(now) {
            return Quota::default();
        }
        Quota(total.0 / u64::from(self.entry_count()))
    }

    /// Rate that this entry may grant from `from` to `now`, as a lower bound over that time: shares
    /// lent at its start count as lent for all of it, and borrowed shares count only if they are
    /// still valid at its end.
    #[must_use]
    pub fn share(&self, subject: &Subject, total: Quota, from: Timestamp, now: Timestamp) -> Quota {
        let own = self.own_share(total, from);
        let kept = own.saturating_sub(self.lent(subject, from));
        let borrowed = self.borrowed(subject, now);
        Quota(kept.0.saturating_add(borrowed.0).min(total.0))
    }

    /// Rate of `subject` that is lent to other entries.
    #[must_use]
    pub fn lent(&self, subject: &Subject, now: Timestamp) -> Quota {
        let Some(lent_shares) = self.lent_shares.get(subject) else {
            return Quota::default();
        };
        Quota(lent_shares.values().map(|list| lent_to(list, now)).sum())
    }

    /// Rate of `subject` that is borrowed from other entries.
    #[must_use]
    pub fn borrowed(&self, subject: &Subject, now: Timestamp) -> Quota {
        let rates = self
            .peers
            .values()
            .flat_map(|(record, _)| &record.loans)
            .filter(|loan| loan.subject == *subject && self.is_loan_valid(loan, now))
            .map(|loan| loan.rate.0);
        Quota(rates.fold(0, u64::saturating_add))
    }

    /// Creates the next record. `demands` holds the demands of this entry, the one with the largest
    /// `want` first. `total` returns the limit of a subject, and `own` the rate that this entry
    /// needs itself.
    pub fn publish(
        &mut self,
        mut demands: Vec<Demand>,
        total: impl Fn(&Subject) -> Option<Quota>,
        own: impl Fn(&Subject) -> Quota,
        now: Timestamp,
    ) -> DemandRecord {
        demands.truncate(self.config.demands);
        let loans = self.lend(total, own, now);
        self.sequence = self.sequence.next();
        self.published.push_back((self.sequence, now));
        if self.published.len() > MAX_PUBLISHED {
            self.published.pop_front();
        }
        DemandRecord {
            member: self.member.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            view: self.entry_set_digest(),
            demands,
            loans,
        }
    }

    /// Lends unused shares, divided max-min fairly among the entries that request them.
    fn lend(
        &mut self,
        total: impl Fn(&Subject) -> Option<Quota>,
        own: impl Fn(&Subject) -> Quota,
        now: Timestamp,
    ) -> Vec<Loan> {
        self.expire(now);
        let mut loans = Vec::new();
        for (subject, wants) in self.wants(now) {
            let Some(limit) = total(&subject) else {
                continue;
            };
            let base = self.own_share(limit, now);
            let reserve = Quota(base.0 * u64::from(self.config.reserve) / PERCENT);
            let kept = own(&subject).max(reserve);
            let free = base.saturating_sub(kept);
            let given = self.split_free(&subject, wants, free, base, now);
            loans.extend(given);
            if loans.len() >= self.config.loans {
                break;
            }
        }
        loans
    }

    /// Divides `free` among the borrowers and records each lent share. Shares lent earlier count
    /// against `base`, so that the sum of all lent shares never exceeds it.
    fn split_free(
        &mut self,
        subject: &Subject,
        mut wants: Vec<(Quota, MemberId, Incarnation, Sequence)>,
        free: Quota,
        base: Quota,
        now: Timestamp,
    ) -> Vec<Loan> {
        wants.sort_unstable();
        let until = now + self.config.term.0;
        let mut rest = free.0;
        let mut left = u64::try_from(wants.len()).unwrap_or(u64::MAX);
        let mut loans = Vec::new();
        for (want, to, incarnation, answers) in wants {
            let even = rest / left.max(1);
            left = left.saturating_sub(1);
            let others = self.lent_to_others(subject, &to, now);
            let room = base.saturating_sub(others);
            let rate = Quota(want.0.min(even).min(room.0));
            if rate.0 == 0 {
                continue;
            }
            rest -= rate.0;
            let lent_shares = self.lent_shares.entry(subject.clone()).or_default();
            lent_shares
                .entry(to.clone())
                .or_default()
                .push(LentShare { rate, until });
            loans.push(Loan {
                subject: subject.clone(),
                to,
                incarnation,
                answers,
                rate,
            });
        }
        loans
    }

    fn lent_to_others(&self, subject: &Subject, to: &MemberId, now: Timestamp) -> Quota {
        let Some(lent_shares) = self.lent_shares.get(subject) else {
            return Quota::default();
        };
        let others = lent_shares.iter().filter(|(id, _)| *id != to);
        Quota(others.map(|(_, list)| lent_to(list, now)).sum())
    }

    /// Requested rates, by subject, of the peers whose last record arrived within a term.
    fn wants(
        &self,
        now: Timestamp,
    ) -> BTreeMap<Subject, Vec<(Quota, MemberId, Incarnation, Sequence)>> {
        let mut wants: BTreeMap<Subject, Vec<_>> = BTreeMap::new();
        for (record, received) in self.peers.values() {
            if now.since(*received) >= self.config.term.0 {
                continue;
            }
            for demand in record.demands.iter().take(self.config.demands) {
                if demand.want.0 == 0 {
                    continue;
                }
                let id = record.member.clone();
                let request = (demand.want, id, record.incarnation, record.sequence);
                wants
                    .entry(demand.subject.clone())
                    .or_default()
                    .push(request);
            }
        }
        wants
    }

    fn is_loan_valid(&self, loan: &Loan, now: Timestamp) -> bool {
        if loan.to != self.member || loan.incarnation != self.incarnation {
            return false;
        }
        let published = self.published.iter().find(|(seq, _)| *seq == loan.answers);
        published.is_some_and(|(_, at)| now.since(*at) < self.config.term.0)
    }

    fn expire(&mut self, now: Timestamp) {
        self.lent_shares.retain(|_, lent_shares| {
            lent_shares.retain(|_, list| {
                list.retain(|lent| now < lent.until);
                !list.is_empty()
            });
            !lent_shares.is_empty()
        });
    }

    /// Digest of the set of entries. Equal sets have equal digests.
    fn entry_set_digest(&self) -> u64 {
        let weights = self
            .entries
            .iter()
            .map(|id| rank::weight(ENTRY_SET_SUBJECT, id));
        weights.fold(0, u64::wrapping_add)
    }

    /// Sets the time from which this entry owns its share: one term after all other entries divide
    /// by the same set, so that earlier loans have expired, or after the maximum join time.
    fn update_ownership(&mut self, now: Timestamp) {
        if self.owner_from.is_some() || !self.has_list {
            return;
        }
        let view = self.entry_set_digest();
        let agreed = self
            .entries
            .iter()
            .filter(|id| **id != self.member)
            .map(|id| self.peers.get(id))
            .all(|peer| peer.is_some_and(|(record, _)| record.view == view));
        if agreed {
            self.owner_from = Some(now + self.config.term.0);
            return;
        }
        let max_wait = self.config.join.0.max(self.config.term.0);
        if now >= self.started + max_wait {
            self.owner_from = Some(now);
        }
    }

    /// Advances the time. Must be called with each published record.
    pub fn tick(&mut self, now: Timestamp) {
        self.update_ownership(now);
    }
}

/// Largest unexpired share lent to one borrower. A borrower uses only one loan of a lender at a
/// time.
fn lent_to(list: &[LentShare], now: Timestamp) -> u64 {
    let live = list.iter().filter(|lent| now < lent.until);
    live.map(|lent| lent.rate.0).max().unwrap_or(0)
}

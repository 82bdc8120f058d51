//! Building messages within their size budget.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use apricothall_types::MemberId;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Membership;
use super::buckets::{self, BUCKETS, SUM_BYTES, WINDOW};
use super::message::{self, Change, GossipMessage, Window};

/// Share of the listed VMs, in tenths, below which the view counts as far behind.
const BEHIND_TENTHS: usize = 9;
/// Number of periods after startup during which the view counts as far behind.
const JOIN_PERIODS: u64 = 5;

/// Remaining space in a message, in bytes.
struct Budget(usize);

impl Budget {
    fn take(&mut self, size: usize) -> bool {
        let fits = size <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}

impl Membership {
    /// Builds a message to `target` without updates.
    pub(super) fn base_message(&self, target: Option<&MemberId>) -> GossipMessage {
        let peer = target.and_then(|id| self.peers.get(id));
        let sign = target
            .filter(|id| self.listed_leaving.contains(*id))
            .map(|_| self.list_revision);
        let mut message = GossipMessage {
            own: self.own.clone(),
            heads: self.heads.clone(),
            sign,
            records: Vec::new(),
            changes: Vec::new(),
            verdicts: peer
                .and_then(super::peer::Peer::verdict)
                .into_iter()
                .collect(),
            ask: None,
            vouches: Vec::new(),
            window: None,
            extras: Vec::new(),
        };
        let mut space = Budget(usize::try_from(self.config.extras.0).unwrap_or(usize::MAX));
        for extra in &self.extras {
            if space.take(message::extra_size(extra)) {
                message.extras.push(extra.clone());
            }
        }
        message
    }

    /// Returns the part of the digest for the next request and advances to the following part.
    pub(super) fn window(&mut self) -> Window {
        let bulk = self.is_behind();
        let totals = self.totals();
        let count = if bulk { BUCKETS } else { WINDOW };
        let start = if bulk { 0 } else { self.cursor };
        self.cursor = (self.cursor + WINDOW) % BUCKETS;
        let range = usize::from(start)..usize::from(start + count);
        let mut sums = Vec::with_capacity(usize::from(count) * SUM_BYTES);
        for total in &totals[range] {
            sums.extend_from_slice(&total.to_le_bytes());
        }
        Window { start, sums, bulk }
    }

    pub(super) fn is_behind(&self) -> bool {
        let live = self.peers.values().filter(|p| !p.is_gone()).count() + 1;
        self.ticks <= JOIN_PERIODS || live * 10 < self.candidates.len() * BEHIND_TENTHS
    }

    fn totals(&self) -> Vec<u32> {
        let own = (buckets::index(&self.own.id), buckets::sum(&self.own));
        let live = self.peers.values().filter(|p| !p.is_gone());
        buckets::sums(live.map(|p| (p.bucket, p.sum)).chain([own]))
    }

    /// Adds the records that differ from `window`, then queued updates, within the budget.
    pub(super) fn fill_to_budget(
        &mut self,
        message: &mut GossipMessage,
        window: Option<&Window>,
        rng: &mut impl Rng,
    ) {
        let bulk = window.is_some_and(|w| w.bulk);
        let normal = self.config.message.0;
        let limit = if bulk { self.config.bulk.0 } else { normal };
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let used = message::size_bound(message);
        let free = limit.saturating_sub(used);
        // Half of an ordinary message is reserved for updates.
        let mut repair = Budget(if bulk { free } else { free / 2 });
        let mut included: BTreeSet<MemberId> = BTreeSet::new();
        if let Some(window) = window {
            let before = repair.0;
            self.add_differing(message, window, &mut repair, &mut included, rng);
            let spent = before - repair.0;
            self.add_updates(message, &mut Budget(free - spent), &included);
            return;
        }
        self.add_updates(message, &mut Budget(free), &included);
    }

    fn add_differing(
        &self,
        message: &mut GossipMessage,
        window: &Window,
        budget: &mut Budget,
        included: &mut BTreeSet<MemberId>,
        rng: &mut impl Rng,
    ) {
        let buckets = buckets::differing(&self.totals(), window.start, &window.sums);
        let buckets: BTreeSet<u16> = buckets.into_iter().collect();
        let peers = self.peers.values();
        let mut ids: Vec<_> = peers
            .filter(|peer| buckets.contains(&peer.bucket))
            .map(|peer| (Reverse(peer.changed), peer.whole, &peer.member.id))
            .collect();
        // The most recent changes are the most likely to be missing. The rest is drawn at random,
        // so that every record is sent eventually.
        ids.sort_unstable();
        let mut recent = Budget(budget.0 / 2);
        let mut first = 0;
        for (_, whole, id) in &ids {
            if !self.add_one(message, id, *whole, &mut recent) {
                break;
            }
            first += 1;
            included.insert((*id).clone());
        }
        budget.0 = budget.0 - budget.0 / 2 + recent.0;
        let mut rest = ids.split_off(first);
        rest.shuffle(rng);
        for (_, _, id) in rest {
            if !self.add_one(message, id, true, budget) {
                return;
            }
            included.insert(id.clone());
        }
    }

    fn add_updates(
        &mut self,
        message: &mut GossipMessage,
        budget: &mut Budget,
        included: &BTreeSet<MemberId>,
    ) {
        let limit = self.retransmit_limit();
        let count = budget.0 / message::MIN_BYTES;
        for (id, whole) in self.queue.candidates(count) {
            if included.contains(&id) || !self.add_one(message, &id, whole, budget) {
                continue;
            }
            self.queue.record_send(&id, limit);
        }
    }

    /// Adds the verdict on `id` if there is one, else its full record (`whole`) or changing fields.
    /// Returns false when the item does not fit.
    fn add_one(
        &self,
        message: &mut GossipMessage,
        id: &MemberId,
        whole: bool,
        budget: &mut Budget,
    ) -> bool {
        let Some(peer) = self.peers.get(id) else {
            return true;
        };
        let Some(verdict) = peer.verdict() else {
            if !whole {
                let change = Change::of(&peer.member);
                let fits = budget.take(message::change_size(&change));
                message.changes.extend(fits.then_some(change));
                return fits;
            }
            if !budget.take(message::member_size(&peer.member)) {
                return false;
            }
            message.records.push(peer.member.clone());
            return true;
        };
        if !budget.take(message::verdict_size(id)) {
            return false;
        }
        message.verdicts.push(verdict);
        true
    }

    /// Number of messages that carry one update: about the natural logarithm of the view's size,
    /// plus two.
    pub(super) fn retransmit_limit(&self) -> u32 {
        super::log2(self.peers.len() + 1) * 7 / 10 + 2
    }
}

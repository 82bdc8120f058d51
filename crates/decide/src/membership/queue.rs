//! Updates that are still to be propagated.

use std::collections::BTreeMap;

use apricothall_types::MemberId;

#[derive(Clone, Copy, Debug)]
struct Item {
    sent: u32,
    order: u64,
    whole: bool,
}

/// Members whose newest record or verdict is being propagated, each in a bounded number of
/// messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<MemberId, Item>,
    order: u64,
}

impl Queue {
    /// Queues an update of `id`, whose record or verdict changed, and restarts its count. `whole`
    /// requests the full record; it also applies to later changes while this one is queued.
    pub fn push(&mut self, id: MemberId, whole: bool) {
        self.order += 1;
        let order = self.order;
        let whole = whole || self.items.get(&id).is_some_and(|i| i.whole);
        let item = Item {
            sent: 0,
            order,
            whole,
        };
        self.items.insert(id, item);
    }

    pub fn remove(&mut self, id: &MemberId) {
        self.items.remove(id);
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns at most `count` ids to propagate, each with whether the full record is needed. The
    /// least often sent come first, then the newest.
    pub fn candidates(&self, count: usize) -> Vec<(MemberId, bool)> {
        let mut ids: Vec<_> = self
            .items
            .iter()
            .map(|(id, item)| (item.sent, u64::MAX - item.order, id, item.whole))
            .collect();
        if count < ids.len() {
            ids.select_nth_unstable(count);
            ids.truncate(count);
        }
        ids.sort_unstable();
        ids.into_iter()
            .map(|(_, _, id, whole)| (id.clone(), whole))
            .collect()
    }

    /// Counts one more message that carried `id`, sent or received, and removes it from the queue
    /// at `limit`.
    pub fn record_send(&mut self, id: &MemberId, limit: u32) {
        let Some(item) = self.items.get_mut(id) else {
            return;
        };
        item.sent += 1;
        if item.sent >= limit {
            self.items.remove(id);
        }
    }
}

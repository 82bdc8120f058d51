//! Changes that still have to be passed on.

use std::collections::BTreeMap;

use apricothall_types::MemberId;

#[derive(Clone, Copy, Debug)]
struct Item {
    sent: u32,
    order: u64,
    whole: bool,
}

/// Members whose newest record or verdict is passed on, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<MemberId, Item>,
    order: u64,
}

impl Queue {
    /// Starts over for `id`, whose record or verdict changed. `whole` asks for the whole record,
    /// also of later changes while this one is still passed on.
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

    /// At most `count` ids to pass on, and whether whole: least sent first, then newest first.
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

    /// Counts one more message that carried `id`, either way; drops it at `limit`.
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

//! Memory for bodies of requests and answers, which all in progress share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use apricothall_decide::body_budget::BodyMemory;
use bytes::Bytes;
use thiserror::Error;

/// Share of the VM's memory for bodies, in percent. The rest holds connections and the state.
const BODY_PERCENT: u64 = 40;

/// There is no memory for a body of this size now.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no memory is left for a body of this size")]
pub struct BudgetExceeded;

/// Memory for bodies. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    capacity: usize,
    used: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// A budget for a VM with `memory` bytes.
    #[must_use]
    pub fn for_memory(memory: apricothall_types::Bytes) -> Self {
        let capacity = memory.0 / 100 * BODY_PERCENT;
        Self {
            capacity: usize::try_from(capacity).unwrap_or(usize::MAX),
            used: Arc::default(),
        }
    }

    /// Memory that bodies take now, in bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves `more` bytes for a body that takes `held`.
    ///
    /// # Errors
    /// If too little is left for others.
    pub fn reserve(&self, held: usize, more: usize) -> Result<Reservation, BudgetExceeded> {
        let memory = BodyMemory {
            capacity: self.capacity,
            used: self.used(),
        };
        if !memory.may_grow(held, more) {
            metrics::counter!("apricothall_bodies_over_budget_total").increment(1);
            return Err(BudgetExceeded);
        }
        self.used.fetch_add(more, Ordering::Relaxed);
        Ok(Reservation {
            bytes: more,
            used: self.used.clone(),
        })
    }
}

/// Reserved memory; it is released when dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Reservation {
    /// Keeps the memory reserved as long as any clone of `bytes` exists.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

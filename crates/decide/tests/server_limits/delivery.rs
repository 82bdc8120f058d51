//! What reaches an entry of the model at some time.

use std::cmp::{Ordering, Reverse};

use apricothall_decide::server_limits::LimitRecord;
use apricothall_types::{Quota, Timestamp};

/// What an entry is told at some time.
pub enum Delivery {
    /// A message of another entry.
    Gossip {
        to: usize,
        records: Vec<LimitRecord>,
    },
    /// An answer of a server to the process `life` of an entry.
    Answer {
        to: usize,
        life: u32,
        server: usize,
        sent: Timestamp,
        named: Option<Quota>,
    },
    /// That another entry serves or not.
    View {
        to: usize,
        about: usize,
        serving: bool,
    },
}

/// A delivery with its time; earlier ones are greater, as a heap gives the greatest first.
pub struct Pending {
    /// Time of the delivery.
    pub at: Timestamp,
    /// Tells deliveries of the same time apart.
    pub number: u64,
    /// What is delivered.
    pub delivery: Delivery,
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> Ordering {
        Reverse((self.at, self.number)).cmp(&Reverse((other.at, other.number)))
    }
}

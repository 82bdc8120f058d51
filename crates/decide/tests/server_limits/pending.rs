//! Deliveries in order of their time.

use std::cmp::{Ordering, Reverse};

use apricothall_types::Timestamp;

/// A delivery with its time; earlier ones are greater, as a heap gives the greatest first.
pub struct Pending<T> {
    /// Time of the delivery.
    pub at: Timestamp,
    /// Tells deliveries of the same time apart.
    pub number: u64,
    /// What is delivered.
    pub delivery: T,
}

impl<T> PartialEq for Pending<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Pending<T> {}

impl<T> PartialOrd for Pending<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Pending<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        Reverse((self.at, self.number)).cmp(&Reverse((other.at, other.number)))
    }
}

//! Divides the memory for bodies of requests and answers among those in progress.
//!
//! A body may grow as long as it is not larger than what is left for all. So one body may take half
//! of the memory, many large ones get equal parts, and a part as large is always left for others.

/// Size up to which a body is always accepted, in bytes.
pub const ALLOWANCE: usize = 16 << 10;

/// Memory for bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyMemory {
    /// Memory for all bodies together.
    pub capacity: usize,
    /// Memory that bodies take now.
    pub used: usize,
}

impl BodyMemory {
    /// Whether a body that takes `held` may take `more`.
    #[must_use]
    pub const fn may_grow(self, held: usize, more: usize) -> bool {
        let size = held.saturating_add(more);
        let left = self.capacity.saturating_sub(self.used);
        size <= ALLOWANCE || size <= left
    }
}

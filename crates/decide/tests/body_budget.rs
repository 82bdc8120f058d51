//! Tests how the memory for bodies is divided among large and small ones.

use apricothall_decide::body_budget::{ALLOWANCE, BodyMemory};
use proptest::prelude::*;

const CAPACITY: usize = 64 << 20;
const STEP: usize = 64 << 10;

/// Lets `count` bodies grow in turn until none may. Returns their sizes.
fn grow(count: usize) -> Vec<usize> {
    let mut sizes = vec![0; count];
    loop {
        let before: usize = sizes.iter().sum();
        for at in 0..count {
            let used = sizes.iter().sum();
            let memory = BodyMemory {
                capacity: CAPACITY,
                used,
            };
            sizes[at] += if memory.may_grow(sizes[at], STEP) {
                STEP
            } else {
                0
            };
        }
        if sizes.iter().sum::<usize>() == before {
            return sizes;
        }
    }
}

macro_rules! bodies {
    ($($case:ident: $count:literal => $part:expr;)*) => {
        $(#[test] fn $case() {
            let sizes = grow($count);
            let left = CAPACITY - sizes.iter().sum::<usize>();
            for size in &sizes {
                assert!(size.abs_diff($part) <= 2 * STEP, "{size} of {}", $part);
            }
            assert!(left + 2 * STEP >= $part, "{left} left for others");
        })*
    };
}

bodies! {
    one_body_takes_half: 1 => CAPACITY / 2;
    sixteen_bodies_leave_as_much_for_others: 16 => CAPACITY / 17;
    two_hundred_bodies: 200 => CAPACITY / 201;
}

#[test]
fn a_small_body_is_always_accepted() {
    let full = BodyMemory {
        capacity: CAPACITY,
        used: CAPACITY,
    };
    assert!(full.may_grow(0, ALLOWANCE));
    assert!(!full.may_grow(ALLOWANCE, 1));
}

proptest! {
    #[test]
    fn the_memory_is_exceeded_by_small_bodies_only(used: usize, held: usize, more: usize) {
        let memory = BodyMemory { capacity: CAPACITY, used };
        if memory.may_grow(held, more) && held.saturating_add(more) > ALLOWANCE {
            prop_assert!(used.saturating_add(more) <= CAPACITY);
        }
    }
}

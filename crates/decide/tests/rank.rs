//! Rendezvous hashing: independence of the input order and stability under removal.

use apricothall_decide::rank::order;
use apricothall_types::MemberId;

fn ids(count: usize) -> Vec<MemberId> {
    (0..count)
        .map(|i| format!("vm-{i}").parse().expect("valid id"))
        .collect()
}

#[test]
fn order_is_independent_of_input_order() {
    let members = ids(20);
    let reversed: Vec<_> = members.iter().rev().collect();
    assert_eq!(order(b"chunk 7", &members), order(b"chunk 7", reversed));
}

#[test]
fn removal_keeps_the_order_of_the_rest() {
    let members = ids(20);
    let full = order(b"chunk 7", &members);
    let without: Vec<_> = full.iter().copied().filter(|id| *id != full[0]).collect();
    assert_eq!(order(b"chunk 7", without.clone()), without);
}

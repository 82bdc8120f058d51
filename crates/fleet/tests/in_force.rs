//! A subscriber is notified of the value in force, no matter when it subscribes.

use apricothall_fleet::in_force::{Adopted, InForce};
use apricothall_types::Revision;

fn adopted(revision: u64) -> Adopted<u64> {
    Adopted {
        revision: Revision(revision),
        value: revision,
        ..Adopted::default()
    }
}

/// Guards against an agent that starts without a VM list: the list was adopted before the task
/// that applies it had subscribed, so the task was never notified.
#[test]
fn subscription_after_first_value() {
    let subject = InForce::default();
    subject.adopt(adopted(7));
    let mut changes = subject.changes();
    assert!(changes.has_changed().expect("open"));
    assert_eq!(changes.borrow_and_update().value, 7);
    assert!(!changes.has_changed().expect("open"));
}

#[test]
fn subscription_before_first_value() {
    let subject = InForce::default();
    let mut changes = subject.changes();
    assert!(!changes.has_changed().expect("open"));
    subject.adopt(adopted(7));
    assert!(changes.has_changed().expect("open"));
    assert_eq!(changes.borrow_and_update().value, 7);
}

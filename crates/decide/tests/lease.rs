//! The lease on the configuration is dated by when reads are sent, not by when they are answered.

use std::time::Duration;

use apricothall_decide::lease::Lease;
use apricothall_types::{Revision, Timestamp};
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn lease_expires_relative_to_when_the_read_was_sent() {
    let mut lease = Lease::default();
    lease.confirm(Revision(5), Revision(5), at(1_000));
    assert!(lease.holds(LIMIT, at(4_999)));
    assert!(!lease.holds(LIMIT, at(5_000)));
}

#[test]
fn a_newer_revision_that_is_not_in_force_does_not_renew() {
    let mut lease = Lease::default();
    lease.confirm(Revision(6), Revision(5), at(1_000));
    assert!(!lease.holds(LIMIT, at(1_001)));
}

#[test]
fn an_older_confirmation_does_not_shorten_the_lease() {
    let mut lease = Lease::default();
    lease.confirm(Revision(5), Revision(5), at(3_000));
    lease.confirm(Revision(5), Revision(5), at(1_000));
    assert_eq!(lease.age(at(3_500)), Some(Duration::from_millis(500)));
}

#[test]
fn the_lease_has_expired_after_a_long_freeze() {
    let mut lease = Lease::default();
    lease.confirm(Revision(5), Revision(5), at(1_000));
    assert!(!lease.holds(LIMIT, at(60_000)));
}

proptest! {
    /// For any confirmations in any order: while the lease holds, some read sent within the limit
    /// returned no revision newer than the one in force at that time.
    #[test]
    fn lease_holds_only_with_a_read_sent_within_the_limit(
        reads in proptest::collection::vec((0..10_u64, 0..10_u64, 0..20_000_u64), 0..20),
        now in 0..30_000_u64,
    ) {
        let mut lease = Lease::default();
        for (seen, held, sent) in &reads {
            lease.confirm(Revision(*seen), Revision(*held), at(*sent));
        }
        let limit = u64::try_from(LIMIT.as_millis()).expect("small");
        let backed = reads.iter().any(|(seen, held, sent)| seen <= held && now < sent + limit);
        prop_assert!(!lease.holds(LIMIT, at(now)) || backed);
    }
}

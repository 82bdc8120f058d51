//! The lease on the configuration is dated by when reads are sent, not by when they are answered.

use std::time::Duration;

use apricothall_decide::lease::Lease;
use apricothall_types::{ConfigurationRevision, Era, Revision, StoreRevision, Timestamp};
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(4);

/// Version `version` of the configuration, written in era `era`.
fn written(era: u64, version: u64) -> ConfigurationRevision {
    let written = StoreRevision {
        era: Era(era),
        revision: Revision(version),
    };
    ConfigurationRevision { version, written }
}

fn version(version: u64) -> ConfigurationRevision {
    written(1, version)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn lease_expires_relative_to_when_the_read_was_sent() {
    let mut lease = Lease::default();
    lease.confirm(version(5), version(5), at(1_000));
    assert!(lease.holds(LIMIT, at(4_999)));
    assert!(!lease.holds(LIMIT, at(5_000)));
}

#[test]
fn a_newer_revision_that_is_not_in_force_does_not_renew() {
    let mut lease = Lease::default();
    lease.confirm(version(6), version(5), at(1_000));
    assert!(!lease.holds(LIMIT, at(1_001)));
}

#[test]
fn an_older_confirmation_does_not_shorten_the_lease() {
    let mut lease = Lease::default();
    lease.confirm(version(5), version(5), at(3_000));
    lease.confirm(version(5), version(5), at(1_000));
    assert_eq!(lease.age(at(3_500)), Some(Duration::from_millis(500)));
}

/// Guards against a key that was taken away in a version that the store has lost.
#[test]
fn an_older_version_of_a_later_era_does_not_renew() {
    let mut lease = Lease::default();
    lease.confirm(written(2, 5), written(1, 6), at(1_000));
    assert!(!lease.holds(LIMIT, at(1_001)));
    lease.confirm_era(Era(2), written(1, 6), at(1_000));
    assert!(!lease.holds(LIMIT, at(1_001)));
    lease.confirm_era(Era(2), written(2, 6), at(1_000));
    assert!(lease.holds(LIMIT, at(1_001)));
}

/// Guards against a daemon that stops serving because a peer has not heard of the new era.
#[test]
fn a_confirmation_of_an_earlier_era_renews() {
    let mut lease = Lease::default();
    lease.confirm(written(1, 6), written(2, 6), at(1_000));
    assert!(lease.holds(LIMIT, at(1_001)));
}

#[test]
fn the_lease_has_expired_after_a_long_freeze() {
    let mut lease = Lease::default();
    lease.confirm(version(5), version(5), at(1_000));
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
            lease.confirm(version(*seen), version(*held), at(*sent));
        }
        let limit = u64::try_from(LIMIT.as_millis()).expect("small");
        let backed = reads.iter().any(|(seen, held, sent)| seen <= held && now < sent + limit);
        prop_assert!(!lease.holds(LIMIT, at(now)) || backed);
    }
}

//! Shares of priorities and client accounts under the load patterns that displace some of them.

use std::time::Duration;

use apricothall_decide::contention::{Contention, RequestOutcome};
use apricothall_decide::placement::Margin;
use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_types::Timestamp;
use smol_str::{SmolStr, format_smolstr};

const SERVED: RequestOutcome = RequestOutcome {
    is_returning: false,
    is_served: true,
};

const REFUSED: RequestOutcome = RequestOutcome {
    is_served: false,
    ..SERVED
};

const RETURNED_AND_REFUSED: RequestOutcome = RequestOutcome {
    is_returning: true,
    ..REFUSED
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn three_ranks() -> [Rank; 3] {
    let targets = [300, 300, 1_500].map(Duration::from_millis);
    let routes = ServicePriorities::new(&[(1, targets[0]), (2, targets[1]), (3, targets[2])]);
    [1, 2, 3].map(|priority| routes.rank(priority, &[]))
}

/// Records `served` of `received` requests of `rank` over 10 s.
fn record(contention: &mut Contention, rank: Rank, served: u32, received: u32) {
    for index in 0..received {
        let outcome = if index * served / received < (index + 1) * served / received {
            SERVED
        } else {
            REFUSED
        };
        let ms = u64::from(index) * 9_900 / u64::from(received);
        contention.record(rank, None, outcome, at(ms));
    }
}

macro_rules! margins {
    ($($case:ident: served $served:expr, of 200 => $margins:expr;)*) => {
        $(#[test] fn $case() {
            let mut contention = Contention::default();
            for (rank, served) in three_ranks().into_iter().zip($served) {
                record(&mut contention, rank, served, 200);
            }
            let margins = three_ranks().map(|rank| contention.margin(rank, None, at(9_900)));
            assert_eq!(margins, $margins);
        })*
    };
}

// Three priorities at 1.5 times the capacity, with the outcomes of several orders of admission.
margins! {
    higher_priorities_served_more_often: served [200, 160, 0], of 200
        => [Margin::Usual, Margin::Usual, Margin::Usual];
    lowest_ahead_of_the_middle_by_a_little: served [200, 100, 105], of 200
        => [Margin::Usual, Margin::Usual, Margin::Reduced { percent: 60 }];
    lowest_ahead_of_the_middle: served [200, 60, 140], of 200
        => [Margin::Usual, Margin::Usual, Margin::Reduced { percent: 0 }];
    both_ahead_of_the_highest: served [100, 140, 140], of 200
        => [Margin::Usual, Margin::Reduced { percent: 0 }, Margin::Reduced { percent: 0 }];
}

/// Guards against limits for lower priorities that last longer than the shortage.
#[test]
fn shares_are_those_of_the_last_10_s() {
    let [highest, middle, _] = three_ranks();
    let mut contention = Contention::default();
    record(&mut contention, highest, 20, 100);
    record(&mut contention, middle, 100, 100);
    assert_eq!(
        contention.margin(middle, None, at(9_900)),
        Margin::Reduced { percent: 0 }
    );
    assert_eq!(contention.margin(middle, None, at(20_000)), Margin::Usual);
}

/// Guards against a single refusal at a quiet entry that limits all lower priorities for 10 s.
#[test]
fn one_refusal_limits_nobody() {
    let [highest, middle, _] = three_ranks();
    let mut contention = Contention::default();
    record(&mut contention, highest, 2, 3);
    record(&mut contention, middle, 30, 30);
    assert_eq!(contention.margin(middle, None, at(9_900)), Margin::Usual);
}

/// Guards against services without several priorities or objectives that behave differently.
#[test]
fn unprotected_ranks_have_the_usual_margin() {
    let mut contention = Contention::default();
    record(&mut contention, Rank::URGENT, 10, 100);
    record(&mut contention, Rank::BELOW_URGENT, 100, 100);
    let margin = contention.margin(Rank::BELOW_URGENT, None, at(9_900));
    assert_eq!(margin, Margin::Usual);
}

/// Half of the callers of a priority repeat at once when they are refused. Repeated requests must
/// not lower its share, which would let it displace lower priorities.
#[test]
fn repeated_requests_do_not_lower_the_share() {
    let [highest, middle, _] = three_ranks();
    let mut contention = Contention::default();
    record(&mut contention, highest, 160, 200);
    record(&mut contention, middle, 150, 200);
    for _ in 0..100 {
        contention.record(highest, None, RETURNED_AND_REFUSED, at(9_900));
    }
    assert_eq!(contention.margin(middle, None, at(9_900)), Margin::Usual);
}

/// One account sends 9 of 10 requests, and 60 in 100 of them are served. Of those of the small
/// accounts, `served` of 20 are.
fn one_large_account(served: u32) -> (Contention, SmolStr) {
    let mut contention = Contention::default();
    let (large, small) = (SmolStr::new("large"), SmolStr::new("small"));
    for index in 0..200_u32 {
        let outcome = if index % 5 < 3 { SERVED } else { REFUSED };
        let now = at(u64::from(index) * 49);
        contention.record(Rank::ONLY, Some(&large), outcome, now);
        if index % 10 == 0 {
            let outcome = if index / 10 < served { SERVED } else { REFUSED };
            contention.record(Rank::ONLY, Some(&small), outcome, now);
        }
    }
    (contention, small)
}

macro_rules! accounts {
    ($($case:ident: $served:literal of 20 => $margin:expr;)*) => {
        $(#[test] fn $case() {
            let (contention, small) = one_large_account($served);
            assert_eq!(contention.margin(Rank::ONLY, Some(&small), at(9_900)), $margin);
            let large = SmolStr::new("large");
            let margin = contention.margin(Rank::ONLY, Some(&large), at(9_900));
            assert_eq!(margin, Margin::Usual);
        })*
    };
}

accounts! {
    account_served_as_often_as_all: 12 of 20 => Margin::Usual;
    account_served_a_little_less_often: 7 of 20 => Margin::Usual;
    account_served_less_than_half_as_often: 4 of 20 => Margin::Whole;
    account_that_is_not_served: 0 of 20 => Margin::Whole;
}

/// Guards against a preference while nothing is scarce, and beyond the time counted.
#[test]
fn accounts_are_preferred_only_under_contention() {
    let (contention, small) = one_large_account(0);
    assert_eq!(
        contention.margin(Rank::ONLY, Some(&small), at(21_000)),
        Margin::Usual
    );
    let mut calm = Contention::default();
    for ms in 0..100 {
        calm.record(Rank::ONLY, Some(&small), SERVED, at(ms));
    }
    assert_eq!(
        calm.margin(Rank::ONLY, Some(&small), at(100)),
        Margin::Usual
    );
}

/// Guards against memory that grows with the number of accounts.
#[test]
fn accounts_beyond_the_bound_are_not_counted() {
    let mut contention = Contention::default();
    let name = |index: u32| format_smolstr!("account-{index}");
    for index in 0..2_000 {
        for _ in 0..6 {
            contention.record(Rank::ONLY, Some(&name(index)), REFUSED, at(0));
        }
    }
    for _ in 0..12_000 {
        contention.record(Rank::ONLY, Some(&name(0)), SERVED, at(1));
    }
    let margin = |index| contention.margin(Rank::ONLY, Some(&name(index)), at(1));
    assert_eq!(margin(1), Margin::Whole);
    assert_eq!(margin(1_999), Margin::Usual);
}

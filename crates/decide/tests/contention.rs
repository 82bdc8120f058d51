//! Shares of priorities under the load patterns that displace some of them.

use std::time::Duration;

use apricothall_decide::contention::{Contention, RequestOutcome};
use apricothall_decide::placement::Margin;
use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_types::Timestamp;

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
        contention.record(rank, outcome, at(ms));
    }
}

macro_rules! margins {
    ($($case:ident: served $served:expr, of 200 => $margins:expr;)*) => {
        $(#[test] fn $case() {
            let mut contention = Contention::default();
            for (rank, served) in three_ranks().into_iter().zip($served) {
                record(&mut contention, rank, served, 200);
            }
            let margins = three_ranks().map(|rank| contention.margin(rank, at(9_900)));
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
        contention.margin(middle, at(9_900)),
        Margin::Reduced { percent: 0 }
    );
    assert_eq!(contention.margin(middle, at(20_000)), Margin::Usual);
}

/// Guards against a single refusal at a quiet entry that limits all lower priorities for 10 s.
#[test]
fn one_refusal_limits_nobody() {
    let [highest, middle, _] = three_ranks();
    let mut contention = Contention::default();
    record(&mut contention, highest, 2, 3);
    record(&mut contention, middle, 30, 30);
    assert_eq!(contention.margin(middle, at(9_900)), Margin::Usual);
}

/// Guards against services without several priorities or objectives that behave differently.
#[test]
fn unprotected_ranks_have_the_usual_margin() {
    let mut contention = Contention::default();
    record(&mut contention, Rank::URGENT, 10, 100);
    record(&mut contention, Rank::BELOW_URGENT, 100, 100);
    let margin = contention.margin(Rank::BELOW_URGENT, at(9_900));
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
        contention.record(highest, RETURNED_AND_REFUSED, at(9_900));
    }
    assert_eq!(contention.margin(middle, at(9_900)), Margin::Usual);
}

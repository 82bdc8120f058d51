//! Where a request goes, under the loads that make the choice matter.

use std::time::Duration;

use apricothall_decide::outlier::Permit;
use apricothall_decide::placement::{
    Candidate, Choice, Distance, PlacementConfig, Requirements, choose,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn candidate(latency: u64) -> Candidate {
    Candidate {
        distance: Distance::Zone,
        is_primary: true,
        permit: Permit::Open,
        latency: ms(latency),
        pause: ms(60),
        has_free_slot: true,
        under_half_full: true,
    }
}

fn full(latency: u64) -> Candidate {
    Candidate {
        has_free_slot: false,
        under_half_full: false,
        ..candidate(latency)
    }
}

fn fresh() -> Requirements {
    Requirements {
        objective: ms(400),
        is_retry: false,
        max_wait: ms(900),
        max_pause: Some(ms(300)),
    }
}

fn back() -> Requirements {
    Requirements {
        is_retry: true,
        ..fresh()
    }
}

/// A stream that goes on at another server.
fn moved() -> Requirements {
    Requirements {
        objective: Duration::ZERO,
        ..fresh()
    }
}

macro_rules! chooses {
    ($($case:ident: $need:expr, [$($candidate:expr),*] => $choice:expr;)*) => {
        $(#[test] fn $case() {
            let mut rng = ChaCha8Rng::seed_from_u64(7);
            let config = PlacementConfig::default();
            assert_eq!(choose(&config, &[$($candidate),*], $need, &mut rng), $choice);
        })*
    };
}

chooses! {
    nobody_serves: fresh(), [] => Choice::NoServer;
    the_faster_one: fresh(), [candidate(200), candidate(100)] => Choice::Send(1);
    all_full_and_too_late: fresh(), [full(500), full(450)] => Choice::Refuse(ms(110));
    full_but_in_time: fresh(), [full(300)] => Choice::Send(0);
    a_free_place_is_used_though_late: fresh(), [candidate(500)] => Choice::Send(0);
    one_that_moves_may_wait: moved(), [full(800)] => Choice::Send(0);
    one_that_moves_may_not_wait_for_ever: moved(), [full(1_000)] => Choice::Refuse(ms(100));
    one_that_comes_back_gets_room_that_is_left: back(), [full(150)] => Choice::Send(0);
    one_that_comes_back_takes_no_room_of_others: back(), [full(300)] => Choice::Refuse(ms(140));
    one_that_comes_back_gets_an_idle_server: back(), [candidate(300)] => Choice::Send(0);
    one_that_comes_back_leaves_the_last_places_to_others: back(),
        [Candidate { under_half_full: false, ..candidate(300) }] => Choice::Refuse(ms(140));
    a_burst_at_a_freed_engine_goes_elsewhere: fresh(),
        [Candidate { pause: ms(400), ..candidate(90) }, candidate(150)] => Choice::Send(1);
    a_burst_everywhere_is_refused: fresh(),
        [Candidate { pause: ms(400), ..candidate(90) }] => Choice::Refuse(ms(145));
    the_near_one_unless_it_is_much_slower: fresh(),
        [candidate(130), Candidate { distance: Distance::Far, ..candidate(100) }] => Choice::Send(0);
    the_far_one_when_the_zone_is_busy: fresh(),
        [full(300), Candidate { distance: Distance::Far, ..candidate(100) }] => Choice::Send(1);
    an_ejected_one_gets_nothing: fresh(),
        [Candidate { permit: Permit::Ejected, ..candidate(10) }, candidate(200)] => Choice::Send(1);
    all_ejected_and_the_faster_one_is_tried: fresh(),
        [Candidate { permit: Permit::Ejected, ..candidate(200) },
         Candidate { permit: Permit::Ejected, ..candidate(100) }] => Choice::Send(1);
    a_recovered_one_is_tried_with_one_request: fresh(),
        [candidate(10), Candidate { permit: Permit::Probe, ..candidate(200) }] => Choice::Send(1);
    the_own_engine_among_equals: fresh(),
        [Candidate { is_primary: false, ..candidate(100) }, candidate(105)] => Choice::Send(1);
}

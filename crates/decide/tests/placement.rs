//! Server selection under loads in which the choice matters.

use std::time::Duration;

use apricothall_decide::outlier::Permit;
use apricothall_decide::placement::{
    Candidate, Choice, Distance, Margin, PlacementConfig, Requirements, choose,
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

fn new_request() -> Requirements {
    Requirements {
        objective: ms(400),
        is_retry: false,
        max_wait: ms(900),
        max_pause: Some(ms(300)),
        margin: Margin::Usual,
    }
}

fn retried() -> Requirements {
    Requirements {
        is_retry: true,
        ..new_request()
    }
}

/// A stream that another server continues after its server was lost.
fn resumed() -> Requirements {
    Requirements {
        objective: Duration::ZERO,
        ..new_request()
    }
}

/// A request of a lower priority while a higher one is served less often.
fn reduced(percent: u32) -> Requirements {
    Requirements {
        margin: Margin::Reduced { percent },
        ..new_request()
    }
}

/// A returning caller of an account that is served much less often than others.
fn underserved() -> Requirements {
    Requirements {
        margin: Margin::Whole,
        ..retried()
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
    no_candidate: new_request(), [] => Choice::NoServer;
    faster_server_is_chosen: new_request(), [candidate(200), candidate(100)] => Choice::Send(1);
    full_servers_beyond_the_objective_refuse: new_request(), [full(500), full(450)] => Choice::Refuse(ms(110));
    full_server_within_the_objective_is_used: new_request(), [full(300)] => Choice::Send(0);
    free_slot_is_used_beyond_the_objective: new_request(), [candidate(500)] => Choice::Send(0);
    resumed_stream_may_wait: resumed(), [full(800)] => Choice::Send(0);
    resumed_stream_wait_is_bounded: resumed(), [full(1_000)] => Choice::Refuse(ms(100));
    retried_request_uses_remaining_capacity: retried(), [full(150)] => Choice::Send(0);
    retried_request_leaves_capacity_to_new_requests: retried(), [full(300)] => Choice::Refuse(ms(140));
    retried_request_gets_an_idle_server: retried(), [candidate(300)] => Choice::Send(0);
    retried_request_leaves_the_last_slots_to_new_requests: retried(),
        [Candidate { under_half_full: false, ..candidate(300) }] => Choice::Refuse(ms(140));
    burst_at_a_freed_engine_uses_another_server: new_request(),
        [Candidate { pause: ms(400), ..candidate(90) }, candidate(150)] => Choice::Send(1);
    burst_at_all_servers_is_refused: new_request(),
        [Candidate { pause: ms(400), ..candidate(90) }] => Choice::Refuse(ms(145));
    nearby_server_is_preferred_if_slightly_slower: new_request(),
        [candidate(130), Candidate { distance: Distance::Far, ..candidate(100) }] => Choice::Send(0);
    distant_server_is_used_when_the_zone_is_busy: new_request(),
        [full(300), Candidate { distance: Distance::Far, ..candidate(100) }] => Choice::Send(1);
    ejected_server_is_not_used: new_request(),
        [Candidate { permit: Permit::Ejected, ..candidate(10) }, candidate(200)] => Choice::Send(1);
    faster_server_is_used_when_all_are_ejected: new_request(),
        [Candidate { permit: Permit::Ejected, ..candidate(200) },
         Candidate { permit: Permit::Ejected, ..candidate(100) }] => Choice::Send(1);
    recovered_server_is_probed: new_request(),
        [candidate(10), Candidate { permit: Permit::Probe, ..candidate(200) }] => Choice::Send(1);
    primary_server_is_preferred_among_equals: new_request(),
        [Candidate { is_primary: false, ..candidate(100) }, candidate(105)] => Choice::Send(1);
    lower_priority_queues_less_while_a_higher_one_is_refused: reduced(60), [full(250)] => Choice::Refuse(ms(46));
    lower_priority_leaves_half_of_the_slots_to_a_higher_one: reduced(0),
        [Candidate { under_half_full: false, ..candidate(100) }] => Choice::Refuse(ms(100));
    lower_priority_uses_idle_servers: reduced(0), [candidate(100)] => Choice::Send(0);
    underserved_account_uses_its_whole_objective: underserved(), [full(390)] => Choice::Send(0);
    underserved_account_uses_the_last_slot: underserved(),
        [Candidate { under_half_full: false, ..candidate(500) }] => Choice::Send(0);
    underserved_account_does_not_queue_beyond_its_objective: underserved(), [full(410)] => Choice::Refuse(ms(10));
}

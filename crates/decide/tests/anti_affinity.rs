//! Load pattern: one request ends each server that runs it and comes again at once, among innocent
//! ones that come again too.

use std::net::SocketAddr;

use apricothall_decide::anti_affinity::AntiAffinity;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Servers.
const SERVERS: u16 = 6;

/// Requests, of which the first ends its servers.
const REQUESTS: usize = 9;

/// Crashes that condemn.
const CRASHES: u32 = 3;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn a_request_that_was_at_no_crash_keeps_nobody_away() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 0);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 0);
}

#[test]
fn a_server_is_free_once_those_at_it_have_gone() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 1);
    anti_affinity.add(server(1), 2);
    anti_affinity.remove(server(1), 2);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 1);
    anti_affinity.remove(server(1), 1);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 0);
}

#[test]
fn with_all_servers_taken_those_with_fewer_crashes_remain() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 2);
    anti_affinity.add(server(2), 1);
    let mut offers = vec![server(1), server(2)];
    anti_affinity.retain_least_exposed(&mut offers, |at| *at);
    assert_eq!(offers, [server(2)]);
}

/// Requests are placed in any order at the moment of a crash, before any of them has arrived
/// anywhere. Returns how many innocent ones were at all crashes.
fn condemned(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut anti_affinity = AntiAffinity::default();
    let mut alive: Vec<_> = (0..SERVERS).map(server).collect();
    let mut crashes = [0_u32; REQUESTS];
    let mut places: Vec<_> = (0..REQUESTS)
        .map(|_| *alive.choose(&mut rng).expect("some"))
        .collect();
    for _ in 0..CRASHES {
        let ended = places[0];
        alive.retain(|s| *s != ended);
        let mut moved: Vec<_> = (0..REQUESTS).filter(|r| places[*r] == ended).collect();
        for request in &moved {
            anti_affinity.remove(ended, crashes[*request]);
            crashes[*request] += 1;
        }
        moved.shuffle(&mut rng);
        for request in moved {
            let mut offers = alive.clone();
            anti_affinity.retain_least_exposed(&mut offers, |at| *at);
            places[request] = *offers.choose(&mut rng).expect("some");
            anti_affinity.add(places[request], crashes[request]);
        }
        // Others end meanwhile, and their callers send new ones.
        for request in 1..REQUESTS {
            if rng.random_bool(0.2) {
                anti_affinity.remove(places[request], crashes[request]);
                crashes[request] = 0;
                places[request] = *alive.choose(&mut rng).expect("some");
            }
        }
    }
    crashes[1..].iter().filter(|c| **c >= CRASHES).count()
}

/// Guards against an innocent request that is condemned with the lethal one, because both went on
/// to the same server at the same moment.
#[test]
fn an_innocent_request_is_not_with_the_lethal_one_at_all_three_crashes() {
    let condemned: usize = (0..2_000).map(condemned).sum();
    assert_eq!(condemned, 0);
}

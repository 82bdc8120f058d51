//! Anti-affinity between suspects. The load pattern is one lethal request that crashes each server
//! which runs it and is retried immediately, among innocent requests that are retried too.

use std::net::SocketAddr;

use apricothall_decide::anti_affinity::AntiAffinity;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: u16 = 6;

/// Number of requests; the first one crashes its servers.
const REQUESTS: usize = 9;

/// Number of crashes that condemns a request.
const CONDEMN_LIMIT: u32 = 3;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn requests_without_crashes_are_not_counted() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 0);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 0);
}

#[test]
fn removed_requests_are_not_counted() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 1);
    anti_affinity.add(server(1), 2);
    anti_affinity.remove(server(1), 2);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 1);
    anti_affinity.remove(server(1), 1);
    assert_eq!(anti_affinity.max_crashes(&server(1)), 0);
}

#[test]
fn servers_with_fewer_crashes_are_retained() {
    let mut anti_affinity = AntiAffinity::default();
    anti_affinity.add(server(1), 2);
    anti_affinity.add(server(2), 1);
    let mut offers = vec![server(1), server(2)];
    anti_affinity.retain_least_exposed(&mut offers, |at| *at);
    assert_eq!(offers, [server(2)]);
}

/// Places requests in random order at the moment of each crash, before any of them arrives. Returns
/// the number of innocent requests that were present at all crashes.
fn count_condemned(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut anti_affinity = AntiAffinity::default();
    let mut alive: Vec<_> = (0..SERVERS).map(server).collect();
    let mut crashes = [0_u32; REQUESTS];
    let mut places: Vec<_> = (0..REQUESTS)
        .map(|_| *alive.choose(&mut rng).expect("some"))
        .collect();
    for _ in 0..CONDEMN_LIMIT {
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
        // Meanwhile other requests complete, and their callers send new ones.
        for request in 1..REQUESTS {
            if rng.random_bool(0.2) {
                anti_affinity.remove(places[request], crashes[request]);
                crashes[request] = 0;
                places[request] = *alive.choose(&mut rng).expect("some");
            }
        }
    }
    crashes[1..].iter().filter(|c| **c >= CONDEMN_LIMIT).count()
}

/// Guards against an innocent request that is condemned together with the lethal one because both
/// are sent to the same server at the same moment.
#[test]
fn innocent_requests_are_not_condemned() {
    let condemned: usize = (0..2_000).map(count_condemned).sum();
    assert_eq!(condemned, 0);
}

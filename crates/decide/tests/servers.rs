//! Registry of published backend servers around outages of the store.

use apricothall_decide::outage::OutageConfig;
use apricothall_decide::servers::{Server, ServerState, Servers};
use apricothall_types::{MemberId, Timestamp, WallTime};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn id(name: &str) -> MemberId {
    name.parse().expect("valid")
}

fn server(name: &str, state: ServerState) -> Server {
    Server {
        id: id(name),
        service: "drafts".into(),
        address: "10.0.0.1:80".parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        slots: 4,
        state,
        born: WallTime(1),
        loaded: Vec::new(),
        cold_remaining: None,
    }
}

fn two_servers() -> Servers {
    let mut servers = Servers::new(OutageConfig::default());
    servers.outages.record_answer(at(1_000));
    servers.put(server("s1", ServerState::Ready));
    servers.put(server("s2", ServerState::Ready));
    servers
}

fn ready(servers: &Servers) -> Vec<&str> {
    servers.ready("drafts").map(|s| s.id.as_str()).collect()
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut servers = two_servers();
    servers.put(server("s1", ServerState::Draining));
    assert_eq!(ready(&servers), ["s2"]);
    assert!(servers.get(&id("s1")).is_some());
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_answers() {
    let mut servers = two_servers();
    servers.remove(&id("s1"), at(1_000));
    assert_eq!(ready(&servers), ["s2"]);
}

/// Two servers, with the store back after four seconds in which it answered no daemon.
fn after_an_outage() -> Servers {
    let mut servers = two_servers();
    servers.outages.record_answer(at(5_000));
    servers
}

#[test]
fn a_server_that_expired_in_an_outage_is_kept_for_the_restore_period() {
    let mut servers = after_an_outage();
    servers.remove(&id("s1"), at(5_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    servers.expire(at(6_999));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(6_500));
    servers.expire(at(7_000));
    assert_eq!(ready(&servers), ["s2"]);
}

#[test]
fn a_server_whose_entry_is_restored_after_an_outage_stays() {
    let mut servers = after_an_outage();
    servers.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    servers.put(server("s1", ServerState::Ready));
    servers.expire(at(9_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

#[test]
fn a_daemon_without_the_store_adopts_the_list_of_a_peer() {
    let mut servers = two_servers();
    let mut peer = two_servers();
    peer.remove(&id("s1"), at(1_000));
    servers.adopt(peer.listing(at(1_000)), at(1_000), at(1_001));
    assert_eq!(ready(&servers), ["s2"]);
}

/// Followers must wait for entries that expired in an outage just as their reader does.
#[test]
fn followers_keep_the_missing_servers_of_their_reader() {
    let mut reader = after_an_outage();
    reader.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    let mut servers = two_servers();
    servers.adopt(reader.listing(at(5_500)), at(5_500), at(5_500));
    servers.expire(at(6_999));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(6_500));
    servers.expire(at(7_000));
    assert_eq!(ready(&servers), ["s2"]);
}

/// A daemon that starts just after an outage gets its list from a reader that waits for entries.
#[test]
fn a_starting_daemon_keeps_the_missing_servers_of_its_reader() {
    let mut reader = after_an_outage();
    reader.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    let mut servers = Servers::new(OutageConfig::default());
    servers.adopt(reader.listing(at(5_500)), at(5_500), at(5_500));
    servers.expire(at(6_999));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(6_500));
    servers.expire(at(7_000));
    assert_eq!(ready(&servers), ["s2"]);
}

/// The store fails again before live servers could write their entries.
#[test]
fn a_second_outage_extends_the_restore_period() {
    let mut servers = after_an_outage();
    servers.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    servers.expire(at(9_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(11_000));
    servers.put(server("s1", ServerState::Ready));
    servers.expire(at(13_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

/// Guards against a server that had left being used again, because a peer with older information
/// was still waiting for its entry.
#[test]
fn a_removed_server_is_not_adopted_from_a_peer_that_waits_for_it() {
    let mut reader = after_an_outage();
    reader.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    let mut servers = two_servers();
    servers.remove(&id("s1"), at(1_500));
    servers.adopt(reader.listing(at(5_500)), at(5_500), at(5_500));
    assert_eq!(ready(&servers), ["s2"]);
}

/// Guards against the incident DRAIN (docs/incidents/drain.md), in which the removal of a server
/// was taken for an entry that expired in an outage. Only some daemons had got no answers, and the
/// store had acknowledged the removal in normal operation.
#[test]
fn a_held_server_is_removed_once_a_peer_reports_that_there_was_no_outage() {
    let mut servers = after_an_outage();
    servers.remove(&id("s1"), at(5_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    let mut peer = two_servers();
    for second in 1..=5 {
        peer.outages.record_answer(at(second * 1_000));
    }
    let ages = peer.outages.answer_ages(at(5_100));
    servers
        .outages
        .merge_peer_answers(&ages, at(5_000), at(5_100));
    servers.expire(at(5_100));
    assert_eq!(ready(&servers), ["s2"]);
}

#[test]
fn a_removal_while_the_store_answers_is_final_for_followers() {
    let mut reader = two_servers();
    reader.remove(&id("s1"), at(1_000));
    let mut servers = two_servers();
    servers.adopt(reader.listing(at(1_000)), at(1_000), at(1_000));
    assert_eq!(ready(&servers), ["s2"]);
}

#[test]
fn a_forgotten_server_is_removed() {
    let mut servers = two_servers();
    servers.forget(&id("s2"));
    assert_eq!(ready(&servers), ["s1"]);
}

/// Guards against requests for models that are not loaded: after a power loss of all engines, the
/// entries of their previous processes remain until they expire and list what those had loaded.
#[test]
fn an_address_belongs_to_the_server_that_started_last() {
    let mut servers = two_servers();
    let mut later = server("s3", ServerState::Ready);
    later.born = WallTime(2);
    later.service = "bookings".into();
    servers.put(later);
    assert!(ready(&servers).is_empty(), "both entries name its address");
    servers.remove(&id("s3"), at(1_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

//! Backend servers as published, around outages of the store that lists them.

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
    }
}

fn two() -> Servers {
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
fn a_draining_server_takes_nothing_new() {
    let mut servers = two();
    servers.put(server("s1", ServerState::Draining));
    assert_eq!(ready(&servers), ["s2"]);
    assert!(servers.get(&id("s1")).is_some());
}

#[test]
fn a_removed_server_is_gone_at_once_while_the_store_answers() {
    let mut servers = two();
    servers.remove(&id("s1"), at(1_000));
    assert_eq!(ready(&servers), ["s2"]);
}

/// The store answers again after four seconds in which it answered nobody.
fn after_an_outage() -> Servers {
    let mut servers = two();
    servers.outages.record_answer(at(5_000));
    servers
}

#[test]
fn a_lapse_during_an_outage_drops_no_server_until_entries_would_be_back() {
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
fn an_entry_that_is_back_after_an_outage_stays() {
    let mut servers = after_an_outage();
    servers.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    servers.put(server("s1", ServerState::Ready));
    servers.expire(at(9_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

#[test]
fn a_list_from_a_peer_that_reaches_the_store_holds_for_a_daemon_that_does_not() {
    let mut servers = two();
    let mut peer = two();
    peer.remove(&id("s1"), at(1_000));
    servers.adopt(peer.listing(at(1_000)), at(1_000), at(1_001));
    assert_eq!(ready(&servers), ["s2"]);
}

/// A reader waits for entries that lapsed in an outage; so do those that learn from it.
#[test]
fn a_lapse_that_a_reader_waits_out_is_waited_out_by_those_who_learn_from_it() {
    let mut reader = after_an_outage();
    reader.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    let mut servers = two();
    servers.adopt(reader.listing(at(5_500)), at(5_500), at(5_500));
    servers.expire(at(6_999));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(6_500));
    servers.expire(at(7_000));
    assert_eq!(ready(&servers), ["s2"]);
}

/// A daemon that starts just after an outage learns from one that waits for entries.
#[test]
fn a_daemon_that_starts_waits_with_those_it_learns_from() {
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

/// The store goes away again before living servers could write their entries.
#[test]
fn a_second_outage_prolongs_the_wait_for_entries() {
    let mut servers = after_an_outage();
    servers.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    servers.expire(at(9_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    servers.outages.record_answer(at(11_000));
    servers.put(server("s1", ServerState::Ready));
    servers.expire(at(13_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

/// Guards against a server that had left and was in use again, because a peer that knew less still
/// waited for its entry.
#[test]
fn a_server_that_is_gone_here_is_not_taken_back_from_a_peer_that_waits_for_it() {
    let mut reader = after_an_outage();
    reader.replace(vec![server("s2", ServerState::Ready)], at(5_000));
    let mut servers = two();
    servers.remove(&id("s1"), at(1_500));
    servers.adopt(reader.listing(at(5_500)), at(5_500), at(5_500));
    assert_eq!(ready(&servers), ["s2"]);
}

/// Guards against DRAIN: the silence was that of some daemons, and the removal one that the store
/// had acked in peace.
#[test]
fn a_server_that_is_held_goes_once_a_peer_tells_that_the_store_was_not_away() {
    let mut servers = after_an_outage();
    servers.remove(&id("s1"), at(5_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
    let mut peer = two();
    for second in 1..=5 {
        peer.outages.record_answer(at(second * 1_000));
    }
    let told = peer.outages.answer_ages(at(5_100));
    servers
        .outages
        .merge_peer_answers(&told, at(5_000), at(5_100));
    servers.expire(at(5_100));
    assert_eq!(ready(&servers), ["s2"]);
}

#[test]
fn a_removal_while_the_store_answers_is_final_for_those_who_learn_of_it() {
    let mut reader = two();
    reader.remove(&id("s1"), at(1_000));
    let mut servers = two();
    servers.adopt(reader.listing(at(1_000)), at(1_000), at(1_000));
    assert_eq!(ready(&servers), ["s2"]);
}

#[test]
fn an_entry_that_names_no_server_any_more_takes_it_out() {
    let mut servers = two();
    servers.forget(&id("s2"));
    assert_eq!(ready(&servers), ["s1"]);
}

/// All engines lose power: the entries of their former lives stay until they lapse, and say what
/// those had loaded.
#[test]
fn an_address_belongs_to_the_server_that_started_last() {
    let mut servers = two();
    let mut later = server("s3", ServerState::Ready);
    later.born = WallTime(2);
    later.service = "bookings".into();
    servers.put(later);
    assert!(ready(&servers).is_empty(), "both entries name its address");
    servers.remove(&id("s3"), at(1_000));
    assert_eq!(ready(&servers), ["s1", "s2"]);
}

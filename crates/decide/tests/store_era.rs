//! A store that comes back from an older copy: the era of its answers, and the servers known before.

use apricothall_decide::outage::OutageConfig;
use apricothall_decide::servers::{Listing, Removal, Server, ServerState, Servers};
use apricothall_decide::store_era::{EraError, answer_era};
use apricothall_types::{Era, MemberId, Timestamp, WallTime};

/// When the store comes back, in ms.
const RETURN: u64 = 10_000;

/// Time within which live servers write their entries again, three heartbeat intervals, in ms.
const EXPIRY: u64 = 3_600;

/// Time within which the store drops entries of servers that had left, six intervals, in ms.
const CLEANUP: u64 = 7_200;

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
        address: format!("10.0.0.{}:80", &name[1..]).parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        slots: 4,
        state,
        born: WallTime(1),
        loaded: Vec::new(),
        cold_remaining: None,
    }
}

fn servers(names: &[&str]) -> Vec<Server> {
    let ready = names.iter().map(|name| server(name, ServerState::Ready));
    ready.collect()
}

/// A daemon that knows the servers `names` before the store comes back.
fn daemon(names: &[&str]) -> Servers {
    let mut known = Servers::new(OutageConfig::default());
    known.outages.record_answer(at(RETURN - 1_000));
    known.replace(servers(names), at(RETURN - 1_000));
    known
}

/// The daemon takes the first list of the new era.
fn come_back(known: &mut Servers, copy: &[&str]) -> Vec<(MemberId, Removal)> {
    known.outages.record_answer(at(RETURN));
    known.begin_era(Listing::from(servers(copy)), at(RETURN))
}

fn ready(known: &Servers) -> Vec<&str> {
    known.ready("drafts").map(|s| s.id.as_str()).collect()
}

macro_rules! eras {
    ($($case:ident: $stated:expr, known $known:literal => $expected:expr;)*) => {
        $(#[test] fn $case() {
            let stated: Option<&str> = $stated;
            assert_eq!(answer_era(stated.map(str::as_bytes), Era($known)), $expected);
        })*
    };
}

eras! {
    an_answer_without_an_era: None, known 0 => Ok(Era(0));
    an_answer_without_an_era_belongs_to_the_known_one: None, known 3 => Ok(Era(3));
    the_first_era: Some("1"), known 0 => Ok(Era(1));
    a_later_era: Some("4"), known 3 => Ok(Era(4));
    an_era_that_is_no_number: Some("new"), known 3 => Err(EraError::NotNumber("new".into()));
    a_negative_era: Some("-1"), known 3 => Err(EraError::NotNumber("-1".into()));
    an_earlier_era: Some("2"), known 3 => Err(EraError::Ended { stated: Era(2), known: Era(3) });
}

/// Guards against a server that is lost for callers because the copy lacks its entry.
#[test]
fn a_server_that_the_copy_lacks_is_kept_until_entries_are_written_again() {
    let mut known = daemon(&["s1", "s2"]);
    let effects = come_back(&mut known, &["s1"]);
    assert!(matches!(&effects[..], [(held, Removal::Held { .. })] if *held == id("s2")));
    known.expire(at(RETURN + EXPIRY - 1));
    assert_eq!(ready(&known), ["s1", "s2"]);
    known.put(server("s2", ServerState::Ready));
    known.expire(at(RETURN + EXPIRY));
    assert_eq!(ready(&known), ["s1", "s2"]);
}

/// Guards against a server that is kept for ever although nobody writes its entry again.
#[test]
fn a_server_that_is_not_written_again_is_dropped() {
    let mut known = daemon(&["s1", "s2"]);
    come_back(&mut known, &["s1"]);
    assert_eq!(known.expire(at(RETURN + EXPIRY)), [id("s2")]);
}

/// Guards against a server that left and is in the copy.
#[test]
fn a_server_that_had_left_is_not_added_again() {
    let mut known = daemon(&["s1", "s2"]);
    known.remove(&id("s2"), at(RETURN - 500));
    let effects = come_back(&mut known, &["s1", "s2"]);
    assert_eq!(effects, [(id("s2"), Removal::Withheld)]);
    known.replace(servers(&["s1", "s2"]), at(RETURN + 100));
    assert_eq!(ready(&known), ["s1"]);
    known.adopt(
        daemon(&["s1", "s2"]).listing(at(RETURN + 200)),
        at(RETURN + 200),
        at(RETURN + 200),
    );
    assert_eq!(ready(&known), ["s1"]);
    known.put(server("s2", ServerState::Ready));
    assert_eq!(ready(&known), ["s1", "s2"], "its entry was written again");
}

/// Guards against a server that stays out after the store has proved to hold its entry.
#[test]
fn a_list_holds_again_once_the_store_has_dropped_old_entries() {
    let mut known = daemon(&["s1", "s2"]);
    known.remove(&id("s2"), at(RETURN - 500));
    come_back(&mut known, &["s1", "s2"]);
    known.replace(servers(&["s1", "s2"]), at(RETURN + CLEANUP - 1));
    assert_eq!(ready(&known), ["s1"]);
    known.replace(servers(&["s1", "s2"]), at(RETURN + CLEANUP));
    assert_eq!(ready(&known), ["s1", "s2"]);
}

/// Guards against requests to a draining server whose entry in the copy says ready.
#[test]
fn a_draining_server_does_not_become_ready() {
    let mut known = daemon(&["s1", "s2"]);
    known.put(server("s2", ServerState::Draining));
    come_back(&mut known, &["s1", "s2"]);
    known.replace(servers(&["s1", "s2"]), at(RETURN + 100));
    assert_eq!(ready(&known), ["s1"]);
}

/// Guards against requests to a server that began to drain before the first list of the new era.
#[test]
fn a_server_that_the_list_has_draining_drains() {
    let mut known = daemon(&["s1", "s2"]);
    let mut list = servers(&["s1"]);
    list.push(server("s2", ServerState::Draining));
    known.begin_era(Listing::from(list), at(RETURN));
    assert_eq!(ready(&known), ["s1"]);
}

/// Guards against requests to a server whose removal the store has acknowledged in the new era.
#[test]
fn a_removal_in_the_new_era_is_final() {
    let mut known = daemon(&["s1", "s2"]);
    come_back(&mut known, &["s1", "s2"]);
    assert_eq!(known.remove(&id("s2"), at(RETURN + 100)), Removal::Final);
    assert_eq!(ready(&known), ["s1"]);
}

/// Guards against followers that keep a server whose removal their reader knows to be of the new era.
#[test]
fn a_removal_in_the_new_era_is_final_for_followers() {
    let mut reader = daemon(&["s1", "s2"]);
    come_back(&mut reader, &["s1", "s2"]);
    reader.remove(&id("s2"), at(RETURN + 100));
    let listing = reader.listing(at(RETURN + 200));
    let mut early = daemon(&["s1", "s2"]);
    come_back(&mut early, &["s1", "s2"]);
    early.adopt(listing.clone(), at(RETURN + 200), at(RETURN + 200));
    assert_eq!(ready(&early), ["s1"]);
    let mut late = daemon(&["s1", "s2"]);
    late.begin_era(listing, at(RETURN + 200));
    assert_eq!(ready(&late), ["s1"]);
}

/// Guards against a server that a follower drops because its reader never knew it.
#[test]
fn a_server_that_the_reader_did_not_know_is_kept() {
    let mut reader = daemon(&["s1"]);
    come_back(&mut reader, &["s1"]);
    let mut known = daemon(&["s1", "s2"]);
    known.begin_era(reader.listing(at(RETURN + 100)), at(RETURN + 100));
    known.adopt(
        reader.listing(at(RETURN + 200)),
        at(RETURN + 200),
        at(RETURN + 200),
    );
    assert_eq!(ready(&known), ["s1", "s2"]);
    assert_eq!(known.expire(at(RETURN + 100 + EXPIRY)), [id("s2")]);
}

/// Guards against a live server that its followers withhold because its entry lapsed after the return.
#[test]
fn a_server_that_lapsed_in_the_new_era_is_adopted_once_written_again() {
    let mut known = daemon(&["s1", "s2"]);
    come_back(&mut known, &["s1", "s2"]);
    known.remove(&id("s2"), at(RETURN + 100));
    let mut reader = daemon(&["s1", "s2"]);
    come_back(&mut reader, &["s1", "s2"]);
    known.adopt(
        reader.listing(at(RETURN + 300)),
        at(RETURN + 300),
        at(RETURN + 300),
    );
    assert_eq!(ready(&known), ["s1", "s2"]);
}

/// Guards against a second return that is not noticed while the first one is in progress.
#[test]
fn a_second_return_starts_anew() {
    let mut known = daemon(&["s1", "s2"]);
    come_back(&mut known, &["s1"]);
    known.put(server("s2", ServerState::Ready));
    known.begin_era(Listing::from(servers(&["s1"])), at(RETURN + 3_000));
    known.expire(at(RETURN + EXPIRY));
    assert_eq!(ready(&known), ["s1", "s2"]);
    assert_eq!(known.expire(at(RETURN + 3_000 + EXPIRY)), [id("s2")]);
}

//! Entries of other writers among those of servers: entries of services that nobody names, with the
//! address of a server.

use std::collections::{BTreeMap, BTreeSet};

use apricothall_decide::outage::OutageConfig;
use apricothall_decide::servers::{Listing, Server, ServerState, Servers};
use apricothall_types::{MemberId, Timestamp, WallTime};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

/// Service of the servers, and another one with servers.
const SERVICE: &str = "drafts";
const OTHER: &str = "bookings";

/// Service that no configuration names.
const UNNAMED: &str = "elsewhere";

/// Start of the server, and a later one.
const BORN: u64 = 10;
const LATER: u64 = 20;

fn now() -> Timestamp {
    Timestamp::from_millis(1_000)
}

fn id(name: &str) -> MemberId {
    name.parse().expect("valid")
}

fn server(name: &str, service: &str, born: u64) -> Server {
    Server {
        id: id(name),
        service: service.into(),
        address: "10.0.0.1:80".parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        slots: 4,
        state: ServerState::Ready,
        born: WallTime(born),
        loaded: Vec::new(),
        cold_remaining: None,
    }
}

fn services(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(|name| (*name).into()).collect()
}

/// A registry under a configuration that names two services.
fn named() -> Servers {
    let mut servers = Servers::new(OutageConfig::default());
    servers.outages.record_answer(now());
    servers.name_services(services(&[SERVICE, OTHER]));
    servers
}

fn ours() -> Server {
    server("s1", SERVICE, BORN)
}

fn foreign() -> Server {
    server("x1", UNNAMED, LATER)
}

/// The server that has the address of a crashed one now.
fn successor() -> Server {
    server("t1", OTHER, LATER)
}

fn uses_ours(servers: &Servers) -> bool {
    servers.ready(SERVICE).any(|s| s.id == id("s1"))
}

macro_rules! entries {
    ($($(#[doc = $doc:literal])* $case:ident: |$servers:ident| $steps:block => $uses:expr;)*) => {
        $($(#[doc = $doc])* #[test] fn $case() {
            let mut $servers = named();
            $steps
            assert_eq!(uses_ours(&$servers), $uses);
        })*
    };
}

entries! {
    /// Guards against a server that nobody uses, as an entry of no service has its address: it came
    /// as a change.
    a_foreign_entry_from_the_watch: |servers| {
        servers.put(ours());
        servers.put(foreign());
    } => true;
    /// Guards against the same when both come in a list.
    a_foreign_entry_from_a_list: |servers| {
        servers.replace(vec![ours(), foreign()], now());
    } => true;
    /// Guards against the same when both come from a peer.
    a_foreign_entry_from_a_peer: |servers| {
        servers.adopt(Listing::from(vec![ours(), foreign()]), now(), now());
    } => true;
    /// Guards against the same when the store has come back from an older copy.
    a_foreign_entry_in_an_older_copy: |servers| {
        servers.put(ours());
        servers.begin_era(Listing::from(vec![ours(), foreign()]), now());
    } => true;
    /// Guards against requests to a crashed server whose address another service has now.
    the_address_of_a_named_service: |servers| {
        servers.put(ours());
        servers.put(successor());
    } => false;
    /// Guards against an entry that is left out for good, as it was read before its service was named.
    a_service_that_is_named_after_its_entry: |servers| {
        servers.put(ours());
        servers.put(foreign());
        servers.name_services(services(&[SERVICE, UNNAMED]));
    } => false;
    /// Guards against a server that stays out of use after the other service was taken out.
    a_service_that_is_taken_out: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.name_services(services(&[SERVICE]));
    } => true;
    /// Guards against requests to a crashed server once the other service is named again.
    a_service_that_is_named_again: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.name_services(services(&[SERVICE]));
        servers.name_services(services(&[SERVICE, OTHER]));
    } => false;
    /// Guards against an address that stays taken after the entry that took it has lapsed.
    the_later_entry_lapses: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.remove(&id("t1"), now());
    } => true;
    /// Guards against an address that stays taken after the entry that took it is another's.
    the_later_entry_is_overwritten: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.put(server("t1", UNNAMED, LATER));
    } => true;
    /// Guards against a server that stays away after another writer had its entry for a moment.
    the_entry_is_overwritten_for_a_moment: |servers| {
        servers.put(ours());
        servers.put(server("s1", UNNAMED, LATER));
        assert!(!uses_ours(&servers), "its entry names no server");
        servers.put(ours());
    } => true;
    /// Guards against an address that is free before the last entry with the latest start has gone.
    two_entries_with_the_latest_start: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.put(server("t2", OTHER, LATER));
        servers.forget(&id("t2"));
    } => false;
    /// Guards against an entry that counts twice as it is written again and again.
    an_entry_that_is_written_again: |servers| {
        servers.put(ours());
        servers.put(successor());
        servers.put(successor());
        servers.forget(&id("t1"));
    } => true;
}

/// Guards against servers that are left out before the first configuration has arrived: which
/// services it names is not known yet.
#[test]
fn before_the_first_configuration_all_services_count() {
    let mut servers = Servers::new(OutageConfig::default());
    servers.put(ours());
    servers.put(successor());
    assert!(!uses_ours(&servers));
    servers.name_services(services(&[SERVICE]));
    assert!(uses_ours(&servers));
}

/// Number of entries of other writers in [`thousands_of_foreign_entries_change_nothing`].
const FOREIGN: usize = 5_000;

/// Guards against lists that take long, as thousands of entries have one address.
#[test]
fn thousands_of_foreign_entries_change_nothing() {
    let mut servers = named();
    let others = (0..FOREIGN).map(|n| server(&format!("x{n}"), UNNAMED, LATER));
    let all: Vec<_> = others.chain([ours()]).collect();
    servers.replace(all.clone(), now());
    assert!(uses_ours(&servers));
    servers.replace(all, now());
    servers.put(ours());
    assert_eq!(servers.ready(SERVICE).count(), 1);
}

/// Number of servers and of addresses in a drawn series.
const NAMES: usize = 8;
const ADDRESSES: usize = 3;

/// Draws series of changes, and holds what is ready against the definition.
struct World {
    rng: ChaCha8Rng,
    servers: Servers,
    named: BTreeSet<SmolStr>,
    entries: BTreeMap<MemberId, Server>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: named(),
            named: services(&[SERVICE, OTHER]),
            entries: BTreeMap::new(),
        }
    }

    fn draw_server(&mut self) -> Server {
        let name = format!("s{}", self.rng.random_range(0..NAMES));
        let service = [SERVICE, OTHER, UNNAMED].choose(&mut self.rng);
        let port = 80 + self.rng.random_range(0..ADDRESSES);
        Server {
            address: format!("10.0.0.1:{port}").parse().expect("valid"),
            ..server(
                &name,
                service.expect("some"),
                self.rng.random_range(BORN..=LATER),
            )
        }
    }

    fn draw_list(&mut self) -> Vec<Server> {
        let count = self.rng.random_range(0..NAMES);
        let drawn = (0..count).map(|_| self.draw_server());
        let by_id: BTreeMap<_, _> = drawn.map(|s| (s.id.clone(), s)).collect();
        by_id.into_values().collect()
    }

    fn step(&mut self) {
        match self.rng.random_range(0..6) {
            0 | 1 => {
                let server = self.draw_server();
                self.entries.insert(server.id.clone(), server.clone());
                self.servers.put(server);
            }
            2 => {
                let gone = id(&format!("s{}", self.rng.random_range(0..NAMES)));
                self.entries.remove(&gone);
                self.servers.remove(&gone, now());
            }
            3 => {
                let list = self.draw_list();
                self.take(&list);
                self.servers.replace(list, now());
            }
            4 => {
                let list = self.draw_list();
                self.take(&list);
                self.servers.adopt(Listing::from(list), now(), now());
            }
            _ => {
                let all = [SERVICE, OTHER, UNNAMED];
                let names = all.into_iter().filter(|_| self.rng.random_bool(0.6));
                self.named = names.map(SmolStr::new).collect();
                self.servers.name_services(self.named.clone());
            }
        }
    }

    fn take(&mut self, list: &[Server]) {
        let by_id = list.iter().map(|s| (s.id.clone(), s.clone()));
        self.entries = by_id.collect();
    }

    /// Servers of a named service that are not followed by one of a named service at their address.
    fn expected(&self, service: &str) -> Vec<MemberId> {
        let is_named = |s: &&Server| self.named.contains(&s.service);
        let is_latest = |server: &Server| {
            let mut others = self.entries.values().filter(is_named);
            !others.any(|o| o.address == server.address && o.born > server.born)
        };
        let of_service = self.entries.values().filter(|s| s.service == service);
        let ready = of_service.filter(is_named).filter(|s| is_latest(s));
        ready.map(|s| s.id.clone()).collect()
    }
}

/// Guards against an index of addresses that drifts from the entries, in whichever order entries and
/// configurations come.
#[test]
fn drawn_series_of_entries_and_configurations() {
    for seed in 0..2_000 {
        let mut world = World::new(seed);
        for step in 0..60 {
            world.step();
            for service in world.named.clone() {
                let ready = world.servers.ready(&service).map(|s| s.id.clone());
                let ready: Vec<_> = ready.collect();
                let expected = world.expected(&service);
                assert_eq!(ready, expected, "seed {seed}, step {step}, {service}");
            }
        }
    }
}

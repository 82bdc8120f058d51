//! Route table: host and prefix matching, traffic split, priorities and API keys.

use std::time::Duration;

use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_decide::residency::AllowedRegions;
use apricothall_decide::routes::{Account, Accounts, CallKind, Caller, Route, RouteTable, Target};
use smol_str::SmolStr;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap: None,
        priority: 1,
        attempts: 2,
        public: false,
        resumable: false,
        targets: vec![target("main", 90), target("trial", 10)],
        regions: AllowedRegions::ANY,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

macro_rules! finds {
    ($($case:ident: $host:literal $path:literal => $name:expr;)*) => {
        $(#[test] fn $case() {
            let table = RouteTable::new(vec![
                route("root", "a.example", "/"),
                route("deep", "a.example", "/x/y/"),
                route("mid", "a.example", "/x/"),
            ]);
            let found = table.find($host, $path).map(|r| r.name.clone());
            assert_eq!(found, $name.map(SmolStr::new_static));
        })*
    };
}

finds! {
    longest_prefix_wins: "a.example" "/x/y/z" => Some("deep");
    shorter_prefix_where_the_longer_does_not_begin_the_path: "a.example" "/x/yy" => Some("mid");
    root_matches_the_remaining_paths: "a.example" "/q" => Some("root");
    host_in_other_case_and_with_a_port: "A.Example:8080" "/x/" => Some("mid");
    another_host_has_no_route: "b.example" "/x/y/" => None::<&'static str>;
}

macro_rules! splits {
    ($($case:ident: $draw:literal => $service:literal;)*) => {
        $(#[test] fn $case() {
            let found = route("r", "h", "/").service($draw).cloned();
            assert_eq!(found.as_deref(), Some($service));
        })*
    };
}

splits! {
    low_draw_selects_the_first_target: 0.0 => "main";
    draw_below_the_bound: 0.899 => "main";
    draw_above_the_bound: 0.901 => "trial";
    draw_at_the_end: 0.999_999 => "trial";
}

fn accounts() -> Accounts {
    let account = Account {
        name: "school".into(),
        priority: Some(0),
        regions: AllowedRegions::ANY,
    };
    Accounts::new([(account, vec!["k1".into(), "k2".into()])])
}

#[test]
fn known_key_identifies_its_account() {
    let caller = accounts().caller(&route("r", "h", "/"), Some("k2"));
    assert!(matches!(caller, Caller::Known(a) if a.name == "school"));
}

#[test]
fn revoked_key_is_unknown() {
    let caller = accounts().caller(&route("r", "h", "/"), Some("k3"));
    assert_eq!(caller, Caller::Unknown);
}

/// Guards against entry discovery that goes by one route of a host only.
#[test]
fn a_host_permits_the_regions_of_all_its_routes() {
    let allow = |prefix: &str, names: &[&str]| Route {
        regions: AllowedRegions::only(names.iter().map(|n| n.parse().expect("valid"))),
        ..route(prefix, "a.example", prefix)
    };
    let table = RouteTable::new(vec![
        allow("/x/", &["east", "west"]),
        allow("/y/", &["west"]),
        route("open", "a.example", "/z/"),
    ]);
    assert_eq!(table.host_regions("A.example").to_string(), "west");
    assert_eq!(table.host_regions("b.example"), AllowedRegions::ANY);
}

#[test]
fn an_account_is_found_by_its_name() {
    let accounts = accounts();
    assert_eq!(accounts.named("school").map(|a| a.priority), Some(Some(0)));
    assert_eq!(accounts.named("other"), None);
}

#[test]
fn a_public_route_needs_no_key() {
    let open = Route {
        public: true,
        ..route("r", "h", "/")
    };
    assert_eq!(accounts().caller(&open, None), Caller::Anonymous);
}

#[test]
fn no_key_is_required_without_accounts() {
    let caller = Accounts::default().caller(&route("r", "h", "/"), None);
    assert_eq!(caller, Caller::Anonymous);
}

#[test]
fn ranks_cover_all_routes_of_a_service() {
    let with_priority = |name: &str, service: &str, priority| Route {
        priority,
        targets: vec![target(service, 1)],
        ..route(name, "a.example", "/")
    };
    let table = RouteTable::new(vec![
        with_priority("draft", "drafts", 3),
        with_priority("hazard", "drafts", 1),
        with_priority("booking", "bookings", 2),
    ]);
    assert_eq!(table.rank("drafts", 1, &[]), Rank::URGENT);
    assert_eq!(table.rank("drafts", 3, &[]), Rank::BELOW_URGENT);
    assert_eq!(table.rank("bookings", 2, &[]), Rank::ONLY);
    assert_eq!(table.rank("none", 0, &[]), Rank::ONLY);
    assert_eq!(accounts().priorities(), [0]);
}

macro_rules! urgent {
    ($($case:ident: priority $priority:literal among $first:literal to $last:literal, accounts $accounts:expr => $urgent:literal;)*) => {
        $(#[test] fn $case() {
            let target = Duration::from_millis(300);
            let routes = ServicePriorities::new(&[($first, target), ($last, target)]);
            let accounts: Vec<u8> = Option::into_iter($accounts).collect();
            assert_eq!(routes.rank($priority, &accounts).is_highest(), $urgent);
        })*
    };
}

urgent! {
    highest_of_several_priorities: priority 1 among 1 to 3, accounts None => true;
    lower_priority: priority 3 among 1 to 3, accounts None => false;
    equal_priorities_have_no_highest: priority 1 among 1 to 1, accounts None => false;
    account_overrides_all_routes: priority 0 among 1 to 1, accounts Some(0) => true;
    routes_are_below_such_an_account: priority 1 among 1 to 3, accounts Some(0) => false;
    account_of_lower_priority_has_no_effect: priority 1 among 1 to 3, accounts Some(2) => true;
}

/// Indices of the ranks of `priorities`.
fn ranks(routes: &[(u8, u64)], accounts: &[u8], priorities: &[u8]) -> Vec<(usize, bool)> {
    let routes = routes
        .iter()
        .map(|(p, ms)| (*p, Duration::from_millis(*ms)));
    let routes = ServicePriorities::new(&routes.collect::<Vec<_>>());
    let ranks = priorities.iter().map(|p| routes.rank(*p, accounts));
    ranks.map(|r| (r.index(), r.is_protected())).collect()
}

macro_rules! ranked {
    ($($case:ident: routes $routes:expr, accounts $accounts:expr, $priorities:expr => $ranks:expr;)*) => {
        $(#[test] fn $case() {
            assert_eq!(ranks(&$routes, &$accounts, &$priorities), $ranks);
        })*
    };
}

ranked! {
    three_priorities_have_three_ranks: routes [(1, 300), (2, 300), (4, 300)], accounts [], [1, 2, 4]
        => [(0, true), (1, true), (2, true)];
    an_account_adds_a_rank: routes [(1, 300), (2, 300), (4, 300)], accounts [0, 2], [0, 1, 2, 4]
        => [(0, true), (1, true), (2, true), (3, true)];
    the_lowest_priorities_share_a_rank: routes [(1, 300), (2, 300), (4, 300), (5, 300), (6, 300)], accounts [], [1, 4, 5, 6]
        => [(0, true), (2, true), (3, true), (3, true)];
    two_priorities_with_equal_objectives_are_not_protected: routes [(1, 300), (2, 300)], accounts [], [1, 2]
        => [(0, false), (1, false)];
    a_shorter_objective_of_the_lower_priority_needs_no_protection: routes [(1, 900), (2, 300)], accounts [], [1, 2]
        => [(0, false), (1, false)];
    a_longer_objective_of_the_lower_priority_does: routes [(1, 300), (2, 900)], accounts [], [1, 2]
        => [(0, true), (1, true)];
    equal_priorities_with_different_objectives_have_one_rank: routes [(1, 300), (1, 900)], accounts [], [1, 1]
        => [(0, false), (0, false)];
}

//! Route table: host and prefix matching, traffic split, priorities and API keys.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::priorities::{Rank, ServicePriorities};
use apricothall_decide::residency::AllowedRegions;
use apricothall_decide::routes::{
    Account, Accounts, CallKind, Caller, Lookup, Route, RouteEntry, RouteTable, Target,
    UnusableAccounts, UnusableRoute, Weight,
};
use proptest::prelude::*;
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
        weight: weight.into(),
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

fn split(weights: &[f64]) -> Route {
    let names = ["first", "second", "third"];
    let targets = weights.iter().zip(names).map(|(weight, name)| Target {
        service: name.into(),
        weight: Weight::new(*weight).expect("a weight"),
    });
    Route {
        targets: targets.collect(),
        ..route("r", "h", "/")
    }
}

macro_rules! odd_splits {
    ($($(#[doc = $guards:literal])* $case:ident: $weights:expr, $draw:expr => $service:expr;)*) => {
        $($(#[doc = $guards])* #[test] fn $case() {
            let route = split(&$weights);
            assert_eq!(route.service($draw).map(SmolStr::as_str), $service);
        })*
    };
}

odd_splits! {
    /// Guards against shares that are fractions, which took a route away (review/8).
    a_draw_within_a_share_of_a_fraction: [99.5, 0.5], 0.994 => Some("first");
    a_draw_beyond_a_share_of_a_fraction: [99.5, 0.5], 0.996 => Some("second");
    shares_below_one: [0.25, 0.75], 0.26 => Some("second");
    a_tiny_share_gets_nothing_by_rounding: [1e300, 5e-324], 0.999_999 => Some("first");
    /// Guards against sums that are not finite, or beyond the type.
    huge_shares: [f64::MAX, f64::MAX], 0.49 => Some("first");
    the_other_of_huge_shares: [f64::MAX, f64::MAX], 0.51 => Some("second");
    shares_beyond_32_bits: [4_294_967_295.0, 4_294_967_295.0], 0.51 => Some("second");
    /// Guards against requests to a service that gets none.
    only_zero_shares: [0.0, 0.0], 0.5 => None;
    a_zero_share_at_the_end: [1.0, 0.0], 1.0 - f64::EPSILON / 2.0 => Some("first");
    a_zero_share_at_the_end_and_a_draw_of_one: [1.0, 0.0], 1.0 => Some("first");
    a_zero_share_at_the_start: [0.0, 1.0], 0.0 => Some("second");
    no_service: [0.0; 0], 0.5 => None;
}

macro_rules! weights {
    ($($case:ident: $text:literal => $found:expr;)*) => {
        $(#[test] fn $case() {
            let found: Option<Weight> = $text.parse().ok();
            assert_eq!(found.map(|w| w.to_string()).as_deref(), $found);
        })*
    };
}

weights! {
    weight_of_a_fraction: "99.5" => Some("99.5");
    whole_weight: "3" => Some("3");
    negative_weight: "-0.5" => None;
    weight_that_is_not_a_number: "NaN" => None;
    infinite_weight: "inf" => None;
    weight_that_is_text: "half" => None;
}

proptest! {
    /// Guards against shares of whole weights that differ from those before weights were fractions.
    #[test]
    fn whole_weights_keep_their_shares(weights in prop::collection::vec(0_u32..1_000, 1..4), draw in 0.0..1.0_f64) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let mut left = draw * f64::from(total);
        let found = weights.iter().position(|weight| {
            left -= f64::from(*weight);
            left < 0.0
        });
        let found = found.map(|index| ["first", "second", "third"][index]);
        let route = split(&weights.iter().map(|w| f64::from(*w)).collect::<Vec<_>>());
        prop_assert_eq!(route.service(draw).map(SmolStr::as_str), found);
    }
}

/// A table with a route that cannot be used below one that can.
fn table_with_unusable(hides_places: bool) -> RouteTable {
    let usable = |prefix: &str| RouteEntry::Usable(Arc::new(route(prefix, "a.example", prefix)));
    let unusable = RouteEntry::Unusable(Arc::new(UnusableRoute {
        name: "odd".into(),
        host: "a.example".into(),
        prefix: "/x/odd/".into(),
    }));
    RouteTable::with_unusable(
        vec![usable("/x/"), unusable, usable("/x/odd/deep/")],
        hides_places,
    )
}

macro_rules! places {
    ($($(#[doc = $guards:literal])* $case:ident: $hides:literal, $host:literal $path:literal => $found:literal;)*) => {
        $($(#[doc = $guards])* #[test] fn $case() {
            let table = table_with_unusable($hides);
            let found = match table.lookup($host, $path) {
                Lookup::Found(route) => route.name.as_str(),
                Lookup::Unusable(route) => route.name.as_str(),
                Lookup::Unknown => "unknown",
                Lookup::Missing => "missing",
            };
            assert_eq!(found, $found);
            assert_eq!(table.find($host, $path).is_some(), $found.starts_with('/'));
        })*
    };
}

places! {
    /// Guards against requests that a shorter prefix runs, as their own route cannot be used (review/8).
    an_unusable_route_keeps_its_place: false, "a.example" "/x/odd/1" => "odd";
    a_longer_prefix_goes_first: false, "A.example:80" "/x/odd/deep/1" => "/x/odd/deep/";
    a_shorter_prefix_has_the_rest: false, "a.example" "/x/1" => "/x/";
    nothing_matches: false, "a.example" "/y/" => "missing";
    nothing_matches_and_a_place_is_not_known: true, "b.example" "/y/" => "unknown";
    a_place_that_is_not_known_takes_no_other: true, "a.example" "/x/1" => "/x/";
}

macro_rules! unusable_accounts {
    ($($(#[doc = $guards:literal])* $case:ident: $hides:literal, $key:expr => $caller:literal;)*) => {
        $($(#[doc = $guards])* #[test] fn $case() {
            let account = Account { name: "school".into(), priority: None, regions: AllowedRegions::ANY };
            let unusable = UnusableAccounts {
                keys: [SmolStr::new_static("k9")].into(),
                hides_keys: $hides,
            };
            let accounts = Accounts::with_unusable([(account, vec!["k1".into()])], unusable);
            let caller = accounts.caller(&route("r", "h", "/"), $key);
            assert!(format!("{caller:?}").starts_with($caller), "{caller:?}");
        })*
    };
}

// Guard against keys that are denied for good, as their account cannot be used.
unusable_accounts! {
    key_of_a_usable_account: true, Some("k1") => "Known";
    key_of_an_unusable_account: false, Some("k9") => "Unusable";
    unknown_key: false, Some("k3") => "Unknown";
    unknown_key_beside_keys_that_cannot_be_read: true, Some("k3") => "Unusable";
    no_key_beside_keys_that_cannot_be_read: true, None => "Unknown";
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

//! Routes: host, longest prefix, split, and who may call.

use std::time::Duration;

use apricothall_decide::routes::{
    Account, Accounts, CallKind, Caller, PriorityRange, Route, RouteTable, Target,
    is_highest_priority,
};
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
    the_root_takes_the_rest: "a.example" "/q" => Some("root");
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
    low_draw_goes_to_the_large_share: 0.0 => "main";
    draw_below_the_bound: 0.899 => "main";
    draw_above_the_bound: 0.901 => "trial";
    draw_at_the_end: 0.999_999 => "trial";
}

fn accounts() -> Accounts {
    let account = Account {
        name: "school".into(),
        priority: Some(0),
    };
    Accounts::new([(account, vec!["k1".into(), "k2".into()])])
}

#[test]
fn a_key_names_its_account() {
    let caller = accounts().caller(&route("r", "h", "/"), Some("k2"));
    assert!(matches!(caller, Caller::Known(a) if a.name == "school"));
}

#[test]
fn a_key_that_was_taken_away_is_unknown() {
    let caller = accounts().caller(&route("r", "h", "/"), Some("k3"));
    assert_eq!(caller, Caller::Unknown);
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
fn without_accounts_nobody_needs_a_key() {
    let caller = Accounts::default().caller(&route("r", "h", "/"), None);
    assert_eq!(caller, Caller::Anonymous);
}

#[test]
fn a_service_knows_the_ranks_of_the_routes_that_lead_to_it() {
    let ranked = |name: &str, service: &str, priority| Route {
        priority,
        targets: vec![target(service, 1)],
        ..route(name, "a.example", "/")
    };
    let table = RouteTable::new(vec![
        ranked("draft", "drafts", 3),
        ranked("hazard", "drafts", 1),
        ranked("booking", "bookings", 2),
    ]);
    assert_eq!(
        table.priorities("drafts"),
        Some(PriorityRange {
            highest: 1,
            lowest: 3
        })
    );
    assert_eq!(
        table.priorities("bookings"),
        Some(PriorityRange {
            highest: 2,
            lowest: 2
        })
    );
    assert_eq!(table.priorities("none"), None);
    assert_eq!(accounts().highest_priority(), Some(0));
}

macro_rules! urgent {
    ($($case:ident: rank $rank:literal among $first:literal to $last:literal, accounts $accounts:expr => $urgent:literal;)*) => {
        $(#[test] fn $case() {
            let ranks = PriorityRange { highest: $first, lowest: $last };
            assert_eq!(is_highest_priority($rank, ranks, $accounts), $urgent);
        })*
    };
}

urgent! {
    the_first_of_several_ranks_is_the_most_urgent: rank 1 among 1 to 3, accounts None => true;
    a_lesser_rank_is_not: rank 3 among 1 to 3, accounts None => false;
    where_all_are_alike_nobody_is: rank 1 among 1 to 1, accounts None => false;
    an_account_may_go_before_all_routes: rank 0 among 1 to 1, accounts Some(0) => true;
    routes_follow_such_an_account: rank 1 among 1 to 3, accounts Some(0) => false;
    an_account_of_a_lesser_rank_changes_nothing: rank 1 among 1 to 3, accounts Some(2) => true;
}

//! Routes: host, longest prefix, split, and who may call.

use std::time::Duration;

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
    assert_eq!(accounts().caller(&open, None), Caller::Anyone);
}

#[test]
fn without_accounts_nobody_needs_a_key() {
    let caller = Accounts::default().caller(&route("r", "h", "/"), None);
    assert_eq!(caller, Caller::Anyone);
}

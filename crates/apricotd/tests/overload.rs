//! Under overload, critical requests are all served, limits hold, and other requests are served or
//! refused at once.

mod fixture;

use std::time::Duration;

use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::Verdict;
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::load::{Load, LoadPlan, LoadReport, ReferenceWeights};
use apricothall_standin::network::{Fault, Port, Rule, Side};
use apricothall_standin::plan::VmPlan;
use apricothall_types::{Class, Outcome};
use fixture::{MODEL, caller, catalogue, expected_digests, plan_with, start_serving};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Fleets under load run one at a time, so that they do not overload each other.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

fn start_load(fleet: &Fleet, name: &str, rate: f64, class: Class) -> Load {
    let options = CallOptions {
        class: Some(class),
        deadline: Some(Duration::from_secs(5)),
        ..CallOptions::default()
    };
    let plan = LoadPlan {
        rate,
        models: vec![MODEL.into()],
        tokens: (8, 12),
        options,
        seed: name.bytes().map(u64::from).sum(),
    };
    let weights = ReferenceWeights::default();
    for (version, digest) in expected_digests() {
        weights.add(version, digest);
    }
    Load::start(plan, vec![caller(fleet, name)], weights)
}

async fn wait_answers(load: &Load, count: u64) {
    let ended = async || match load.ended() {
        n if n >= count => Ok(()),
        n => Err(n.to_string()),
    };
    until("answers under load", ended).await.expect("answers");
}

/// Checks that all requests were either served whole or refused as not run. Connections to a killed
/// entry may break.
fn assert_served_or_refused(report: &LoadReport, killed: bool) {
    let refused = report.count(Verdict::Refused(Outcome::NotRun));
    let refused = refused
        + if killed {
            report.count(Verdict::Lost) + report.count(Verdict::Truncated)
        } else {
            0
        };
    let sum = report.whole() + refused;
    assert_eq!(
        sum, report.ended,
        "{:?} {:?} {:?}",
        report.verdicts, report.refusals, report.samples
    );
}

/// Two engines with 4 slots and 40 ms per request: at most 200 requests per second.
async fn small_fleet(limits: &str) -> Fleet {
    let engine = EngineSettings {
        slots: 4,
        base: Duration::from_millis(4),
        share: Duration::ZERO,
        prefill: Duration::ZERO,
        ..EngineSettings::default()
    };
    let entry = format!("class = \"critical\"\nlimits = {{ {limits} }}\nowner =");
    let catalogue = catalogue(1, 2, &[]).replacen("owner =", &entry, 1);
    start_serving(plan_with(2, 2, &engine, "").with_catalogue(catalogue)).await
}

/// Overload of class interactive alongside a low rate of critical requests.
macro_rules! overload {
    ($($case:ident: $rate:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let _guard = ONE_FLEET.lock().await;
            let fleet = small_fleet("rate = 10000, burst = 1000, caller = 10000").await;
            let interactive = start_load(&fleet, "crews", $rate, Class::Interactive);
            let critical = start_load(&fleet, "hazards", 25.0, Class::Critical);
            wait_answers(&critical, 50).await;
            let interactive = interactive.close().await;
            let critical = critical.close().await;
            assert_eq!(critical.whole(), critical.ended, "{:?} {:?}", critical.verdicts, critical.samples);
            assert_served_or_refused(&interactive, false);
            assert!(interactive.whole() > 0 && interactive.whole() < interactive.ended, "{:?}", interactive.verdicts);
            fleet.close().await;
        })*
    };
}

overload! {
    twice_the_capacity: 400.0;
    five_times_the_capacity: 1_000.0;
}

/// Requests that the limit of the catalogue admits in `span`, plus a tenth.
fn max_admitted(rate: u32, burst: u32, span: Duration) -> u64 {
    let millis = u64::try_from(span.as_millis()).expect("short");
    u64::from(rate) * millis * 11 / 10_000 + u64::from(burst)
}

/// One caller far above a limit of 60 requests per second, while the set of entries changes.
macro_rules! limits {
    ($($case:ident: $min_percent:expr, $killed:expr, |$fleet:ident| $change:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let _guard = ONE_FLEET.lock().await;
            #[allow(unused_mut, reason = "some changes need it")]
            let mut $fleet = small_fleet("rate = 60, burst = 12, caller = 60").await;
            let start = Instant::now();
            let large = start_load(&$fleet, "large", 240.0, Class::Interactive);
            wait_answers(&large, 200).await;
            $change;
            wait_answers(&large, 700).await;
            let span = start.elapsed();
            let report = large.close().await;
            assert_served_or_refused(&report, $killed);
            let limit = max_admitted(60, 12, span);
            assert!(report.whole() <= limit, "{} served in {span:?}, the limit admits {limit}", report.whole());
            assert!(report.whole() * 100 >= limit * $min_percent, "{} served in {span:?}, the limit admits {limit}", report.whole());
            $fleet.close().await;
        })*
    };
}

limits! {
    limit_holds: 70, false, |fleet| tokio::task::yield_now().await;
    limit_holds_while_gossip_is_silent: 40, false, |fleet| {
        for (from, to) in [("entry-0", "entry-1"), ("entry-1", "entry-0")] {
            fleet.network.inject(Rule::new(Side::vm(from), Side::vm(to), Fault::Cut).on(Port::Peers));
        }
    };
    limit_holds_while_an_entry_joins: 40, false, |fleet| {
        fleet.add(VmPlan::entry("entry-9", "lima", "lima-a").expect("valid")).await.expect("starts");
        fleet.ready().await.expect("ready");
    };
    limit_holds_while_an_entry_is_killed: 30, true, |fleet| fleet.node_mut("entry-1").kill().await;
}

/// Stops all entries for `span`, after which the requests of that time arrive at once.
async fn freeze_entries(fleet: &Fleet, span: Duration) {
    let entries = ["entry-0", "entry-1"].map(|id| fleet.node(id).process.as_ref().expect("runs"));
    for entry in entries {
        entry.freeze();
    }
    tokio::time::sleep(span).await;
    for entry in entries {
        entry.thaw();
    }
}

/// Nine callers far below an equal share of the limit, and one far above it, while entries pause.
macro_rules! small_callers {
    ($($case:ident: $pause:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let _guard = ONE_FLEET.lock().await;
            let fleet = small_fleet("rate = 100, burst = 100, caller = 100").await;
            let large = start_load(&fleet, "large", 300.0, Class::Interactive);
            let small = (0..9).map(|n| start_load(&fleet, &format!("small-{n}"), 4.0, Class::Interactive));
            let small: Vec<_> = small.collect();
            freeze_entries(&fleet, $pause).await;
            wait_answers(&large, 900).await;
            let large = large.close().await;
            assert_served_or_refused(&large, false);
            let (mut ended, mut whole, mut refusals) = (0, 0, Vec::new());
            for load in small {
                let report = load.close().await;
                assert_served_or_refused(&report, false);
                ended += report.ended;
                whole += report.whole();
                refusals.push(report.refusals);
            }
            assert!(whole * 100 >= ended * 95, "{whole} of {ended} served, {refusals:?}; large: {:?}", large.verdicts);
            fleet.close().await;
        })*
    };
}

small_callers! {
    small_callers_are_served_beside_a_large_one: Duration::ZERO;
    // Guard against refusals of small callers whose first requests come at once.
    small_callers_are_served_after_a_short_pause_of_entries: Duration::from_millis(300);
    small_callers_are_served_after_a_pause_of_entries: Duration::from_millis(700);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_say_when_to_come_back() {
    let _guard = ONE_FLEET.lock().await;
    let fleet = small_fleet("rate = 1, burst = 1, caller = 1").await;
    let caller = caller(&fleet, "crew");
    let refused = async || {
        let request = apricothall_standin::completion::completion(MODEL, "span", 2);
        let options = CallOptions {
            class: Some(Class::Interactive),
            ..CallOptions::default()
        };
        match caller.complete(request, &options).await.ended {
            apricothall_standin::completion::StreamEnd::Problem(problem) => Ok(problem),
            other => Err(format!("{other:?}")),
        }
    };
    let problem = until("a refusal", refused).await.expect("refuses");
    assert_eq!(problem.status.as_u16(), 429);
    assert_eq!(problem.outcome, Some(Outcome::NotRun));
    assert!(problem.retry.is_some_and(|seconds| seconds >= 1));
    fleet.close().await;
}

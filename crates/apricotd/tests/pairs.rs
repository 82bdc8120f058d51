//! Pairs of faults during a transfer of weights, with real daemons, completions and keyed bookings.

mod fixture;
#[path = "fixture/observer.rs"]
mod observer;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::completion::Verdict;
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::load::{Load, LoadPlan, LoadReport};
use apricothall_standin::network::{Fault, Side};
use apricothall_standin::node::Node;
use apricothall_standin::plan::Plan;
use apricothall_standin::server::Mode;
use apricothall_standin::weights::Corruption;
use apricothall_types::{Rate, Region};
use fixture::booking::{Booking, BookingHarness, POOL, Response, Routing};
use fixture::{
    DAEMON, MODEL, SERVICE, SHORT_PERIODS, catalogue, check_engine_runs, reference_weights,
    start_fleet, wait_serving, weights,
};
use observer::Observer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Regions, each with a zone, an entry and an agent of the pool.
const REGIONS: [&str; 3] = ["lima", "arequipa", "cusco"];

/// Engines with their regions.
const ENGINES: [(&str, &str); 4] = [
    ("engine-0", "lima"),
    ("engine-1", "lima"),
    ("engine-2", "arequipa"),
    ("engine-3", "cusco"),
];

/// Rate of store and origin until the faults are lifted, so that the transfer is still under way
/// when the first fault has been detected.
const SLOW_RATE: Rate = Rate::mbps(1);

/// Deadline of bookings, in milliseconds. Two in a row stay below `claims.opaque_horizon`, as is
/// assumed of callers that use a key alone.
const DEADLINE_MS: u64 = 900;

/// Bookings per second.
const BOOKINGS_PER_S: f64 = 12.0;

/// Completions per second in each region.
const COMPLETIONS_PER_S: f64 = 10.0;

/// Time for which both faults last. The checks do not depend on it.
const FAULT_DURATION: Duration = Duration::from_secs(1);

/// Limit of fleets that run at once.
static FLEET_SLOTS: Semaphore = Semaphore::const_new(3);

/// One fault of a pair.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The daemon of a VM is killed; the VM is removed from the list at the end.
    Kill(&'static str),
    /// The daemon of a VM is frozen.
    Freeze(&'static str),
    /// Two regions are partitioned.
    Partition(&'static str, &'static str),
    /// The link between an entry and an agent is cut.
    Cut(&'static str, &'static str),
    /// The configuration service is down.
    Configuration,
    /// The VM list is not updated.
    List,
    /// The weight store is down.
    Store,
    /// The engine of an agent restarts.
    Engine(&'static str),
    /// Chunks of version 2 are corrupt at the store.
    Corrupt,
    /// Version 3 is published.
    Publish,
}

impl Failure {
    fn begin(self, fleet: &Fleet) {
        let platform = &fleet.platform;
        let process = |id| fleet.node(id).process.as_ref().expect("runs");
        match self {
            Self::Kill(id) => process(id).kill(),
            Self::Freeze(id) => process(id).freeze(),
            Self::Partition(a, b) => cut_link(fleet, &region(a), &region(b)),
            Self::Cut(a, b) => cut_link(fleet, &Side::vm(a), &Side::vm(b)),
            Self::Configuration => platform.config.set_mode(Mode::Refuse),
            Self::List => platform.vms.set_held(true),
            Self::Store => platform.store.set_mode(Mode::Refuse),
            Self::Engine(id) => fleet.node(id).engines[0].restart(),
            Self::Corrupt => corrupt_chunks(fleet),
            Self::Publish => publish(fleet, 3),
        }
    }

    /// Waits until the fault appears in a membership view, for faults that are visible there.
    async fn wait_visible(self, fleet: &Fleet) {
        let (Self::Kill(id) | Self::Freeze(id)) = self else {
            return;
        };
        let seen = fleet.status_until("entry-0", "the fault", |status| {
            let mut members = status["members"].as_array().into_iter().flatten();
            !members.any(|m| m["id"] == id && m["state"] == "alive")
        });
        seen.await.expect("seen in time");
    }

    fn lift(self, fleet: &Fleet) {
        let platform = &fleet.platform;
        match self {
            Self::Kill(id) => {
                platform.vms.remove_vm(&id.parse().expect("valid id"));
            }
            Self::Freeze(id) => fleet.node(id).process.as_ref().expect("runs").thaw(),
            Self::Partition(..) | Self::Cut(..) => fleet.network.heal(),
            Self::Configuration => platform.config.set_mode(Mode::Open),
            Self::List => platform.vms.set_held(false),
            Self::Store => platform.store.set_mode(Mode::Open),
            Self::Corrupt => platform.store.clear_corruption(),
            Self::Engine(_) | Self::Publish => {}
        }
    }

    fn kills(self, id: &str) -> bool {
        matches!(self, Self::Kill(killed) if killed == id)
    }
}

fn region(name: &str) -> Side {
    Side::Region(name.parse::<Region>().expect("valid region"))
}

fn cut_link(fleet: &Fleet, a: &Side, b: &Side) {
    let _ = fleet.network.add_both(a, b, &Fault::Cut);
}

fn corrupt_chunks(fleet: &Fleet) {
    for chunk in 0..16 {
        let store = &fleet.platform.store;
        store.corrupt(weights(2).digest, chunk, Corruption::Always);
    }
}

/// Sets the rate of store and origin.
fn set_rates(fleet: &Fleet, rate: Option<Rate>) {
    fleet.platform.store.set_rate(rate);
    fleet.platform.origin.set_rate(rate);
}

fn publish(fleet: &Fleet, version: u64) {
    let text = catalogue(version, ENGINES.len(), &POOL);
    fleet.platform.config.publish("catalogue", text);
}

fn plan() -> Plan {
    let mut plan = Plan::new(DAEMON, "lima", "lima-a").expect("valid plan");
    plan = plan.with_settings(SHORT_PERIODS).expect("valid settings");
    for (i, region) in REGIONS.into_iter().enumerate() {
        let zone = format!("{region}-a");
        plan = plan
            .entry(&format!("entry-{i}"), region, &zone)
            .expect("valid id");
        plan = plan
            .service(POOL[i], region, &zone, SERVICE)
            .expect("valid id");
    }
    for (id, region) in ENGINES {
        let zone = format!("{region}-a");
        plan = plan
            .engine(id, region, &zone, EngineSettings::default())
            .expect("valid id");
    }
    plan.with_catalogue(catalogue(1, ENGINES.len(), &POOL))
}

/// Starts a load of completions in each region, through its entry while that is available.
fn start_completions(fleet: &mut Fleet, seed: u64) -> Vec<Load> {
    let known: Vec<_> = fleet.entries().map(Node::callers).collect();
    let mut loads = Vec::new();
    for (i, region) in REGIONS.into_iter().enumerate() {
        let zone = format!("{region}-a");
        let ip = fleet.client(&format!("crew-{i}"), region, &zone);
        let mut known = known.clone();
        known.rotate_left(i);
        let caller = Caller::new("crew", Some(ip.expect("an address")), known);
        let plan = LoadPlan {
            rate: COMPLETIONS_PER_S,
            models: vec![MODEL.into()],
            tokens: (4, 12),
            options: CallOptions::default(),
            seed: seed * 10 + i as u64,
        };
        loads.push(Load::start(plan, vec![caller], reference_weights()));
    }
    loads
}

/// Sends a call through one entry and, if that does not answer it, through another. Every third
/// call is sent through both at once.
async fn send_booking(harness: Arc<BookingHarness>, number: u64, first: usize) -> Booking {
    let routing = if number.is_multiple_of(2) {
        Routing::Ticket
    } else {
        Routing::Key
    };
    let booking = harness
        .new_booking_with(routing, &format!("pair-{number}"))
        .await;
    let entries = [first, (first + 1) % REGIONS.len()].map(|i| format!("entry-{i}"));
    let send = |i: usize| harness.send(&entries[i], &booking, DEADLINE_MS);
    if number.is_multiple_of(3) {
        tokio::join!(send(0), send(1));
    } else if send(0).await != Response::Answered {
        send(1).await;
    }
    booking
}

/// Starts calls at random, seeded times until `stop` is set, then waits for all of them.
async fn send_bookings(
    harness: Arc<BookingHarness>,
    seed: u64,
    stop: Arc<AtomicBool>,
) -> Vec<Booking> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let uniform: f64 = 1.0 - rng.random::<f64>();
        tokio::time::sleep(Duration::from_secs_f64(-uniform.ln() / BOOKINGS_PER_S)).await;
        let first = rng.random_range(0..REGIONS.len());
        calls.spawn(send_booking(harness.clone(), number, first));
        number += 1;
    }
    calls.join_all().await
}

/// Whether the agent of an engine holds a partial further version.
async fn has_partial_version(fleet: &Fleet) -> bool {
    let size = weights(1).bytes.len() as u64;
    for (id, _) in ENGINES {
        let Ok(status) = fleet.node(id).status().await else {
            continue;
        };
        let held = status["weights"]["bytes"].as_u64().unwrap_or(0);
        if held % size != 0 {
            return true;
        }
    }
    false
}

async fn wait_transfer(fleet: &Fleet) {
    let check = async || {
        let begun = has_partial_version(fleet).await;
        begun.then_some(()).ok_or("no partial version".to_owned())
    };
    until("a transfer", check).await.expect("begins");
}

/// Waits until all living entries see all living agents serve the last version.
async fn wait_converged(fleet: &Fleet, pair: [Failure; 2]) {
    let published = |f: &Failure| matches!(f, Failure::Publish);
    let version = if pair.iter().any(published) { "3" } else { "2" };
    let living = |id: &str| !pair.iter().any(|f| f.kills(id));
    for entry in fleet.entries().filter(|n| living(&n.plan.id)) {
        for (id, _) in ENGINES.into_iter().filter(|(id, _)| living(id)) {
            wait_serving(fleet, &entry.plan.id, id, version).await;
        }
    }
}

fn check_load(report: &LoadReport, entry: &str, pair: [Failure; 2]) {
    for verdict in [Verdict::Mixed, Verdict::OutOfSequence] {
        assert_eq!(report.count(verdict), 0, "{:?}", report.samples);
    }
    assert!(report.whole() > 0, "{entry} served nothing");
    let lost = report.count(Verdict::Lost) + report.count(Verdict::Truncated);
    let killed = pair.iter().any(|f| f.kills(entry));
    assert!(killed || lost == 0, "{entry}: {:?}", report.samples);
}

async fn run(name: &str, seed: u64, pair: [Failure; 2]) {
    let _turn = FLEET_SLOTS.acquire().await.expect("never closed");
    let mut fleet = start_fleet(plan()).await;
    for entry in fleet.entries() {
        for (id, _) in ENGINES {
            wait_serving(&fleet, &entry.plan.id, id, "1").await;
        }
    }
    fleet.ready().await.expect("ready");
    set_rates(&fleet, Some(SLOW_RATE));
    let loads = start_completions(&mut fleet, seed);
    let observer = Observer::start(&fleet);
    let harness = Arc::new(BookingHarness::with_fleet(fleet, Routing::Key));
    harness.wait_settled(&POOL).await;
    let stop = Arc::new(AtomicBool::new(false));
    let calls = tokio::spawn(send_bookings(harness.clone(), seed, stop.clone()));

    let fleet = &harness.fleet;
    publish(fleet, 2);
    wait_transfer(fleet).await;
    pair[0].begin(fleet);
    pair[0].wait_visible(fleet).await;
    assert!(has_partial_version(fleet).await, "the transfer has ended");
    pair[1].begin(fleet);
    tokio::time::sleep(FAULT_DURATION).await;
    for failure in pair {
        failure.lift(fleet);
    }
    set_rates(fleet, None);
    wait_converged(fleet, pair).await;

    stop.store(true, Ordering::Relaxed);
    let calls = calls.await.expect("all bookings end");
    for (i, load) in loads.into_iter().enumerate() {
        let report = load.close().await;
        println!("{name} entry-{i}: {:?}", report.verdicts);
        check_load(&report, &format!("entry-{i}"), pair);
    }
    observer.close().await;
    check_engine_runs(fleet);
    let calls: Vec<_> = calls.iter().collect();
    harness.check(&calls);
    let ran = calls.iter().filter(|b| harness.executions(b) == 1).count();
    assert!(ran > 0, "no booking was executed");
    println!("{name}: {ran} of {} bookings executed", calls.len());
    let harness = Arc::into_inner(harness).expect("all tasks have finished");
    harness.fleet.close().await;
}

macro_rules! pairs {
    ($($case:ident: $seed:literal, $first:expr, $second:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() {
            use Failure::*;
            run(stringify!($case), $seed, [$first, $second]).await;
        })*
    };
}

pairs! {
    agent_killed_and_entry_frozen: 1, Kill("engine-1"), Freeze("entry-1");
    entry_killed_and_agent_frozen: 2, Kill("entry-1"), Freeze("engine-0");
    desk_killed_and_regions_cut: 3, Kill("desk-0"), Partition("lima", "arequipa");
    regions_cut_and_entry_killed: 4, Partition("arequipa", "cusco"), Kill("entry-1");
    agent_frozen_and_regions_cut: 5, Freeze("engine-2"), Partition("lima", "cusco");
    list_held_and_agent_killed: 6, List, Kill("engine-1");
    configuration_down_and_regions_cut: 7, Configuration, Partition("lima", "cusco");
    store_down_and_agent_killed: 8, Store, Kill("engine-3");
    entry_cut_from_desk_and_desk_frozen: 9, Cut("entry-0", "desk-1"), Freeze("desk-2");
    engine_restarts_and_entry_killed: 10, Engine("engine-2"), Kill("entry-2");
    corrupt_chunks_and_regions_cut: 11, Corrupt, Partition("arequipa", "cusco");
    second_version_and_agent_frozen: 12, Publish, Freeze("engine-0");
    entry_frozen_and_desk_killed: 13, Freeze("entry-1"), Kill("desk-2");
}

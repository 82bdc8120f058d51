//! Configuration converges on all daemons and never reverts, with faults of the configuration
//! service.

#[path = "fixture/mod.rs"]
mod fixture;
#[path = "fixture/observer.rs"]
mod observer;

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall_standin::config::View;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::network::{Fault, Port, Rule, Side};
use apricothall_standin::plan::{Plan, VmPlan};
use apricothall_standin::server::Mode;
use apricothall_types::Revision;
use fixture::{DAEMON, SHORT_PERIODS, catalogue, running_daemons, start_fleet};
use observer::Observer;

/// Zones, each in a region of its own.
const ZONES: [&str; 3] = ["lima", "arequipa", "cusco"];
/// Reads of the service to wait for, so that the faulty responses have been seen repeatedly.
const MIN_READS: u64 = 20;
/// Delay of messages from peers to a newly started process.
const PEER_DELAY: Duration = Duration::from_millis(300);
/// Upper bound of daemons per zone that read a subject from the service.
const MAX_READERS: usize = 3;

/// Two entries in each zone, with a short wait of the configuration watch.
fn three_zones() -> Plan {
    let mut plan = Plan::new(DAEMON, "lima", "lima-a").expect("valid plan");
    plan = plan.with_settings(SHORT_PERIODS).expect("valid settings");
    let wait = "revision.wait = '200ms'";
    plan = plan.with_settings(wait).expect("valid settings");
    for region in ZONES {
        for i in 0..2 {
            let (id, zone) = (format!("{region}-{i}"), format!("{region}-a"));
            plan = plan.entry(&id, region, &zone).expect("valid id");
        }
    }
    plan.with_catalogue(catalogue_text(1))
}

/// Catalogue text published as revision `number`.
fn catalogue_text(number: usize) -> String {
    catalogue(1, number, &[])
}

fn publish(fleet: &Fleet, number: usize) {
    let revision = fleet
        .platform
        .config
        .publish("catalogue", catalogue_text(number));
    assert_eq!(revision, Revision(number as u64));
}

async fn wait_in_force(fleet: &Fleet, id: &str, revision: u64) {
    let what = format!("revision {revision}");
    let seen = fleet.status_until(id, &what, |s| s["catalogue"]["revision"] == revision);
    seen.await.expect("in force in time");
}

/// Waits until `revision` is in force at all running daemons.
async fn wait_in_force_everywhere(fleet: &Fleet, revision: u64) {
    for id in running_daemons(fleet).keys() {
        wait_in_force(fleet, id, revision).await;
    }
}

/// Waits until the service has received `count` more reads.
async fn wait_reads(fleet: &Fleet, count: u64) {
    let before = fleet.platform.config.reads().total;
    let check = async || {
        let total = fleet.platform.config.reads().total;
        if total >= before + count {
            Ok(())
        } else {
            Err(format!("{total} reads"))
        }
    };
    until("reads of the service", check).await.expect("asked");
}

/// Revision in force when the catalogue stops blocking the readiness of `id`.
async fn first_ready_revision(fleet: &Fleet, id: &str) -> u64 {
    let node = fleet.node(id);
    let check = async || {
        let answer = node.operator("/readyz").await.map_err(|e| e.to_string())?;
        let reason = String::from_utf8_lossy(&answer.body).into_owned();
        if reason.contains("is not known yet") {
            return Err(reason);
        }
        node.status().await.map_err(|e| e.to_string())
    };
    let status = until("readiness of the catalogue", check).await;
    let status = status.expect("known in time");
    status["catalogue"]["revision"].as_u64().expect("a number")
}

macro_rules! never_reverts {
    ($($case:ident: |$fleet:ident| $body:block => $revision:literal;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            #[allow(unused_mut, reason = "some rows change the fleet")]
            let mut $fleet = start_fleet(three_zones()).await;
            wait_in_force_everywhere(&$fleet, 1).await;
            let observer = Observer::start(&$fleet);
            $body
            wait_in_force_everywhere(&$fleet, $revision).await;
            observer.close().await;
            $fleet.close().await;
        })*
    };
}

never_reverts! {
    service_down: |fleet| {
        fleet.platform.config.set_mode(Mode::Refuse);
        publish(&fleet, 2);
        let vm = VmPlan::entry("lima-9", "lima", "lima-a").expect("valid id");
        fleet.add(vm).await.expect("starts");
        wait_in_force(&fleet, "lima-9", 1).await;
        fleet.ready().await.expect("ready without the service");
        fleet.platform.config.set_mode(Mode::Open);
    } => 2;
    service_stale: |fleet| {
        publish(&fleet, 2);
        wait_in_force_everywhere(&fleet, 2).await;
        fleet.platform.config.set_view(View::Stale(Revision(1)));
        wait_reads(&fleet, MIN_READS).await;
        wait_in_force_everywhere(&fleet, 2).await;
        publish(&fleet, 3);
        fleet.platform.config.set_view(View::Newest);
    } => 3;
    service_flaps_between_two_revisions: |fleet| {
        publish(&fleet, 2);
        fleet.platform.config.set_view(View::Flapping(Revision(1), Revision(2)));
        wait_reads(&fleet, MIN_READS).await;
        wait_in_force_everywhere(&fleet, 2).await;
        wait_reads(&fleet, MIN_READS).await;
    } => 2;
    readable_from_one_zone_only: |fleet| {
        let far = fleet.sources(|vm| vm.zone.as_str() != "lima-a");
        fleet.platform.config.block(far);
        publish(&fleet, 2);
    } => 2;
    process_starts_while_the_service_is_stale: |fleet| {
        publish(&fleet, 2);
        wait_in_force_everywhere(&fleet, 2).await;
        fleet.platform.config.set_view(View::Stale(Revision(1)));
        // Peers answer later than the stale service.
        let (base, jitter) = (PEER_DELAY, Duration::ZERO);
        let late = Fault::Delay { base, jitter };
        fleet.network.inject(Rule::new(Side::Any, Side::vm("cusco-9"), late).on(Port::Peers));
        let vm = VmPlan::entry("cusco-9", "cusco", "cusco-a").expect("valid id");
        fleet.add(vm).await.expect("starts");
        assert_eq!(first_ready_revision(&fleet, "cusco-9").await, 2, "ready with an old revision");
    } => 2;
    woken_process_with_an_old_revision: |fleet| {
        let frozen = fleet.node("arequipa-1").process.as_ref().expect("runs");
        frozen.freeze();
        publish(&fleet, 2);
        for id in running_daemons(&fleet).keys().filter(|id| *id != "arequipa-1") {
            wait_in_force(&fleet, id, 2).await;
        }
        fleet.platform.config.set_mode(Mode::Refuse);
        frozen.thaw();
    } => 2;
    invalid_revision: |fleet| {
        fleet.platform.config.publish("catalogue", "no [ catalogue");
        let check = async || {
            for node in fleet.nodes.values() {
                let status = node.status().await.map_err(|e| e.to_string())?;
                let refused = status["catalogue"]["refused"].as_array();
                if refused.is_some_and(|r| r.iter().any(|r| r["revision"] == 2)) {
                    return Ok(());
                }
            }
            Err("no daemon refused the revision".to_owned())
        };
        until("a refusal", check).await.expect("refused");
        wait_reads(&fleet, MIN_READS).await;
        wait_in_force_everywhere(&fleet, 1).await;
        publish(&fleet, 3);
    } => 3;
    two_operators_publish_at_once: |fleet| {
        publish(&fleet, 2);
        publish(&fleet, 3);
    } => 3;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_readers_of_a_zone_ask_the_service() {
    let mut plan = fixture::plan(8, 0).with_catalogue(catalogue_text(1));
    let wait = "revision.wait = '200ms'";
    plan = plan.with_settings(wait).expect("valid settings");
    let fleet = start_fleet(plan).await;
    wait_in_force_everywhere(&fleet, 1).await;
    for id in running_daemons(&fleet).keys() {
        let all = |s: &serde_json::Value| s["members"].as_array().is_some_and(|m| m.len() == 8);
        let seen = fleet.status_until(id, "all members", all).await;
        seen.expect("all members in time");
    }
    // Lets reads end that began before all members were known.
    wait_reads(&fleet, MIN_READS).await;
    let before = fleet.platform.config.reads();
    wait_reads(&fleet, 2 * MIN_READS).await;
    let after = fleet.platform.config.reads();
    let count = |reads: &apricothall_standin::config::Reads, ip| reads.sources.get(ip).copied();
    let grown = after.sources.keys();
    let grown: BTreeSet<_> = grown
        .filter(|ip| count(&after, ip) > count(&before, ip))
        .collect();
    assert!(grown.len() <= MAX_READERS, "{grown:?} read");
    assert_eq!(after.refused, 0, "reads beyond the budget");
    fleet.close().await;
}

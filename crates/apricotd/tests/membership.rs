//! Membership views of real daemons that freeze, crash, restart and are partitioned.

#[path = "fixture/mod.rs"]
mod fixture;
#[path = "fixture/observer.rs"]
mod observer;

use std::time::Duration;

use apricothall_standin::fleet::Fleet;
use apricothall_standin::network::{Fault, Side};
use apricothall_standin::plan::{Plan, VmPlan};
use apricothall_standin::process::Process;
use apricothall_types::MemberId;
use fixture::{DAEMON, SHORT_PERIODS, catalogue, running_daemons, start_fleet};
use observer::Observer;
use serde_json::Value;

/// Time limit for the exit of a daemon that must stop.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// Two entries in each of two regions.
fn two_regions() -> Plan {
    let mut plan = Plan::new(DAEMON, "lima", "lima-a").expect("valid plan");
    plan = plan.with_settings(SHORT_PERIODS).expect("valid settings");
    for (id, region) in [
        ("a-0", "lima"),
        ("a-1", "lima"),
        ("b-0", "cusco"),
        ("b-1", "cusco"),
    ] {
        plan = plan
            .entry(id, region, &format!("{region}-a"))
            .expect("valid id");
    }
    plan.with_catalogue(catalogue(1, 1, &[]))
}

fn member<'a>(status: &'a Value, id: &str) -> Option<&'a Value> {
    let members = status["members"].as_array()?;
    members.iter().find(|m| m["id"] == id)
}

fn state(status: &Value, id: &str) -> String {
    let found = member(status, id).and_then(|m| m["state"].as_str());
    found.unwrap_or("unknown").to_owned()
}

/// Waits until `observer` sees `id` in the state `wanted`.
async fn wait_state(fleet: &Fleet, observer: &str, id: &str, wanted: &str) {
    let what = format!("{id} as {wanted}");
    let found = fleet.status_until(observer, &what, |s| state(s, id) == wanted);
    found.await.expect("seen in time");
}

/// Waits until all other running daemons see `id` in the state `wanted`.
async fn wait_state_at_all(fleet: &Fleet, id: &str, wanted: &str) {
    for observer in running_daemons(fleet).keys().filter(|o| *o != id) {
        wait_state(fleet, observer, id, wanted).await;
    }
}

/// Waits until all running daemons see each other as alive.
async fn wait_all_alive(fleet: &Fleet) {
    for id in running_daemons(fleet).keys() {
        wait_state_at_all(fleet, id, "alive").await;
    }
}

async fn incarnation(fleet: &Fleet, id: &str) -> u64 {
    let status = fleet.node(id).status().await.expect("answers");
    status["daemon"]["incarnation"].as_u64().expect("a number")
}

fn id(text: &str) -> MemberId {
    text.parse().expect("valid id")
}

macro_rules! rejoins {
    ($($case:ident: |$fleet:ident| $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            #[allow(unused_mut, reason = "some rows change the fleet")]
            let mut $fleet = start_fleet(two_regions()).await;
            wait_all_alive(&$fleet).await;
            let observer = Observer::start(&$fleet);
            $body
            wait_all_alive(&$fleet).await;
            observer.close().await;
            $fleet.close().await;
        })*
    };
}

rejoins! {
    frozen_daemon_is_gone_until_it_wakes: |fleet| {
        let process = fleet.node("a-1").process.as_ref().expect("runs");
        process.freeze();
        wait_state_at_all(&fleet, "a-1", "gone").await;
        process.thaw();
    }
    killed_daemon_is_gone: |fleet| {
        fleet.node_mut("b-1").kill().await;
        wait_state_at_all(&fleet, "b-1", "gone").await;
    }
    restart_on_the_same_vm_supersedes: |fleet| {
        let old = incarnation(&fleet, "b-1").await;
        fleet.node_mut("b-1").kill().await;
        fleet.node_mut("b-1").launch().expect("starts");
        for observer in ["a-0", "a-1", "b-0"] {
            let newer = |s: &Value| {
                let record = member(s, "b-1");
                record.is_some_and(|m| m["incarnation"].as_u64() > Some(old) && m["state"] == "alive")
            };
            let found = fleet.status_until(observer, "the new incarnation", newer);
            found.await.expect("seen in time");
        }
    }
    partition_heals: |fleet| {
        let (lima, cusco) = ("lima".parse().expect("valid"), "cusco".parse().expect("valid"));
        let sides = (Side::Region(lima), Side::Region(cusco));
        let rules = fleet.network.add_both(&sides.0, &sides.1, &Fault::Cut);
        wait_state(&fleet, "a-0", "b-0", "gone").await;
        wait_state(&fleet, "b-1", "a-1", "gone").await;
        fleet.network.remove_rules(&rules);
    }
    stale_list_does_not_hide_a_newcomer: |fleet| {
        fleet.platform.vms.set_held(true);
        let vm = VmPlan::entry("b-9", "cusco", "cusco-a").expect("valid id");
        fleet.add(vm).await.expect("starts");
        wait_state_at_all(&fleet, "b-9", "alive").await;
    }
    list_that_drops_a_living_vm_changes_nothing: |fleet| {
        let revision = fleet.platform.vms.remove_vm(&id("a-1")).0;
        for observer in running_daemons(&fleet).keys() {
            let read = |s: &Value| s["vms"]["revision"] == revision;
            let found = fleet.status_until(observer, "the new list", read);
            let status = found.await.expect("read in time");
            assert_eq!(state(&status, "a-1"), "alive");
        }
    }
    leaving_by_the_list_alone: |fleet| {
        fleet.platform.vms.mark_leaving(&id("a-1"));
        wait_left(&mut fleet, "a-1").await;
    }
}

/// Waits until a leaving daemon has exited and all others see it as gone.
async fn wait_left(fleet: &mut Fleet, id: &str) {
    let node = fleet.node_mut(id);
    let mut process = node.process.take().expect("runs");
    process.wait(EXIT_LIMIT).await.expect("ends");
    wait_state_at_all(fleet, id, "gone").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_daemons_with_one_id_the_older_exits() {
    let mut fleet = start_fleet(two_regions()).await;
    wait_all_alive(&fleet).await;
    let old = fleet.node("a-1").ip.to_string();
    let ip = fleet.client("a-1", "lima", "lima-a").expect("an address");
    let text = std::fs::read_to_string(fleet.node("a-1").settings_path()).expect("settings");
    // The second daemon has no proxies, so its settings use its own ports.
    let text = text.replace(&old, &ip.to_string());
    let text = text.replace(":7000", ":7001").replace(":7080", ":7081");
    let path = fleet.run_dir().join("second.toml");
    std::fs::write(&path, text).expect("written");
    let program = std::path::Path::new(DAEMON);
    let args = ["entry", "--config", &path.to_string_lossy()];
    let second = Process::spawn("second", program, &args, fleet.run_dir()).expect("starts");
    let mut first = fleet.node_mut("a-1").process.take().expect("runs");
    first
        .wait(EXIT_LIMIT)
        .await
        .expect("the older daemon exits");
    for observer in ["a-0", "b-0", "b-1"] {
        let address = format!("{ip}:7001");
        let moved = |s: &Value| {
            member(s, "a-1").is_some_and(|m| m["address"] == address && m["state"] == "alive")
        };
        let found = fleet.status_until(observer, "the later daemon", moved);
        found.await.expect("seen in time");
    }
    second.close().await;
    fleet.close().await;
}

//! A VM that leaves gets no new work after a few seconds, and a planned stop interrupts no request.

mod fixture;

use std::time::Duration;

use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::{StreamEnd, completion};
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::load::{Load, LoadPlan, LoadReport};
use apricothall_standin::node::Node;
use apricothall_standin::process::Process;
use apricothall_standin::server::Mode;
use apricothall_types::Outcome;
use fixture::{
    MODEL, assert_whole, caller, catalogue, plan_with, reference_weights, start_serving,
};
use serde_json::Value;
use tokio::time::Instant;

/// Maximum time from the leave signal to the start of the last run.
const LAST_RUN_LIMIT: Duration = Duration::from_secs(3);

/// Maximum time until a leaving daemon exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Tokens of a stream that outlasts all grace periods.
const LONG_STREAM_TOKENS: u32 = 1_200;

/// Interval at which a leaving engine is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn fleet(entries: usize, engines: usize) -> Fleet {
    let extra = "retry.silence = '1s'\n";
    // Enough slots for the long streams and the load together, also on the only remaining engine.
    let mut engine = EngineSettings::default();
    (engine.slots, engine.share) = (32, Duration::from_micros(200));
    let plan = plan_with(entries, engines, &engine, extra);
    start_serving(plan.with_catalogue(catalogue(1, engines, &[]))).await
}

fn start_load(fleet: &Fleet, tokens: (u32, u32)) -> Load {
    let plan = LoadPlan {
        rate: 40.0,
        models: vec![MODEL.into()],
        tokens,
        options: CallOptions::default(),
        seed: 7,
    };
    Load::start(plan, vec![caller(fleet, "crew")], reference_weights())
}

/// Waits until the load has received `count` answers since the last `take`.
async fn wait_answers(load: &Load, count: u64) {
    let ended = async || match load.ended() {
        n if n >= count => Ok(()),
        n => Err(n.to_string()),
    };
    until("answers under load", ended).await.expect("answers");
}

fn assert_all_whole(report: &LoadReport) {
    let (ended, whole) = (report.ended, report.whole());
    assert!(
        ended > 0 && whole == ended,
        "{:?} {:?} {:?}",
        report.verdicts,
        report.refusals,
        report.samples
    );
}

fn process(node: &Node) -> &Process {
    node.process.as_ref().expect("runs")
}

/// Returns the time of the last new run at the engine of `id`; its daemon must exit with success.
async fn last_run(fleet: &mut Fleet, id: &str) -> Instant {
    let mut last = Instant::now();
    let mut seen = fleet.node(id).engines[0].runs().len();
    let end = Instant::now() + EXIT_TIMEOUT;
    loop {
        let node = fleet.node_mut(id);
        let runs = node.engines[0].runs().len();
        if runs != seen {
            (seen, last) = (runs, Instant::now());
        }
        let process = node.process.as_mut().expect("runs");
        if let Some(status) = process.status().expect("has a status") {
            assert!(status.success(), "{status}: {}", process.tail());
            return last;
        }
        assert!(
            Instant::now() < end,
            "the daemon still runs: {}",
            process.tail()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// An agent leaves under load after one leave signal; all answers stay complete.
macro_rules! leave_signals {
    ($($case:ident: |$fleet:ident| $signal:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let mut $fleet = fleet(2, 3).await;
            let load = start_load(&$fleet, (5, 15));
            wait_answers(&load, 20).await;
            $signal;
            let since = Instant::now();
            let last = last_run(&mut $fleet, "engine-0").await;
            assert!(last < since + LAST_RUN_LIMIT, "a run started {:?} after the leave signal", last.duration_since(since));
            let _ = load.take();
            wait_answers(&load, 20).await;
            assert_all_whole(&load.close().await);
            $fleet.close().await;
        })*
    };
}

fn mark_leaving_vm(fleet: &Fleet) {
    let id = fleet.node("engine-0").vm().expect("valid").id;
    let _ = fleet.platform.vms.mark_leaving(&id);
}

leave_signals! {
    by_signal: |fleet| process(fleet.node("engine-0")).terminate();
    by_vm_list: |fleet| mark_leaving_vm(&fleet);
    by_peers_alone: |fleet| {
        let own = fleet.sources(|vm| vm.id == "engine-0");
        fleet.platform.vms.block(own);
        mark_leaving_vm(&fleet);
    };
    // Guards against the incident DRAIN on this path: an entry that the platform does not answer,
    // while it answers others, must follow what those entries report.
    by_peers_alone_for_an_entry_as_well: |fleet| {
        let cut = fleet.sources(|vm| vm.id == "engine-0" || vm.id == "entry-0");
        fleet.platform.vms.block(cut);
        mark_leaving_vm(&fleet);
    };
    by_signal_with_the_platform_down: |fleet| {
        fleet.platform.vms.set_mode(Mode::Refuse);
        fleet.platform.config.set_mode(Mode::Refuse);
        process(fleet.node("engine-0")).terminate();
    };
    by_vm_list_while_frozen: |fleet| {
        process(fleet.node("engine-0")).freeze();
        mark_leaving_vm(&fleet);
        fleet.status_until("entry-0", "the leave signal", |status| {
            let members = status["members"].as_array();
            members.into_iter().flatten().any(|m| m["id"] == "engine-0" && m["state"] != "alive")
        }).await.expect("is seen");
        process(fleet.node("engine-0")).thaw();
    };
}

/// Daemons are signalled to stop twice while long streams and load run.
macro_rules! stops {
    ($($case:ident: $($id:literal)+;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let mut fleet = fleet(2, 3).await;
            let caller = caller(&fleet, "crew");
            let streams = (0..6).map(|n| {
                let caller = caller.clone();
                let request = completion(MODEL, &format!("long {n}"), LONG_STREAM_TOKENS);
                tokio::spawn(async move { caller.complete(request, &CallOptions::default()).await })
            }).collect::<Vec<_>>();
            let load = start_load(&fleet, (5, 15));
            wait_answers(&load, 20).await;
            for _ in 0..2 {
                $(process(fleet.node($id)).terminate();)+
                let _ = load.take();
                wait_answers(&load, 10).await;
            }
            for stream in streams {
                let answer = stream.await.expect("no panic");
                assert_whole(&answer);
            }
            $({
                let process = fleet.node_mut($id).process.as_mut().expect("runs");
                let status = process.wait(EXIT_TIMEOUT).await.expect("ends");
                assert!(status.success(), "{status}: {}", process.tail());
            })+
            assert_all_whole(&load.close().await);
            fleet.close().await;
        })*
    };
}

stops! {
    stop_of_an_agent: "engine-0";
    stop_of_an_entry: "entry-0";
    stop_of_both: "engine-0" "entry-0";
    stop_of_two_agents: "engine-0" "engine-1";
}

// Guards against refusals of requests whose two servers have left and ended, while another serves.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_after_two_agents_have_left() {
    let mut fleet = fleet(2, 3).await;
    let load = start_load(&fleet, (5, 15));
    wait_answers(&load, 20).await;
    for id in ["engine-0", "engine-1"] {
        process(fleet.node(id)).terminate();
    }
    for id in ["engine-0", "engine-1"] {
        let process = fleet.node_mut(id).process.as_mut().expect("runs");
        let status = process.wait(EXIT_TIMEOUT).await.expect("ends");
        assert!(status.success(), "{status}: {}", process.tail());
        let is_gone = |status: &Value| {
            let mut members = status["members"].as_array().into_iter().flatten();
            members.any(|m| m["id"] == id && m["state"] == "gone")
        };
        let seen = fleet.status_until("entry-0", "the end", is_gone).await;
        seen.expect("is seen");
    }
    let _ = load.take();
    wait_answers(&load, 100).await;
    assert_all_whole(&load.close().await);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_entry_is_not_listed_and_refuses_after_the_grace() {
    let mut fleet = fleet(2, 1).await;
    let caller = caller(&fleet, "crew");
    let (gone, kept) = (
        fleet.node("entry-0").callers(),
        fleet.node("entry-1").callers(),
    );
    process(fleet.node("entry-0")).terminate();
    let refused = async || {
        let request = completion(MODEL, "span", 3);
        match caller
            .complete_at(gone, request, &CallOptions::default())
            .await
            .ended
        {
            StreamEnd::Problem(problem) => Ok(problem),
            other => Err(format!("{other:?}")),
        }
    };
    let problem = until("a refusal", refused).await.expect("refuses");
    assert_eq!(problem.outcome, Some(Outcome::NotRun));
    assert!(problem.retry.is_some());
    for known in [gone, kept] {
        let asked = apricothall_standin::caller::Caller::new("crew", None, vec![known]);
        let list = asked.entries().await.expect("is answered");
        assert!(list.entries.iter().all(|e| e.address != gone), "{list:?}");
    }
    let end = fleet
        .node_mut("entry-0")
        .process
        .as_mut()
        .expect("runs")
        .wait(EXIT_TIMEOUT)
        .await;
    assert!(end.expect("ends").success());
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_queued_at_a_leaving_agent_are_served_elsewhere() {
    const REQUESTS: u64 = 120;
    let engine = EngineSettings {
        slots: 3,
        ..EngineSettings::default()
    };
    let plan = plan_with(1, 2, &engine, "admission.interactive = 200\n");
    let limits = "limits = { rate = 1000, burst = 2000, caller = 1000 }\nowner =";
    let catalogue = catalogue(1, 2, &[]).replacen("owner =", limits, 1);
    let fleet = start_serving(plan.with_catalogue(catalogue)).await;
    fleet.agents().for_each(|n| n.engines[0].pause_at(Some(0)));
    let caller = caller(&fleet, "crew");
    let asked: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let caller = caller.clone();
            let request = completion(MODEL, &format!("span {n}"), 2);
            tokio::spawn(async move { caller.complete(request, &CallOptions::default()).await })
        })
        .collect();
    let held = async || {
        let mut sum = 0;
        for agent in fleet.agents() {
            let load = agent.status().await.map_err(|e| e.to_string())?["servers"]["load"].clone();
            sum += load["running"].as_u64().unwrap_or(0) + load["queued"].as_u64().unwrap_or(0);
        }
        if sum == REQUESTS {
            return Ok(());
        }
        Err(sum.to_string())
    };
    until("all orders at the agents", held)
        .await
        .expect("arrive");
    process(fleet.node("engine-0")).terminate();
    fleet
        .status_until("engine-0", "an empty queue", |status| {
            status["servers"]["load"]["queued"] == 0
        })
        .await
        .expect("the queue empties");
    fleet.agents().for_each(|n| n.engines[0].pause_at(None));
    for answer in asked {
        let answer = answer.await.expect("no panic");
        assert_whole(&answer);
    }
    fleet.close().await;
}

//! Limit of replicas out of service during a rollout, with real daemons.

mod fixture;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::Verdict;
use apricothall_standin::engine::Engine;
use apricothall_standin::fleet::{Fleet, WAIT_LIMIT};
use apricothall_standin::load::{Load, LoadPlan, LoadReport};
use apricothall_standin::network::{Fault, Side};
use fixture::{MODEL, caller, catalogue, plan, reference_weights, start_fleet, wait_serving};

const AGENTS: [&str; 3] = ["engine-0", "engine-1", "engine-2"];

/// Interval at which engines out of service are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Time for agents that may reload to do so while another is frozen or cut off. The checks do not
/// depend on it.
const RELOAD_TIME: Duration = Duration::from_secs(1);

struct RolloutFleet {
    fleet: Fleet,
    load: Load,
}

impl RolloutFleet {
    async fn start() -> Self {
        let mut plan = plan(1, 3);
        for vm in &mut plan.vms {
            for engine in &mut vm.engines {
                engine.load = Duration::from_millis(300);
            }
        }
        let fleet = start_fleet(plan.with_catalogue(catalogue(1, 3, &[]))).await;
        for agent in AGENTS {
            wait_serving(&fleet, "entry-0", agent, "1").await;
        }
        fleet.ready().await.expect("ready");
        let plan = LoadPlan {
            rate: 40.0,
            models: vec![MODEL.into()],
            tokens: (4, 12),
            options: CallOptions::default(),
            seed: 11,
        };
        let load = Load::start(plan, vec![caller(&fleet, "crew")], reference_weights());
        Self { fleet, load }
    }

    fn publish(&self) {
        let text = catalogue(2, 3, &[]);
        self.fleet.platform.config.publish("catalogue", text);
    }

    /// Awaits `event` and then version 2 at all `agents`; returns the maximum number of engines out
    /// of service meanwhile.
    async fn max_out_of_service(&self, event: impl Future<Output = ()>, agents: &[&str]) -> usize {
        let most = Arc::new(AtomicUsize::new(0));
        let over = AtomicBool::new(false);
        let count = async {
            while !over.load(Ordering::Relaxed) {
                most.fetch_max(self.out_of_service(), Ordering::Relaxed);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let wait = async {
            event.await;
            for agent in agents {
                wait_serving(&self.fleet, "entry-0", agent, "2").await;
            }
            over.store(true, Ordering::Relaxed);
        };
        tokio::join!(count, wait);
        most.load(Ordering::Relaxed)
    }

    /// Checks that at most one engine is out of service until `event` is over and all agents serve
    /// version 2.
    async fn assert_one_out_of_service(&self, event: impl Future<Output = ()>) {
        let count = self.max_out_of_service(event, &AGENTS).await;
        assert!(
            count <= 1,
            "{count} engines out of service at the same time"
        );
    }

    /// Number of engines that serve nothing now.
    fn out_of_service(&self) -> usize {
        let engines = self.fleet.agents().flat_map(|n| &n.engines);
        engines.filter(|e| e.state().serving.is_none()).count()
    }

    /// Waits until each of `agents` holds all of version 2.
    async fn wait_held(&self, agents: &[&str]) {
        for agent in agents {
            let test = |s: &serde_json::Value| {
                let members = s["members"].as_array().into_iter().flatten();
                let mut own = members.filter(|m| m["id"] == *agent);
                own.any(|m| {
                    let mut holdings = m["holdings"].as_array().into_iter().flatten();
                    holdings.any(|h| h["version"] == "2" && h["state"] != "partial")
                })
            };
            let found = self.fleet.status_until(agent, "version 2", test).await;
            found.expect("held");
        }
    }

    async fn close(self) -> LoadReport {
        let report = self.load.close().await;
        self.fleet.close().await;
        for verdict in [Verdict::Mixed, Verdict::OutOfSequence] {
            assert_eq!(report.count(verdict), 0, "{:?}", report.samples);
        }
        report
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_engine_at_a_time_and_no_refusal() {
    let harness = RolloutFleet::start().await;
    let out_of_service = harness
        .max_out_of_service(async { harness.publish() }, &AGENTS)
        .await;
    assert_eq!(out_of_service, 1, "engines out of service at the same time");
    let report = harness.close().await;
    assert_eq!(report.whole(), report.ended, "{:?}", report.verdicts);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_does_not_raise_the_limit() {
    let harness = RolloutFleet::start().await;
    let frozen = harness
        .fleet
        .node(AGENTS[0])
        .process
        .as_ref()
        .expect("runs");
    let event = async {
        frozen.freeze();
        harness.publish();
        harness.wait_held(&AGENTS[1..]).await;
        tokio::time::sleep(RELOAD_TIME).await;
        frozen.thaw();
    };
    harness.assert_one_out_of_service(event).await;
    harness.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_does_not_raise_the_limit() {
    let harness = RolloutFleet::start().await;
    let network = &harness.fleet.network;
    let event = async {
        let cuts = network.add_both(&Side::vm(AGENTS[0]), &Side::Any, &Fault::Cut);
        harness.publish();
        harness.wait_held(&AGENTS[1..]).await;
        tokio::time::sleep(RELOAD_TIME).await;
        network.remove_rules(&cuts);
    };
    harness.assert_one_out_of_service(event).await;
    harness.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_during_a_rollout_interrupts_no_request() {
    let mut harness = RolloutFleet::start().await;
    harness.publish();
    let loads = async |agent: &'static str| {
        while !harness
            .fleet
            .node(agent)
            .engines
            .iter()
            .any(|e: &Engine| e.state().loading)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        agent
    };
    let first = AGENTS.map(|agent| Box::pin(loads(agent)));
    let (loading, ..) = tokio::time::timeout(WAIT_LIMIT, futures::future::select_all(first))
        .await
        .expect("a load begins");
    let other = AGENTS
        .into_iter()
        .find(|a| *a != loading)
        .expect("three agents");
    let process = harness
        .fleet
        .node_mut(other)
        .process
        .as_mut()
        .expect("runs");
    process.terminate();
    let status = process.wait(WAIT_LIMIT).await.expect("ends");
    assert!(status.success(), "{status}");
    let id = harness.fleet.node(other).vm().expect("valid id").id;
    harness.fleet.platform.vms.remove_vm(&id);
    let left: Vec<_> = AGENTS.into_iter().filter(|a| *a != other).collect();
    harness.max_out_of_service(async {}, &left).await;
    let report = harness.close().await;
    let lost = report.count(Verdict::Lost) + report.count(Verdict::Truncated);
    assert_eq!(lost, 0, "{:?}", report.samples);
}

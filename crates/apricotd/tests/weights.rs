//! No answer comes from partial or mixed weights, with real daemons: one case for each fault.

mod fixture;

use apricothall_clients::{EngineClient, HttpClient, LoadOrder, PlatformError};
use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::Verdict;
use apricothall_standin::engine::{Engine, EngineSettings};
use apricothall_standin::fleet::{Fleet, WAIT_LIMIT, until};
use apricothall_standin::load::{Load, LoadPlan};
use apricothall_standin::network::{Fault, Port, Rule, Side};
use apricothall_standin::plan::{Plan, VmPlan};
use apricothall_standin::weights::Corruption;
use apricothall_types::{Fence, Rate, Version};
use fixture::{
    MODEL, caller, catalogue, check_engine_runs, counter_value, plan, reference_weights,
    start_fleet, wait_serving, weights,
};

const AGENTS: [&str; 2] = ["engine-0", "engine-1"];

/// Rate of the store in cases that change the version during a transfer.
const SLOW_STORE: Rate = Rate::mbps(8);

/// One byte in this many is corrupted in flight, so that most chunks and few other frames are hit.
const CORRUPTION_INTERVAL: u64 = 40_000;

/// Counter of chunks that failed verification.
const CORRUPT_METRIC: &str = "apricothall_chunk_corrupt_total";

/// A fleet that serves version 1 under live requests.
struct TransferFleet {
    fleet: Fleet,
    load: Load,
}

fn slow_loads(mut plan: Plan) -> Plan {
    let slow = |vm: &mut VmPlan| {
        for engine in &mut vm.engines {
            engine.load = std::time::Duration::from_millis(600);
        }
    };
    plan.vms.iter_mut().for_each(slow);
    plan
}

fn engine(fleet: &Fleet, agent: &str) -> EngineRef {
    EngineRef(agent.to_owned(), fleet.node(agent).engines.len())
}

/// Refers to the only engine of an agent.
struct EngineRef(String, usize);

impl EngineRef {
    fn get<'a>(&self, fleet: &'a Fleet) -> &'a Engine {
        assert_eq!(self.1, 1);
        &fleet.node(&self.0).engines[0]
    }
}

impl TransferFleet {
    async fn start(plan: Plan) -> Self {
        let fleet = start_fleet(plan.with_catalogue(catalogue(1, 2, &[]))).await;
        for agent in AGENTS {
            wait_serving(&fleet, "entry-0", agent, "1").await;
        }
        fleet.ready().await.expect("ready");
        let plan = LoadPlan {
            rate: 30.0,
            models: vec![MODEL.into()],
            tokens: (4, 12),
            options: CallOptions::default(),
            seed: 7,
        };
        let load = Load::start(plan, vec![caller(&fleet, "crew")], reference_weights());
        Self { fleet, load }
    }

    fn publish(&self, version: u64) {
        let text = catalogue(version, 2, &[]);
        self.fleet.platform.config.publish("catalogue", text);
    }

    async fn wait_served(&self, version: &str) {
        for agent in AGENTS {
            wait_serving(&self.fleet, "entry-0", agent, version).await;
        }
    }

    /// Waits until the first agent holds `percent` of another version besides the first one.
    async fn wait_fetched(&self, percent: u64) {
        let size = weights(1).bytes.len() as u64;
        let enough = size + size * percent / 100;
        let test = |s: &serde_json::Value| s["weights"]["bytes"].as_u64() >= Some(enough);
        let found = self.fleet.status_until(AGENTS[0], "chunks", test).await;
        found.expect("chunks arrive");
    }

    async fn wait_engine(&self, agent: &str, what: &str, test: impl Fn(&Engine) -> bool) {
        let engine = engine(&self.fleet, agent);
        let check = async || {
            let engine = engine.get(&self.fleet);
            test(engine)
                .then_some(())
                .ok_or(format!("{:?}", engine.state()))
        };
        until(what, check)
            .await
            .expect("engine state reached in time");
    }

    /// Waits until an agent has rejected a chunk.
    async fn wait_refused(&self) {
        let check = async || {
            let counts = AGENTS.map(|a| counter_value(&self.fleet, a, CORRUPT_METRIC));
            let refused = futures::future::join_all(counts).await.iter().sum::<f64>();
            let is_any = refused > 0.0;
            is_any.then_some(()).ok_or("none".to_owned())
        };
        until("a refused chunk", check).await.expect("refused");
    }

    /// Waits until an agent reports that its engine offers nothing.
    async fn wait_withdrawn(&self, agent: &str) {
        let test = |s: &serde_json::Value| s["servers"]["engines"][0]["offered"].is_null();
        let found = self.fleet.status_until(agent, "withdrawal", test).await;
        found.expect("withdrawn");
    }

    /// Checks that every run used the correct weights of its version and that no answer was mixed,
    /// then stops the fleet.
    async fn close(self) {
        let report = self.load.close().await;
        for verdict in [Verdict::Mixed, Verdict::OutOfSequence] {
            assert_eq!(report.count(verdict), 0, "{:?}", report.samples);
        }
        assert!(report.whole() > 0, "no live request was served");
        check_engine_runs(&self.fleet);
        self.fleet.close().await;
    }
}

async fn corrupt_source() {
    let harness = TransferFleet::start(plan(1, 2)).await;
    let digest = weights(2).digest;
    for chunk in 0..4 {
        harness
            .fleet
            .platform
            .store
            .corrupt(digest, chunk, Corruption::Always);
    }
    harness.publish(2);
    harness.wait_refused().await;
    harness.wait_served("2").await;
    harness.close().await;
}

/// Corrupt chunks from peers are detected by the checksum of their frame, those from the store only
/// by their digest.
async fn corrupt_path(from: &str, port: Port) {
    let harness = TransferFleet::start(plan(1, 2)).await;
    let effect = Fault::CorruptEvery(CORRUPTION_INTERVAL);
    let rule = harness
        .fleet
        .network
        .add(Rule::new(Side::vm(from), Side::Any, effect).on(port));
    harness.publish(2);
    match port {
        Port::Platform => harness.wait_refused().await,
        _ => harness.wait_fetched(100).await,
    }
    harness.fleet.network.remove_rules(&[rule]);
    harness.wait_served("2").await;
    harness.close().await;
}

async fn changed_at(percent: u64) {
    let harness = TransferFleet::start(plan(1, 2)).await;
    let platform = &harness.fleet.platform;
    platform.store.set_rate(Some(SLOW_STORE));
    platform.origin.set_rate(Some(SLOW_STORE));
    harness.publish(2);
    harness.wait_fetched(percent).await;
    harness.publish(3);
    harness.wait_served("3").await;
    harness.close().await;
}

async fn changed_during_load() {
    let harness = TransferFleet::start(slow_loads(plan(1, 2))).await;
    harness.publish(2);
    let loads = |e: &Engine| e.state().loading;
    let first = AGENTS.map(|a| harness.wait_engine(a, "a load", loads));
    futures::future::select_all(first.map(Box::pin)).await;
    harness.publish(3);
    harness.wait_served("3").await;
    harness.close().await;
}

async fn killed_during_load() {
    let mut harness = TransferFleet::start(slow_loads(plan(1, 2))).await;
    harness.publish(2);
    harness
        .wait_engine(AGENTS[0], "a load", |e| e.state().loading)
        .await;
    let node = harness.fleet.node_mut(AGENTS[0]);
    node.kill().await;
    node.launch().expect("the daemon starts");
    harness.wait_served("2").await;
    harness.close().await;
}

async fn other_reported() {
    let harness = TransferFleet::start(plan(1, 2)).await;
    let engine = engine(&harness.fleet, AGENTS[0]);
    let orders = engine.get(&harness.fleet).orders().len();
    let old: Version = "1".parse().expect("valid version");
    engine.get(&harness.fleet).set_reported(Some(old));
    harness.publish(2);
    // A second order shows that the first one was not considered done.
    harness
        .wait_engine(AGENTS[0], "a second order", |e| {
            e.orders().len() > orders + 1
        })
        .await;
    harness.wait_withdrawn(AGENTS[0]).await;
    engine.get(&harness.fleet).set_reported(None);
    harness.wait_served("2").await;
    harness.close().await;
}

async fn engine_restarted() {
    let harness = TransferFleet::start(plan(1, 2)).await;
    let engine = engine(&harness.fleet, AGENTS[0]);
    let orders = engine.get(&harness.fleet).orders().len();
    engine.get(&harness.fleet).restart();
    harness.wait_withdrawn(AGENTS[0]).await;
    harness
        .wait_engine(AGENTS[0], "a new order", |e| e.orders().len() > orders)
        .await;
    harness.wait_served("1").await;
    harness.close().await;
}

/// An order of a daemon that was suspended reaches the engine after the version has changed.
async fn stale_order(fenced: bool) {
    let mut plan = plan(1, 2);
    plan.vms[1].engines = vec![EngineSettings {
        fenced,
        ..EngineSettings::default()
    }];
    let harness = TransferFleet::start(plan).await;
    harness.publish(2);
    harness.wait_served("2").await;
    let engine = engine(&harness.fleet, AGENTS[0]);
    let orders = engine.get(&harness.fleet).orders().len();
    let node = harness.fleet.node(AGENTS[0]);
    let digest = weights(1).digest;
    let order = LoadOrder {
        name: MODEL.parse().expect("valid name"),
        version: "1".parse().expect("valid version"),
        manifest: digest,
        source: format!("http://{}:7003/weights/{digest}", node.ip).into(),
        fence: Fence(1),
    };
    let address = engine.get(&harness.fleet).address();
    let client = EngineClient::new(HttpClient::new(None, WAIT_LIMIT), address);
    let answer = client.load(&order, WAIT_LIMIT).await;
    if fenced {
        let refused = matches!(answer, Err(PlatformError::Status { status: 409, .. }));
        assert!(refused, "{answer:?}");
    } else {
        answer.expect("an engine that ignores fences takes it");
        harness
            .wait_engine(AGENTS[0], "the order that undoes it", |e| {
                e.orders().len() > orders + 1
            })
            .await;
    }
    harness
        .wait_engine(AGENTS[0], "version 2", |e| {
            let serving = e.state().serving;
            serving.is_some_and(|s| s.version.as_str() == "2")
        })
        .await;
    harness.wait_served("2").await;
    harness.close().await;
}

macro_rules! cases {
    ($($case:ident: $run:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            $run.await;
        })*
    };
}

cases! {
    chunks_corrupt_at_the_source: corrupt_source();
    chunks_corrupt_on_the_way_from_the_store: corrupt_path("store", Port::Platform);
    chunks_corrupt_from_a_peer: corrupt_path("engine-1", Port::Peers);
    version_changes_at_10_percent: changed_at(10);
    version_changes_at_50_percent: changed_at(50);
    version_changes_at_90_percent: changed_at(90);
    version_changes_during_the_load: changed_during_load();
    agent_killed_during_the_load: killed_during_load();
    engine_reports_another_version: other_reported();
    engine_restarts_under_the_agent: engine_restarted();
    stale_order_with_fences: stale_order(true);
    stale_order_without_fences: stale_order(false);
}

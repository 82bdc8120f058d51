//! Completions answered with faults on the path: a caller gets the whole answer to its own request
//! or an explicit error.

mod fixture;

use std::time::Duration;

use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::completion::{StreamedAnswer, Verdict, completion};
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::network::{Fault, Port, Rule, Side};
use apricothall_types::Outcome;
use fixture::{
    MODEL, assert_whole, caller, catalogue, counter_value, expected_digests, plan_with,
    start_serving,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

const SHORT_SILENCE: &str = "retry.silence = '700ms'\n";

/// Daemon's own caller port, behind the test proxy: only the caller's own socket buffers then hold
/// answer data.
const DIRECT_PORT: u16 = 7_081;

async fn fleet(engines: usize) -> Fleet {
    let plan = plan_with(1, engines, &EngineSettings::default(), SHORT_SILENCE);
    start_serving(plan.with_catalogue(catalogue(1, engines, &[]))).await
}

async fn ask(caller: &Caller, prompt: &str, tokens: u32) -> StreamedAnswer {
    let deadline = Some(Duration::from_secs(8));
    let options = CallOptions {
        deadline,
        ..CallOptions::default()
    };
    caller
        .complete(completion(MODEL, prompt, tokens), &options)
        .await
}

/// Id of the agent that runs the request whose tokens are held back.
async fn running_agent(fleet: &Fleet) -> String {
    let check = async || {
        let runs = |n: &&apricothall_standin::node::Node| n.engines[0].state().running > 0;
        let node = fleet.agents().find(runs).ok_or("nothing runs")?;
        Ok(node.plan.id.to_string())
    };
    until("a running request", check).await.expect("runs")
}

/// Injects a fault while the engine pauses a 12-token answer at its sixth token, then resumes it.
macro_rules! midstream_faults {
    ($($case:ident: |$fleet:ident, $agent:ident| $fault:expr => $verdict:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            #[allow(unused_mut, reason = "some faults need it")]
            let mut $fleet = fleet(2).await;
            $fleet.agents().for_each(|n| n.engines[0].pause_at(Some(6)));
            let caller = caller(&$fleet, "crew");
            let requests = tokio::spawn({ let caller = caller.clone(); async move { ask(&caller, "span 4", 12).await } });
            let $agent = running_agent(&$fleet).await;
            // The entry counts the first piece once it has passed the first tokens to the caller.
            let begun = async || match counter_value(&$fleet, "entry-0", "apricothall_first_piece_seconds_count").await {
                n if n > 0.0 => Ok(()),
                n => Err(n.to_string()),
            };
            until("the first piece", begun).await.expect("the answer begins");
            let () = $fault;
            $fleet.agents().for_each(|n| n.engines[0].pause_at(None));
            let answer = requests.await.expect("no panic");
            // A killed entry may not have forwarded any token yet; the connection breaks in either
            // case.
            let verdict = match answer.verdict(&expected_digests()) {
                Verdict::Lost => Verdict::Truncated,
                verdict => verdict,
            };
            assert_eq!(verdict, $verdict, "{:?}", answer.ended);
            let late = format!("{:?}", answer.ended).contains("the deadline has passed");
            assert!(!late, "the fault was detected only by the deadline");
            $fleet.close().await;
        })*
    };
}

midstream_faults! {
    no_fault: |_fleet, _agent| {} => Verdict::Whole;
    engine_restarts: |fleet, agent| fleet.node(&agent).engines[0].restart() => Verdict::Refused(Outcome::Failed);
    agent_is_killed: |fleet, agent| fleet.node_mut(&agent).kill().await => Verdict::Refused(Outcome::Failed);
    agent_is_frozen: |fleet, agent| fleet.node(&agent).process.as_ref().expect("runs").freeze() => Verdict::Refused(Outcome::Failed);
    entry_is_killed: |fleet, _agent| fleet.node_mut("entry-0").kill().await => Verdict::Truncated;
    link_is_reset: |fleet, agent| fleet.network.inject(Rule::new(Side::vm("entry-0"), Side::vm(&agent), Fault::Reset)) => Verdict::Refused(Outcome::Failed);
    link_is_cut: |fleet, agent| fleet.network.inject(Rule::new(Side::vm(&agent), Side::vm("entry-0"), Fault::Cut)) => Verdict::Refused(Outcome::Failed);
    link_stalls_briefly: |fleet, agent| {
        let rule = fleet.network.add(Rule::new(Side::vm(&agent), Side::vm("entry-0"), Fault::Stall));
        fleet.agents().for_each(|n| n.engines[0].pause_at(None));
        let finished = async || fleet.node(&agent).engines[0].runs().iter().any(|r| r.finished).then_some(()).ok_or(String::new());
        until("the end at the engine", finished).await.expect("ends");
        fleet.network.remove_rules(&[rule]);
    } => Verdict::Whole;
}

/// Injects faults at many byte offsets between agents and the entry, so that each kind of frame is
/// hit.
macro_rules! offsets {
    ($($case:ident: $step:expr, $count:expr, $fault:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $case() {
            let fleet = fleet(2).await;
            let caller = caller(&fleet, "crew");
            let fault: fn(u64) -> Fault = $fault;
            let mut broken = 0;
            for offset in (0..$count).map(|n| n * $step) {
                let rule = Rule::new(Side::Any, Side::vm("entry-0"), fault(offset)).on(Port::Peers);
                let id = fleet.network.add(rule);
                let answer = ask(&caller, &format!("span {offset}"), 6).await;
                let verdict = answer.verdict(&expected_digests());
                assert!(matches!(verdict, Verdict::Whole | Verdict::Refused(_)), "{offset}: {verdict:?}: {:?}", answer.ended);
                broken += u32::from(verdict != Verdict::Whole);
                fleet.network.remove_rules(&[id]);
            }
            assert!(broken > 0, "no fault affected an answer");
            let served = async || match ask(&caller, "span last", 6).await.verdict(&expected_digests()) {
                Verdict::Whole => Ok(()),
                other => Err(format!("{other:?}")),
            };
            until("a whole answer after the faults", served).await.expect("recovers");
            fleet.close().await;
        })*
    };
}

offsets! {
    reset_at_each_offset: 23, 60, Fault::reset_after;
    cut_at_each_offset: 170, 5, Fault::cut_after;
    corrupt_at_each_offset: 11, 60, |offset| Fault::CorruptEvery(offset + 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_is_avoided_and_recovers() {
    let fleet = fleet(2).await;
    let caller = caller(&fleet, "crew");
    let frozen = fleet.node("engine-0").process.as_ref().expect("runs");
    frozen.freeze();
    let requests = (0..6).map(|n| {
        let caller = caller.clone();
        async move { ask(&caller, &format!("span {n}"), 6).await }
    });
    for answer in futures::future::join_all(requests).await {
        assert_whole(&answer);
    }
    frozen.thaw();
    let answer = ask(&caller, "after", 6).await;
    assert_whole(&answer);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_under_one_trace_are_not_crossed() {
    let fleet = fleet(1).await;
    let caller = caller(&fleet, "crew");
    let trace = Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".into());
    let options = CallOptions {
        trace,
        ..CallOptions::default()
    };
    let requests =
        (0..8).map(|n| caller.complete(completion(MODEL, &format!("span {n}"), 10 + n), &options));
    for answer in futures::future::join_all(requests).await {
        assert_whole(&answer);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_is_disconnected_and_its_request_cancelled() {
    let mut engine = EngineSettings::default();
    (engine.base, engine.share) = (Duration::ZERO, Duration::ZERO);
    let mut plan = plan_with(1, 1, &engine, "").with_catalogue(catalogue(1, 1, &[]));
    plan.vms[0].extra = "callers.write = '1s'".parse().expect("valid");
    let fleet = start_serving(plan).await;
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(4_096).expect("small buffer");
    let address = (fleet.node("entry-0").ip, DIRECT_PORT).into();
    let mut stream = socket.connect(address).await.expect("connects");
    let body = serde_json::to_string(&completion(MODEL, "slow", 1_000_000)).expect("json");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .expect("sent");
    let disconnected =
        async || match counter_value(&fleet, "entry-0", "apricothall_slow_readers_total").await {
            n if n > 0.0 => Ok(()),
            n => Err(n.to_string()),
        };
    until("the slow caller to be disconnected", disconnected)
        .await
        .expect("is disconnected");
    let idle = async || match fleet.node("engine-0").engines[0].state().running {
        0 => Ok(()),
        n => Err(n.to_string()),
    };
    until("its cancellation", idle).await.expect("is cancelled");
    assert!(!fleet.node("engine-0").engines[0].runs()[0].finished);
    let answer = ask(&caller(&fleet, "crew"), "quick", 6).await;
    assert_whole(&answer);
    fleet.close().await;
}

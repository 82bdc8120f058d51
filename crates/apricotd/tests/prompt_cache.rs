//! Prefix caching in the daemons: an entry learns which engine holds a prompt, says so, and forgets it
//! when the engine restarts. The engines of this test retain nothing, so no time is saved.

mod fixture;

use std::time::Duration;

use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::completion::completion;
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use fixture::{
    MODEL, assert_whole, caller, catalogue, counter_value, plan_with, start_serving, wait_serving,
};
use serde_json::Value;

/// Requests after which the entry has measured the times.
const REQUESTS: usize = 12;

/// Beginning of the long prompts, of 1,200 bytes.
fn beginning() -> String {
    "span-notes-".repeat(110)[..1_200].to_owned()
}

async fn fleet(prompt_cache: &str) -> Fleet {
    let current = "current = ";
    let with_cache = format!("{prompt_cache}{current}");
    let text = catalogue(1, 2, &[]).replacen(current, &with_cache, 1);
    let plan = plan_with(1, 2, &EngineSettings::default(), "");
    start_serving(plan.with_catalogue(text)).await
}

/// Sends short and long prompts in turn.
async fn ask(caller: &Caller) {
    let options = CallOptions {
        deadline: Some(Duration::from_secs(8)),
        ..CallOptions::default()
    };
    for number in 0..REQUESTS {
        let prompt = match number % 2 {
            0 => format!("short {number}"),
            _ => format!("{}{}", beginning(), "x".repeat(number * 400)),
        };
        let answer = caller.complete(completion(MODEL, &prompt, 4), &options);
        assert_whole(&answer.await);
    }
}

async fn explain(fleet: &Fleet) -> Value {
    let path = format!("/explain?name={MODEL}&prompt={}", beginning());
    let answer = fleet.node("entry-0").operator(&path).await;
    answer.expect("answers").json().expect("JSON")
}

// Guards against an entry that records nothing, and against one that takes a restarted engine for
// one that still holds its prompts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn held_prefix_is_explained_until_its_engine_restarts() {
    let fleet = fleet("prompt_cache = { retention = \"5m\", tokens = 50000 }\n").await;
    ask(&caller(&fleet, "crew")).await;
    let said = explain(&fleet).await;
    assert!(
        said["prompts"]["measured"]["slot_time"].is_object(),
        "{said}"
    );
    let saving = &said["routing"]["saving"];
    // The longest recognized length within 1,200 bytes is 1,024.
    assert_eq!(saving["tokens"], 256, "{said}");
    assert!(
        saving["saved_ms"].is_u64() && saving["wait_ms"].is_u64(),
        "{said}"
    );
    let counted = counter_value(&fleet, "entry-0", "apricothall_choices_total").await;
    assert!(counted >= 12.0, "{counted} choices");
    for agent in fleet.agents() {
        agent.engines[0].restart();
    }
    let forgotten = async || match explain(&fleet).await {
        said if said["routing"]["saving"].is_null() => Ok(()),
        said => Err(said.to_string()),
    };
    until("nothing held", forgotten).await.expect("forgets");
    for agent in fleet.agents() {
        wait_serving(&fleet, "entry-0", &agent.plan.id, "1").await;
    }
    let said = explain(&fleet).await;
    assert!(said["routing"]["member"].is_string(), "{said}");
    assert!(said["routing"]["saving"].is_null(), "{said}");
    fleet.close().await;
}

// Guards against changes for models whose catalogue entry says nothing of prompts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn model_without_a_prompt_cache_records_nothing() {
    let fleet = fleet("").await;
    ask(&caller(&fleet, "crew")).await;
    let said = explain(&fleet).await;
    assert!(said["prompts"].is_null(), "{said}");
    assert!(said["routing"]["saving"].is_null(), "{said}");
    let cause = said["routing"]["cause"].as_str();
    assert!(cause.is_some_and(|c| c != "time_saved"), "{said}");
    fleet.close().await;
}

//! Contract of a model engine, as documented in docs/INTERFACES.md.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::client::Answer;
use apricothall_standin::completion::{StreamEnd, StreamedAnswer, Verdict, completion};
use apricothall_standin::engine::load::{FenceRefusal, LoadOrder};
use apricothall_standin::engine::{Engine, EngineSettings, EngineState};
use apricothall_standin::server::{Call, Gate, Server, reply};
use apricothall_standin::weights::Weights;
use apricothall_types::{Bytes, Digest, Fence, Version};
use common::{any, call, get};
use http::{Method, StatusCode};

const PROMPT: &str = "span 14, three cuts";
const LONG: u32 = 100_000;

struct Fixture {
    engine: Arc<Engine>,
    weights: Weights,
    agent: Server,
}

/// Serves weights as an agent does. Below the path `/bad`, chunk 1 has one bit flipped.
async fn agent(weights: &Weights) -> Server {
    let weights = weights.clone();
    let handler = move |call: Call| {
        let weights = weights.clone();
        async move {
            let (base, rest) = call
                .path()
                .trim_start_matches('/')
                .split_once('/')
                .unwrap_or_default();
            let index = rest.strip_prefix("chunks/").and_then(|i| i.parse().ok());
            let body = match (rest, index) {
                ("manifest", _) => Some(weights.json.clone()),
                (_, Some(index)) => weights.chunk(index),
                _ => None,
            };
            match body {
                Some(body) if base == "bad" && index == Some(1) => {
                    let mut bytes = body.to_vec();
                    bytes[0] ^= 1;
                    reply(StatusCode::OK, bytes)
                }
                Some(body) if base != "none" => reply(StatusCode::OK, body),
                _ => reply(StatusCode::NOT_FOUND, ""),
            }
        }
    };
    Server::start(any(), Gate::default(), handler)
        .await
        .expect("service starts")
}

async fn fixture_with(settings: EngineSettings) -> Fixture {
    let engine = Arc::new(
        Engine::start(any(), settings)
            .await
            .expect("service starts"),
    );
    let weights = Weights::generate(1, Bytes::kib(64), Bytes::kib(16));
    let agent = agent(&weights).await;
    Fixture {
        engine,
        weights,
        agent,
    }
}

fn settings() -> EngineSettings {
    EngineSettings {
        slots: 2,
        queue: 2,
        base: Duration::from_millis(1),
        share: Duration::ZERO,
        prefill: Duration::ZERO,
        load: Duration::ZERO,
        restart: Duration::from_millis(50),
        lag: Duration::ZERO,
        fenced: true,
    }
}

async fn fixture() -> Fixture {
    fixture_with(settings()).await
}

async fn loaded() -> Fixture {
    let fixture = fixture().await;
    assert_eq!(fixture.load("v1", "good", 1).await.status, 200);
    fixture
}

async fn lagging() -> Fixture {
    let lag = Duration::from_hours(1);
    let fixture = fixture_with(EngineSettings { lag, ..settings() }).await;
    assert_eq!(fixture.load("v1", "good", 1).await.status, 200);
    fixture
}

async fn unfenced() -> Fixture {
    fixture_with(EngineSettings {
        fenced: false,
        ..settings()
    })
    .await
}

impl Fixture {
    async fn load(&self, version: &str, base: &str, fence: u64) -> Answer {
        let order = LoadOrder {
            name: "m".parse().expect("valid"),
            version: version.parse().expect("valid"),
            manifest: self.weights.digest,
            source: format!("http://{}/{base}", self.agent.address()).into(),
            fence: Fence(fence),
        };
        let body = serde_json::to_vec(&order).expect("serializable");
        call(self.engine.address(), Method::POST, "/v1/load", &[], body).await
    }

    async fn state(&self) -> EngineState {
        get(self.engine.address(), "/v1/state")
            .await
            .json()
            .expect("valid state")
    }

    async fn complete(&self, prompt: &str, tokens: u32) -> StreamedAnswer {
        let caller = Caller::new("agent", None, Vec::new());
        let request = completion("m", prompt, tokens);
        caller
            .complete_at(self.engine.address(), request, &CallOptions::default())
            .await
    }

    async fn post_completion(&self, tokens: u32, headers: &[(&str, &str)]) -> Answer {
        let body = serde_json::to_vec(&completion("m", PROMPT, tokens)).expect("serializable");
        call(
            self.engine.address(),
            Method::POST,
            "/v1/completions",
            headers,
            body,
        )
        .await
    }

    /// Digests of the correct bytes, by version.
    fn true_digests(&self) -> HashMap<Version, Digest> {
        let digest = Digest::of(&self.weights.bytes);
        ["v1", "v2"]
            .iter()
            .map(|v| (v.parse().expect("valid"), digest))
            .collect()
    }

    /// Whether the response was cut off, before or after its first token.
    fn is_cut(&self, answer: &StreamedAnswer) -> bool {
        let verdict = answer.verdict(&self.true_digests());
        matches!(verdict, Verdict::Truncated | Verdict::Lost)
    }

    /// Starts a request that runs until it is aborted, and waits until it runs.
    async fn occupy(&self) -> tokio::task::JoinHandle<StreamedAnswer> {
        let before = self.engine.runs().len();
        let address = self.engine.address();
        let task = tokio::spawn(async move {
            let caller = Caller::new("agent", None, Vec::new());
            let request = completion("m", PROMPT, LONG);
            caller
                .complete_at(address, request, &CallOptions::default())
                .await
        });
        while self.engine.runs().len() == before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        task
    }

    /// Sends a request for one token and waits until the queue holds `count` requests.
    async fn queue(
        &self,
        prompt: &str,
        priority: &'static str,
        count: u32,
    ) -> tokio::task::JoinHandle<Answer> {
        let address = self.engine.address();
        let body = serde_json::to_vec(&completion("m", prompt, 1)).expect("serializable");
        let task = tokio::spawn(async move {
            let headers = [("x-priority", priority)];
            call(address, Method::POST, "/v1/completions", &headers, body).await
        });
        while self.engine.state().waiting != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        task
    }
}

contract! {
    f: Fixture = fixture;
    state_before_a_load_has_all_fields: {
        let state = f.state().await;
        assert_eq!((state.serving, state.loading, state.fence), (None, false, Fence(0)));
        assert_eq!((state.running, state.waiting, state.slots), (0, 0, 2));
    }
    load_answers_with_the_state_once_it_serves: {
        let state: EngineState = f.load("v1", "good", 3).await.json().expect("valid state");
        let serving = state.serving.expect("a version is served");
        assert_eq!((serving.name.as_str(), serving.version.as_str()), ("m", "v1"));
        assert_eq!((serving.manifest, state.fence), (f.weights.digest, Fence(3)));
        assert_eq!(f.engine.weights(), Some(Digest::of(&f.weights.bytes)));
    }
    old_fence_is_409_with_the_highest_seen: {
        f.load("v1", "good", 5).await;
        let answer = f.load("v2", "good", 4).await;
        assert_eq!(answer.status, 409);
        assert_eq!(answer.json::<FenceRefusal>().expect("valid refusal").fence, Fence(5));
        assert_eq!(f.load("v2", "good", 5).await.status, 200);
    }
    weights_that_cannot_be_read_are_422: {
        assert_eq!(f.load("v1", "none", 1).await.status, 422);
        let state = f.state().await;
        assert_eq!((state.serving, state.loading), (None, false));
    }
    nothing_served_is_409: {
        assert_eq!(f.post_completion(1, &[]).await.status, 409);
    }
    wrong_bytes_show_in_the_text: {
        f.load("v1", "bad", 1).await;
        assert_eq!(f.complete(PROMPT, 3).await.verdict(&f.true_digests()), Verdict::Mixed);
    }
}

contract! {
    f: Fixture = unfenced;
    engine_that_ignores_fences_takes_an_old_order: {
        f.load("v1", "good", 5).await;
        assert_eq!(f.load("v2", "good", 4).await.status, 200);
        assert_eq!(f.state().await.serving.map(|s| s.version.to_string()).as_deref(), Some("v2"));
        assert_eq!(f.engine.orders(), [Fence(5), Fence(4)]);
    }
}

contract! {
    f: Fixture = lagging;
    running_count_lags: {
        let _running = f.occupy().await;
        assert_eq!((f.state().await.running, f.engine.state().running), (0, 1));
    }
}

contract! {
    f: Fixture = loaded;
    running_count_without_lag: {
        let _running = f.occupy().await;
        assert_eq!(f.state().await.running, 1);
    }
    stream_is_whole_and_ends_with_done: {
        let answer = f.complete(PROMPT, 5).await;
        assert_eq!(answer.verdict(&f.true_digests()), Verdict::Whole);
        assert_eq!(answer.text(), apricothall_standin::text::answer(Digest::of(&f.weights.bytes), PROMPT, 5));
        assert!(f.engine.runs()[0].finished);
    }
    events_carry_id_model_version_text_and_index: {
        let answer = f.post_completion(1, &[("x-request-id", "r7"), ("x-version", "v1")]).await;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let text = apricothall_standin::text::token(Digest::of(&f.weights.bytes), PROMPT, 0);
        let event = format!(r#"data: {{"id":"r7","model":"m","version":"v1","text":"{text}","index":0}}"#);
        assert_eq!(body, format!("{event}\n\ndata: [DONE]\n\n"));
    }
    another_version_or_model_is_409: {
        assert_eq!(f.post_completion(1, &[("x-version", "v2")]).await.status, 409);
        let body = serde_json::to_vec(&completion("other", PROMPT, 1)).expect("serializable");
        let answer = call(f.engine.address(), Method::POST, "/v1/completions", &[], body).await;
        assert_eq!(answer.status, 409);
    }
    full_queue_is_503_with_retry_after: {
        let _running = (f.occupy().await, f.occupy().await);
        let _waiting = (f.queue("a", "1", 1).await, f.queue("b", "1", 2).await);
        let answer = f.post_completion(1, &[]).await;
        assert_eq!((answer.status.as_u16(), answer.number("retry-after")), (503, Some(1)));
    }
    higher_priority_runs_first: {
        let running = (f.occupy().await, f.occupy().await);
        let low = f.queue("low", "0", 1).await;
        let high = f.queue("high", "2", 2).await;
        running.0.abort();
        assert_eq!(high.await.expect("task completes").status, 200);
        assert_eq!(low.await.expect("task completes").status, 200);
        let prompts: Vec<_> = f.engine.runs().into_iter().skip(2).map(|r| r.prompt).collect();
        assert_eq!(prompts, ["high", "low"]);
    }
    caller_that_leaves_frees_its_slot: {
        f.occupy().await.abort();
        while f.engine.state().running > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(!f.engine.runs()[0].finished);
    }
    cancel_ends_a_running_request_and_404_otherwise: {
        let engine = f.engine.clone();
        let body = serde_json::to_vec(&completion("m", PROMPT, LONG)).expect("serializable");
        let task = tokio::spawn(async move {
            let uri = format!("http://{}/v1/completions", engine.address());
            let request = http::Request::post(uri).header("x-request-id", "r9").body(body.into());
            apricothall_standin::client::Client::default().send(request.expect("valid")).await
        });
        while f.engine.runs().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let cancel = || call(f.engine.address(), Method::POST, "/v1/cancel/r9", &[], "");
        assert_eq!(cancel().await.status, 200);
        assert!(task.await.expect("task completes").is_err());
        while f.engine.state().running > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(cancel().await.status, 404);
    }
    load_serves_nothing_from_start_to_end: {
        let running = f.occupy().await;
        assert_eq!(f.load("v2", "good", 2).await.status, 200);
        assert!(f.is_cut(&running.await.expect("task completes")));
        assert!(!f.engine.runs()[0].finished);
    }
    poison_crashes_it_and_it_comes_back_empty_with_another_boot: {
        let before = f.state().await;
        let neighbour = f.occupy().await;
        f.engine.set_poison(Some("POISON"));
        assert_ne!(f.complete("POISON", 3).await.ended, StreamEnd::Done);
        assert!(f.is_cut(&neighbour.await.expect("task completes")));
        let client = apricothall_standin::client::Client::default();
        let uri = format!("http://{}/v1/state", f.engine.address());
        while client.get(&uri).await.is_err() {}
        let after = f.state().await;
        assert_ne!(before.boot, after.boot);
        assert_eq!((after.serving, after.fence, f.engine.crashes()), (None, Fence(0), 1));
    }
    paused_tokens_come_later: {
        f.engine.pause_at(Some(2));
        let caller = Caller::new("agent", None, Vec::new());
        let options = CallOptions::default();
        let mut read = Box::pin(caller.complete_at(f.engine.address(), completion("m", PROMPT, 4), &options));
        assert!(tokio::time::timeout(Duration::from_millis(60), &mut read).await.is_err());
        f.engine.pause_at(None);
        assert_eq!(read.await.verdict(&f.true_digests()), Verdict::Whole);
    }
    frozen_engine_answers_once_thawed: {
        f.engine.set_frozen(true);
        let mut read = Box::pin(f.state());
        assert!(tokio::time::timeout(Duration::from_millis(40), &mut read).await.is_err());
        f.engine.set_frozen(false);
        assert!(read.await.serving.is_some());
    }
    another_version_reported_than_ordered: {
        f.engine.set_reported(Some("v2".parse().expect("valid")));
        assert_eq!(f.state().await.serving.map(|s| s.version.to_string()).as_deref(), Some("v2"));
        f.engine.set_reported(None);
        f.engine.set_ignored(true);
        assert_eq!(f.load("v2", "good", 2).await.status, 200);
        assert_eq!(f.state().await.serving.map(|s| s.version.to_string()).as_deref(), Some("v1"));
    }
}

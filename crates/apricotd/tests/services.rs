//! Plain services under load and over their limits: refused at once with a correct outcome and
//! executed at most once. Also what `GET /explain` reports about them.

mod fixture;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::client::Answer;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::service::PlainService;
use fixture::{MODEL, SERVICE, caller, catalogue, plan, start_fleet, wait_serving};
use http::{HeaderValue, Method, StatusCode};
use serde_json::Value;

/// Agent with the service.
const SERVICE_AGENT: &str = "desk-0";

/// Concurrent calls, for 16 slots and 4 places in the queue.
const CONCURRENT_CALLS: usize = 40;

/// Minimum number of calls admitted to 16 slots, one of which is reserved for class critical.
const MIN_SERVED: usize = 15;

/// Calls after which the limits must have refused at least one.
const LIMITED_CALLS: usize = 20;

/// How calls are routed and whether they may be repeated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// To a service whose calls may be repeated, without a key.
    Plain,
    /// To a service whose calls may be repeated, with a key.
    PlainKey,
    /// To a service whose calls may not be repeated, with a ticket.
    Ticket,
    /// To a service whose calls may not be repeated, with a key alone.
    Key,
}

struct ServiceFleet {
    fleet: Fleet,
    caller: Caller,
    kind: CallKind,
}

impl ServiceFleet {
    /// Starts one entry, one engine and one agent with the service.
    async fn start(kind: CallKind, limits: &str) -> Self {
        let model = catalogue(1, 1, &[]);
        let once = match kind {
            CallKind::Ticket | CallKind::Key => {
                format!("repeatable = false\npool = [\"{SERVICE_AGENT}\"]\n")
            }
            CallKind::Plain | CallKind::PlainKey => String::new(),
        };
        let text = format!(
            "{model}[[entries]]\nname = \"{SERVICE}\"\nkind = \"service\"\nowner = \"desbroce\"\n\
             replicas = 1\n{limits}\n{once}"
        );
        let plan = plan(1, 1).with_catalogue(text);
        let plan = plan.service(SERVICE_AGENT, "lima", "lima-a", SERVICE);
        let few = "admission.interactive = 4\nadmission.reserve = 1";
        let plan = plan.expect("valid id").with_settings(few);
        let fleet = start_fleet(plan.expect("valid settings")).await;
        fleet.ready().await.expect("ready");
        wait_serving(&fleet, "entry-0", "engine-0", "1").await;
        wait_serving(&fleet, "entry-0", SERVICE_AGENT, "service").await;
        if kind == CallKind::Key {
            let settled = fleet.status_until(SERVICE_AGENT, "settled", |status| {
                let claims = &status["claims"][SERVICE];
                claims["settled_opaque"] == true && claims["lease"] == true
            });
            settled.await.expect("in time");
        }
        let caller = caller(&fleet, "crew");
        Self {
            fleet,
            caller,
            kind,
        }
    }

    fn service(&self) -> &PlainService {
        &self.fleet.node(SERVICE_AGENT).services[0]
    }

    /// Number of executions of the call with this body.
    fn executions_of(&self, body: &str) -> usize {
        let runs = self.service().executions();
        runs.iter().filter(|e| e.body == body.as_bytes()).count()
    }

    async fn options(&self, name: &str) -> CallOptions {
        let options = CallOptions {
            deadline: Some(Duration::from_secs(30)),
            ..CallOptions::default()
        };
        match self.kind {
            CallKind::Plain => options,
            CallKind::PlainKey | CallKind::Key => CallOptions {
                key: Some(name.into()),
                ..options
            },
            CallKind::Ticket => {
                let list = self.caller.entries().await.expect("entries are listed");
                let ticket = &list.tickets[SERVICE];
                let prefix = ticket["prefix"].as_str().expect("a prefix");
                CallOptions {
                    key: Some(format!("{prefix}{name}").into()),
                    ticket: Some(ticket["ticket"].as_str().expect("a ticket").into()),
                    ..options
                }
            }
        }
    }

    async fn call(&self, name: &str, options: &CallOptions) -> Answer {
        let entry = self.fleet.node("entry-0").callers();
        let (path, body) = (format!("{SERVICE}/cut"), name.to_owned());
        let call = self
            .caller
            .call_at(entry, Method::POST, &path, body, options);
        call.await.expect("answers")
    }
}

/// Checks for status 429 with a detail that starts with `by`.
fn check_refusal(answer: &Answer, outcome: &str, by: &str) {
    let problem: Value = answer.json().expect("a problem");
    let detail = problem["detail"].as_str();
    assert!(detail.is_some_and(|d| d.starts_with(by)), "{problem}");
    assert_eq!(answer.status.as_u16(), 429, "{problem}");
    assert_eq!(problem["outcome"], outcome, "{problem}");
    let retry = answer.number("retry-after");
    assert!(retry.is_some_and(|seconds| seconds >= 1), "{problem}");
}

macro_rules! rows {
    ($($case:ident: $run:ident($($value:expr),*);)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() { $run($($value),*).await; })*
    };
}

rows! {
    few_slots_for_plain_calls: check_full_queue(CallKind::Plain);
    few_slots_for_calls_by_ticket: check_full_queue(CallKind::Ticket);
    few_slots_for_calls_by_key: check_full_queue(CallKind::Key);
    limit_on_plain_calls: check_limit(CallKind::Plain, "not_run");
    limit_on_plain_calls_with_a_key: check_limit(CallKind::PlainKey, "unknown");
    limit_on_calls_by_ticket: check_limit(CallKind::Ticket, "unknown");
    limit_on_calls_by_key: check_limit(CallKind::Key, "unknown");
}

// Guard against a service that gets more requests than the limit that it named (docs/incidents/limit.md).
rows! {
    limit_named_by_a_service_with_plain_calls: check_named_limit(CallKind::Plain);
    limit_named_by_a_service_with_calls_by_ticket: check_named_limit(CallKind::Ticket);
}

// Guard against a status that is not a final one, passed on as an answer, and against a second run
// of the call after it.
rows! {
    odd_status_of_plain_calls: check_odd_status(CallKind::Plain);
    odd_status_of_calls_by_ticket: check_odd_status(CallKind::Ticket);
    odd_status_of_calls_by_key: check_odd_status(CallKind::Key);
}

/// The service executes each call and answers with a status that is not a final one.
async fn check_odd_status(kind: CallKind) {
    let limits = "limits = { rate = 10000, burst = 1000, caller = 10000 }";
    let harness = Arc::new(ServiceFleet::start(kind, limits).await);
    for status in [600, 999] {
        let odd = StatusCode::from_u16(status).expect("an HTTP status");
        harness.service().set_status(Some(odd));
        let name = format!("call-{status}");
        let options = harness.options(&name).await;
        // A caller that repeats a call with its key gets the same outcome.
        for _ in 0..2 {
            let answer = harness.call(&name, &options).await;
            assert_eq!(answer.status.as_u16(), 502, "{status}");
            let problem: Value = answer.json().expect("a problem");
            assert_eq!(problem["outcome"], "unknown", "{problem}");
            if kind == CallKind::Plain {
                break;
            }
        }
        assert_eq!(harness.executions_of(&name), 1, "{status}");
    }
    close(harness).await;
}

/// Limit that the service names, in requests per second.
const NAMED_LIMIT: &str = "2";

/// Requests that the service tolerates in each [`WINDOW`] with that limit: 1.5 times what it allows
/// and 5 more.
const TOLERATED: usize = 17;

/// Window over which the service counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first naming from which the limit is checked.
const CONTACT: Duration = Duration::from_secs(3);

/// The service names a limit, and callers send many more requests.
async fn check_named_limit(kind: CallKind) {
    const CALLERS: usize = 4;
    const PAUSE: Duration = Duration::from_millis(25);
    let limits = "limits = { rate = 10000, burst = 1000, caller = 10000 }";
    let harness = Arc::new(ServiceFleet::start(kind, limits).await);
    harness
        .service()
        .set_limit(Some(HeaderValue::from_static(NAMED_LIMIT)));
    let ends = Instant::now() + CONTACT + WINDOW + WINDOW;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let harness = harness.clone();
            tokio::spawn(async move {
                let mut refused = 0;
                for n in 0.. {
                    if Instant::now() >= ends {
                        break;
                    }
                    let name = format!("call-{caller}-{n}");
                    let options = harness.options(&name).await;
                    let answer = harness.call(&name, &options).await;
                    if !answer.status.is_success() {
                        refused += 1;
                        assert_eq!(harness.executions_of(&name), 0, "{name} was executed");
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                refused
            })
        })
        .collect();
    tokio::time::sleep(CONTACT).await;
    let mut counts = vec![harness.service().executions().len()];
    for _ in 0..2 {
        tokio::time::sleep(WINDOW).await;
        counts.push(harness.service().executions().len());
    }
    let mut refused = 0;
    for caller in callers {
        refused += caller.await.expect("ends");
    }
    for window in counts.windows(2) {
        let count = window[1] - window[0];
        assert!(count > 0, "the service got nothing below its limit");
        assert!(count <= TOLERATED, "{count} requests in 4 s");
    }
    assert!(refused > 0, "no call was refused");
}

/// The service holds its answers back, so that no slot is released: refusals that arrive meanwhile
/// did not wait for a slot.
async fn check_full_queue(kind: CallKind) {
    let limits = "limits = { rate = 10000, burst = 1000, caller = 10000 }";
    let harness = Arc::new(ServiceFleet::start(kind, limits).await);
    harness.service().set_frozen(true);
    let ended = Arc::new(AtomicUsize::new(0));
    let mut calls = Vec::new();
    for n in 0..CONCURRENT_CALLS {
        let (harness, ended) = (harness.clone(), ended.clone());
        let name = format!("call-{n}");
        let options = harness.options(&name).await;
        calls.push(tokio::spawn(async move {
            let answer = harness.call(&name, &options).await;
            ended.fetch_add(1, Ordering::SeqCst);
            (name, options, answer)
        }));
    }
    let early = async || match ended.load(Ordering::SeqCst) {
        n if n >= CONCURRENT_CALLS - MIN_SERVED - 4 => Ok(()),
        n => Err(n.to_string()),
    };
    until("refusals", early).await.expect("refused at once");
    harness.service().set_frozen(false);
    let mut served = 0;
    for call in calls {
        let (name, options, answer) = call.await.expect("ends");
        if answer.status.is_success() {
            served += 1;
            assert_eq!(harness.executions_of(&name), 1, "{name}");
            continue;
        }
        check_refusal(&answer, "not_run", "not admitted");
        assert_eq!(
            harness.executions_of(&name),
            0,
            "{name} was executed although refused"
        );
        if kind != CallKind::Plain {
            let again = harness.call(&name, &options).await;
            let problem: Value = again.json().expect("a problem");
            assert_eq!(problem["outcome"], "not_run", "{problem}");
            assert_eq!(
                harness.executions_of(&name),
                0,
                "{name} was executed although refused"
            );
        }
    }
    assert!(served >= MIN_SERVED, "{served} served");
    let options = harness.options("later").await;
    let later = harness.call("later", &options).await;
    assert!(later.status.is_success(), "{}", later.status);
    close(harness).await;
}

async fn check_limit(kind: CallKind, outcome: &str) {
    let limits = "limits = { rate = 1, burst = 4, caller = 1 }";
    let harness = Arc::new(ServiceFleet::start(kind, limits).await);
    let (mut served, mut over) = (0, 0);
    for n in 0..LIMITED_CALLS {
        let name = format!("call-{n}");
        let options = harness.options(&name).await;
        let answer = harness.call(&name, &options).await;
        let runs = harness.executions_of(&name);
        if answer.status.is_success() {
            served += 1;
            assert_eq!(runs, 1, "{name}");
            continue;
        }
        check_refusal(&answer, outcome, "refused by");
        over += 1;
        assert_eq!(runs, 0, "{name}");
    }
    assert!(served > 0 && over > 0, "{served} served, {over} refused");
    close(harness).await;
}

async fn close(harness: Arc<ServiceFleet>) {
    let harness = Arc::into_inner(harness).expect("all calls have finished");
    harness.fleet.close().await;
}

/// Each row: a query, and a check of the value at a JSON pointer.
macro_rules! check_explain {
    ($harness:ident: $($case:ident: $query:expr => $pointer:literal, $check:expr;)*) => {
        $({
            let path = format!("/explain?{}", $query);
            let answer = $harness.fleet.node("entry-0").operator(&path).await.expect("answers");
            assert_eq!(answer.status.as_u16(), 200, stringify!($case));
            let said: Value = answer.json().expect("JSON");
            let check: fn(&Value) -> bool = $check;
            let part = said.pointer($pointer);
            assert!(part.is_some_and(check), "{}: {said}", stringify!($case));
        })*
    };
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_says_what_would_be_done() {
    let limits = "limits = { rate = 1, burst = 1, caller = 1 }";
    let harness = ServiceFleet::start(CallKind::Plain, limits).await;
    let over = async || {
        let options = harness.options("over").await;
        match harness.call("over", &options).await.status.as_u16() {
            429 => Ok(()),
            status => Err(status.to_string()),
        }
    };
    until("a refusal", over).await.expect("refuses");
    check_explain! { harness:
        model: format!("name={MODEL}") => "/routing/member", |v| v == "engine-0";
        model_within_limits: format!("name={MODEL}") => "/limits/granted", |v| v == true;
        unknown_entry: "name=nobody" => "/catalogue", |v| v.as_str().is_some_and(|t| t.starts_with("refused"));
        service: format!("name={SERVICE}") => "/catalogue/kind", |v| v == "service";
        caller_over_its_limit: format!("name={SERVICE}&caller=crew") => "/limits/granted", |v| v == false;
        malformed: "name=no%20body" => "/error", Value::is_string;
        intake: format!("name={MODEL}") => "/intake", Value::is_string;
    }
    harness.fleet.close().await;
}

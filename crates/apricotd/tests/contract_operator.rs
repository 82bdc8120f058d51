//! Documented interfaces: the operators' port and `GET /v1/entries`.

#[path = "fixture/mod.rs"]
mod fixture;

use std::net::SocketAddr;

use apricothall_standin::client::Client;
use apricothall_standin::fleet::Fleet;
use apricothall_standin::settings::{CALLERS_PORT, OPERATORS_PORT};
use bytes::Bytes;
use fixture::{catalogue, plan, start_fleet};
use http::Method;
use serde_json::Value;

/// A request and its expected response.
struct Row {
    case: &'static str,
    method: Method,
    port: u16,
    path: &'static str,
    status: u16,
    body: fn(&str) -> bool,
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// Checks the sections of the status that operators' scripts may rely on.
fn is_status(text: &str) -> bool {
    let status = json(text);
    let daemon = &status["daemon"];
    let whole = status["members"].as_array().is_some_and(|m| m.len() == 2);
    let subjects = ["catalogue", "vms"].iter().all(|name| {
        let subject = &status[name];
        subject["revision"].is_u64() && subject["refused"].is_array() && subject["conflicts"] == 0
    });
    daemon["id"] == "entry-0" && daemon["role"] == "entry" && whole && subjects
}

fn is_entry_list(text: &str) -> bool {
    let list = json(text);
    let entries = list["entries"].as_array();
    let complete = |e: &Value| {
        ["address", "zone", "region"]
            .iter()
            .all(|k| e[k].is_string())
    };
    list["keep_ms"].is_u64() && entries.is_some_and(|e| e.len() == 2 && e.iter().all(complete))
}

fn is_metrics(text: &str) -> bool {
    text.contains("# TYPE apricothall_gossip_sent_bytes_total counter")
}

macro_rules! rows {
    ($($case:ident: $method:ident $port:ident $path:literal => $status:literal, $body:expr;)*) => {
        [$(Row {
            case: stringify!($case),
            method: Method::$method,
            port: $port,
            path: $path,
            status: $status,
            body: $body,
        }),*]
    };
}

fn rows() -> [Row; 9] {
    rows! {
        healthy: GET OPERATORS_PORT "/healthz" => 200, |b| b == "ok\n";
        ready: GET OPERATORS_PORT "/readyz" => 200, |b| b == "ready\n";
        metrics: GET OPERATORS_PORT "/metrics" => 200, is_metrics;
        status: GET OPERATORS_PORT "/status" => 200, is_status;
        unknown_path: GET OPERATORS_PORT "/nowhere" => 404, |b| !b.is_empty();
        nothing_can_be_written: POST OPERATORS_PORT "/status" => 405, |b| !b.is_empty();
        nothing_can_be_deleted: DELETE OPERATORS_PORT "/metrics" => 405, |b| !b.is_empty();
        entries: GET CALLERS_PORT "/v1/entries" => 200, is_entry_list;
        entries_elsewhere: GET CALLERS_PORT "/v1/entry" => 404, |b| json(b)["outcome"] == "not_run";
    }
}

async fn call(fleet: &Fleet, row: &Row) -> (u16, String) {
    let address = SocketAddr::new(fleet.node("entry-0").ip, row.port);
    let uri = format!("http://{address}{}", row.path);
    let client = Client::default();
    let answer = client.call(row.method.clone(), &uri, Bytes::new()).await;
    let answer = answer.expect("answers");
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    (answer.status.as_u16(), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_and_callers_get_what_is_documented() {
    let fleet = start_fleet(plan(2, 0).with_catalogue(catalogue(1, 1, &[]))).await;
    fleet.ready().await.expect("ready");
    for id in ["entry-0", "entry-1"] {
        let both = |s: &Value| {
            let members = s["members"].as_array();
            members.is_some_and(|m| m.len() == 2 && m.iter().all(|m| m["public"].is_string()))
        };
        let seen = fleet.status_until(id, "both entries", both).await;
        seen.expect("in time");
    }
    for row in rows() {
        let (status, body) = call(&fleet, &row).await;
        assert_eq!(status, row.status, "{}: {body}", row.case);
        assert!((row.body)(&body), "{}: {body}", row.case);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_configuration_is_healthy_but_not_ready() {
    let fleet = start_fleet(plan(1, 0)).await;
    let node = fleet.node("entry-0");
    let healthy = async || {
        let answer = node.operator("/healthz").await.map_err(|e| e.to_string())?;
        Ok(answer.status.as_u16())
    };
    let status = apricothall_standin::fleet::until("health", healthy).await;
    assert_eq!(status.expect("answers"), 200);
    let answer = node.operator("/readyz").await.expect("answers");
    assert_eq!(answer.status.as_u16(), 503);
    assert!(!answer.body.is_empty(), "no reason is given");
    fleet.close().await;
}

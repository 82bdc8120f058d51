//! Malformed input gets a specific error, is counted, and does not affect other requests.

mod fixture;

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::{Verdict, completion};
use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use fixture::{
    MODEL, SERVICE, caller, catalogue, counter_value, expected_digests, plan_with, start_serving,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for the response to bad input, including slow input.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Daemon ports behind the test proxy, so that the daemon's own limits apply.
const CALLERS_PORT: u16 = 7_081;
const PEERS_PORT: u16 = 7_001;

/// Status 426, Huffman-coded by HPACK.
const STATUS_426: &[u8] = &[0x68, 0x4e, 0x7f];

/// HTTP/2 connection preface with an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn raw_bytes(text: &[u8]) -> Vec<u8> {
    text.to_vec()
}

fn post_completion(headers: &str) -> Vec<u8> {
    let body = serde_json::to_string(&completion(MODEL, "span", 2)).expect("json");
    post("/v1/completions", headers, &body)
}

fn post_booking(headers: &str) -> Vec<u8> {
    post(&format!("/v1/services/{SERVICE}/rooms"), headers, "{}")
}

/// HEADERS frame for `/run` with literal fields, announcing protocol version 9.
fn other_version() -> Vec<u8> {
    let fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/run"),
        (":authority", "x"),
        ("x-apricothall-protocol", "9"),
    ];
    let mut block = Vec::new();
    for (name, value) in fields {
        block.push(0);
        for text in [name, value] {
            block.push(u8::try_from(text.len()).expect("short"));
            block.extend_from_slice(text.as_bytes());
        }
    }
    let length = u8::try_from(block.len()).expect("short");
    [PREFACE, &[0, 0, length, 1, 5, 0, 0, 0, 1], &block].concat()
}

/// Sends `input` and returns what the daemon sends until it closes or `expected` has been received.
async fn exchange(case: &str, address: SocketAddr, input: &[u8], expected: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    // The daemon may close before it has read the whole input.
    let _ = stream.write_all(input).await;
    let mut answer = Vec::new();
    let read = async {
        let mut part = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            answer.extend_from_slice(&part[..count]);
            if !expected.is_empty() && answer.windows(expected.len()).any(|w| w == expected) {
                return;
            }
        }
    };
    timeout(RESPONSE_TIMEOUT, read)
        .await
        .unwrap_or_else(|_| panic!("{case}: the daemon does not close the connection"));
    answer
}

async fn fleet() -> Fleet {
    let plan = plan_with(1, 1, &EngineSettings::default(), "");
    let mut plan = plan.with_catalogue(catalogue(1, 1, &["engine-0"]));
    plan.vms[0].extra = "callers.read = '1s'\ncallers.body = '64 KiB'"
        .parse()
        .expect("valid");
    start_serving(plan).await
}

/// Each row: the response contains the text, the counter grows, and a valid request is then served.
macro_rules! refused {
    ($($case:ident: $node:literal $port:ident, $input:expr => $text:expr, $counter:literal;)*) => {
        #[tokio::test(flavor = "multi_thread")]
        async fn bad_input_is_refused_and_others_are_served() {
            let fleet = fleet().await;
            let caller = caller(&fleet, "crew");
            $({
                let case = stringify!($case);
                let text: &[u8] = $text;
                let address = (fleet.node($node).ip, $port).into();
                let before = counter_value(&fleet, $node, $counter).await;
                let answer = exchange(case, address, &$input, text).await;
                let shown = String::from_utf8_lossy(&answer);
                assert!(text.is_empty() || answer.windows(text.len()).any(|w| w == text), "{case}: {shown}");
                let counted = async || match counter_value(&fleet, $node, $counter).await {
                    n if n > before => Ok(()),
                    n => Err(n.to_string()),
                };
                until(case, counted).await.expect("is counted");
                let good = caller.complete(completion(MODEL, case, 3), &CallOptions::default()).await;
                assert_eq!(good.verdict(&expected_digests()), Verdict::Whole, "{case}: {:?}", good.ended);
            })*
            fleet.close().await;
        }
    };
}

refused! {
    oversized_body: "entry-0" CALLERS_PORT, post("/v1/completions", "", &"x".repeat(70_000)) => b"413", "apricothall_caller_problems_total";
    oversized_head: "entry-0" CALLERS_PORT, post_completion(&format!("x-pad: {}\r\n", "x".repeat(40_000))) => b"431", "apricothall_http_broken_total";
    malformed_body: "entry-0" CALLERS_PORT, post("/v1/completions", "", "{\"model\":") => b"malformed body", "apricothall_caller_problems_total";
    body_of_another_type: "entry-0" CALLERS_PORT, post("/v1/completions", "", "[1, 2]") => b"malformed body", "apricothall_caller_problems_total";
    unknown_model: "entry-0" CALLERS_PORT, post("/v1/completions", "", "{\"model\":\"none\"}") => b"the catalogue has no model none", "apricothall_caller_problems_total";
    unknown_service: "entry-0" CALLERS_PORT, post("/v1/services/none/x", "", "") => b"the catalogue has no service none", "apricothall_caller_problems_total";
    unknown_path: "entry-0" CALLERS_PORT, post("/v2/all", "", "") => b"404", "apricothall_caller_problems_total";
    wrong_method: "entry-0" CALLERS_PORT, raw_bytes(b"GET /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n") => b"405", "apricothall_caller_problems_total";
    bad_deadline: "entry-0" CALLERS_PORT, post_completion("x-deadline-ms: soon\r\n") => b"x-deadline-ms", "apricothall_caller_problems_total";
    bad_class: "entry-0" CALLERS_PORT, post_completion("x-class: first\r\n") => b"x-class", "apricothall_caller_problems_total";
    bad_caller: "entry-0" CALLERS_PORT, post_completion("x-caller: two words\r\n") => b"x-caller", "apricothall_caller_problems_total";
    caller_twice: "entry-0" CALLERS_PORT, post_completion("x-caller: a\r\nx-caller: b\r\n") => b"sent twice", "apricothall_caller_problems_total";
    no_key: "entry-0" CALLERS_PORT, post_booking("") => b"need an Idempotency-Key", "apricothall_caller_problems_total";
    key_with_space: "entry-0" CALLERS_PORT, post_booking("idempotency-key: a b\r\n") => b"idempotency-key", "apricothall_caller_problems_total";
    key_too_long: "entry-0" CALLERS_PORT, post_booking(&format!("idempotency-key: {}\r\n", "k".repeat(200))) => b"idempotency-key", "apricothall_caller_problems_total";
    key_twice: "entry-0" CALLERS_PORT, post_booking("idempotency-key: a\r\nidempotency-key: b\r\n") => b"sent twice", "apricothall_caller_problems_total";
    slow_head: "entry-0" CALLERS_PORT, raw_bytes(b"POST /v1/compl") => b"", "apricothall_http_broken_total";
    slow_body: "entry-0" CALLERS_PORT, raw_bytes(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 9\r\n\r\n{") => b"408", "apricothall_caller_problems_total";
    not_http: "entry-0" CALLERS_PORT, raw_bytes(b"\x16\x03\x01 hello\r\n\r\n") => b"400", "apricothall_http_broken_total";
    garbage_to_an_entry: "entry-0" PEERS_PORT, raw_bytes(b"GET / HTTP/1.1\r\n\r\n") => b"", "apricothall_peer_refused_total";
    garbage_to_an_agent: "engine-0" PEERS_PORT, raw_bytes(&[0xff; 64]) => b"", "apricothall_peer_refused_total";
    silence_to_an_agent: "engine-0" PEERS_PORT, Vec::new() => b"", "apricothall_peer_refused_total";
    garbage_after_the_preface: "engine-0" PEERS_PORT, [PREFACE, &[0xff; 64]].concat() => b"", "apricothall_peer_refused_total";
    another_version: "engine-0" PEERS_PORT, other_version() => STATUS_426, "apricothall_peer_refused_total";
}

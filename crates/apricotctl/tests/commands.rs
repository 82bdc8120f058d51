//! Tests the exit codes and messages of the command line.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread::JoinHandle;

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_apricotctl");
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the program starts")
}

macro_rules! exits {
    ($($case:ident: $arguments:expr => $code:expr, $message:expr;)*) => {
        $(#[test] fn $case() {
            let output = run(&$arguments);
            let text = [output.stdout, output.stderr].concat();
            let text = String::from_utf8_lossy(&text);
            assert_eq!(output.status.code(), Some($code), "{text}");
            assert!(text.contains($message), "{text}");
        })*
    };
}

exits! {
    help_is_fine: ["--help"] => 0, "Exit codes: 0 fine, 1 refused or failed, 2 wrong usage";
    no_command_is_usage: [] as [&str; 0] => 2, "Usage";
    check_without_file_is_usage: ["check"] => 2, "required";
    missing_file_fails: ["check", "no-such-file.toml"] => 1, "no-such-file.toml";
    default_is_printed: ["check", "--print-default"] => 0, "[daemon]";
    comparison_without_configuration_is_usage: ["check", "--in-force", "a.json"] => 2, "--configuration";
    completions_are_printed: ["completions", "bash"] => 0, "apricotctl";
    silent_daemon_fails: ["status", "--operator", "127.0.0.1:1"] => 1, "cannot connect";
    silent_entry_fails: ["entries", "--entry", "127.0.0.1:1"] => 1, "cannot connect";
    model_or_service_is_usage: ["request", "--entry", "127.0.0.1:1"] => 2, "--model";
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("apricotctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path.to_str().expect("valid").to_owned()
}

/// A configuration with one route, to `service`.
fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h.example","prefix":"/","kind":"idempotent",
        "timeoutMs":900,"targetLatencyMs":300,"maxAttempts":2,"service":"{service}"}}],
        "services":[{{"name":"s"}},{{"name":"spare"}}]}}"#
    )
}

// Guards against a faulty configuration with exit code 0, and against warnings that stop publishing.
#[test]
fn check_of_a_configuration_exits_by_its_errors() {
    let fine = file("fine.json", &configuration(2, "s"));
    let faulty = file("faulty.json", &configuration(2, "t"));
    let older = file("older.json", &configuration(1, "spare"));
    let cases: [(&[&str], i32, &str); 6] = [
        (&[&fine], 0, "fine, configuration 2, warnings: 1"),
        (
            &[&fine, "--in-force", &older],
            0,
            "service: \"spare\" -> \"s\"",
        ),
        (&[&older, "--in-force", &fine], 1, "1 is not higher than 2"),
        (&[&faulty], 1, "service t does not exist"),
        (&[&faulty, "--json"], 1, "\"fine\":false"),
        (&[&fine, "--json"], 0, "\"severity\":\"warning\""),
    ];
    for (arguments, code, message) in cases {
        let output = run(&[&["check", "--configuration"], arguments].concat());
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(message), "{text}");
    }
}

const SECOND: &str = r#"{"timestamp":"2026-12-04T04:00:01.2Z","level":"INFO","message":"refused","request":"q1","reason":"no room in time"}
{"timestamp":"2026-12-04T04:00:01.3Z","level":"INFO","message":"answered","request":"q10"}
not a line of ours, though it names q1 {
"#;

const FIRST: &str = r#"  1.1 entry-2 {"timestamp":"2026-12-04T04:00:01.1Z","level":"INFO","message":"attempt failed","request":"q1","server":"s4"}
"#;

#[test]
fn story_merges_the_logs_of_processes_in_order() {
    let logs = [file("second.log", SECOND), file("first.log", FIRST)];
    let output = run(&["story", "q1", &logs[0], &logs[1]]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout);
    let at = |part: &str| text.find(part).unwrap_or_else(|| panic!("{part}: {text}"));
    assert!(at("attempt failed") < at("refused"), "{text}");
    assert!(at("entry-2") < at("no room in time"), "{text}");
    assert!(!text.contains("answered"), "another request: {text}");
    for log in logs {
        std::fs::remove_file(log).expect("removed");
    }
}

const REPEATED: &str = r#"{"timestamp":"2026-12-04T04:00:01.1Z","message":"attempt failed","request":"q1","fingerprint":"00ff"}
{"timestamp":"2026-12-04T04:00:01.2Z","message":"attempt failed","request":"q2","fingerprint":"00ff"}
{"timestamp":"2026-12-04T04:00:01.3Z","message":"attempt failed","request":"q3","fingerprint":"00aa"}
"#;

#[test]
fn story_by_fingerprint_has_all_attempts_of_the_request() {
    let log = file("repeated.log", REPEATED);
    let output = run(&["story", "00ff", &log]);
    let text = String::from_utf8_lossy(&output.stdout);
    let has = |id| text.contains(&format!("request={id}"));
    assert!(has("q1") && has("q2") && !has("q3"), "{text}");
    std::fs::remove_file(log).expect("removed");
}

#[test]
fn story_of_a_request_without_lines_fails() {
    let log = file("empty.log", SECOND);
    let output = run(&["story", "q2", &log]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line tells of request q2"));
    std::fs::remove_file(log).expect("removed");
}

macro_rules! machine_settings {
    ($($case:ident: $text:expr => $message:expr;)*) => {
        $(#[test] fn $case() {
            let path = file(concat!(stringify!($case), ".toml"), $text);
            let output = run(&["check", "--machine", &path]);
            assert_eq!(output.status.code(), Some(1));
            let text = String::from_utf8_lossy(&output.stderr);
            assert!(text.contains(&path) && text.contains($message), "{text}");
            std::fs::remove_file(path).expect("removed");
        })*
    };
}

machine_settings! {
    empty_settings: "" => "missing field";
    settings_of_another_format: "nodeName = [" => "line 1";
    settings_with_text_for_a_list: "nodeName = \"a\"\ninternalPorts = \"7000\"" => "line 2";
}

/// Guards against settings that pass the check, although the daemon replaces one of them.
#[test]
fn settings_that_are_replaced_fail_the_check() {
    let text = "nodeName = \"a\"\nmachineClass = \"front\"\nip = \"127.0.0.1\"\nzone = \"z\"\n\
        region = \"r\"\ninternalPorts = [7000]\n[limits]\nlinkMbps = 10\n[bounds]\nstrictRevoke = true\n\
        revokeMs = nan\ngraceS = 7.5\nversion_ms = 8000\nttl_max_s = 5\nretryBudgetRatio = 0.2\n\
        budgetExtra = 10\n[platform]\naddress = \"127.0.0.1:9\"\n";
    let path = file("replaced.toml", text);
    let output = run(&["check", "--machine", &path]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert_eq!(text, "error: revokeMs: cannot use NaN; 5s is used\n");
    std::fs::remove_file(path).expect("removed");
}

/// Answers one HTTP request with `answer`. Returns the address, and the head of the request once it
/// has been answered.
fn serve(answer: String) -> (String, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound").to_string();
    let serving = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("connected");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            connection.read_exact(&mut byte).expect("read");
            head.push(byte[0]);
        }
        connection.write_all(answer.as_bytes()).expect("written");
        String::from_utf8(head).expect("text")
    });
    (address, serving)
}

fn answer(kind: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n{body}")
}

// Guards against a key whose characters end the query's value or make the request invalid.
#[test]
fn explain_escapes_the_key() {
    let (address, serving) = serve(answer("application/json", "{}"));
    let explain = ["explain", "--operator", &address, "--entry-name", "booking"];
    let output = run(&[&explain[..], &["--key", "a b&name=x#50%"]].concat());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let head = serving.join().expect("answered");
    assert!(head.contains("&key=a%20b%26name%3Dx%2350%25 "), "{head}");
}

// Guards against a prompt that is sent as text and cut at its first space.
#[test]
fn explain_escapes_the_prompt() {
    let (address, serving) = serve(answer("application/json", "{}"));
    let explain = ["explain", "--operator", &address, "--entry-name", "drafter"];
    let output = run(&[&explain[..], &["--prompt", "Span notes & more"]].concat());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let head = serving.join().expect("answered");
    assert!(
        head.contains("&prompt=Span%20notes%20%26%20more "),
        "{head}"
    );
}

/// An event of an answer whose text is `event: error`, and what ends a complete answer.
const COMPLETE: &str =
    "data: {\"text\":\"a line `event: error` ends a stream\"}\n\ndata: [DONE]\n\n";

/// A token, and the event that ends an incomplete answer.
const INCOMPLETE: &str =
    "data: {\"text\":\"a\"}\n\nevent: error\ndata: {\"outcome\":\"failed\"}\n\n";

macro_rules! answers {
    ($($(#[$note:meta])* $case:ident: $target:expr, $kind:expr, $body:expr => $code:expr;)*) => {
        $($(#[$note])* #[test] fn $case() {
            let (address, serving) = serve(answer($kind, $body));
            let output = run(&[&["request", "--entry", &address], &$target[..]].concat());
            serving.join().expect("answered");
            assert_eq!(output.status.code(), Some($code), "{output:?}");
        })*
    };
}

answers! {
    /// Guards against a complete answer that is reported as failed because of its text.
    answer_about_errors_is_complete: ["--model", "drafter"], "text/event-stream", COMPLETE => 0;
    /// Guards against an incomplete answer that is reported as complete.
    answer_with_an_error_event_fails: ["--model", "drafter"], "text/event-stream", INCOMPLETE => 1;
    /// Guards against an answer of a plain service that is read as a stream of events.
    text_with_an_error_line_is_complete: ["--service", "booking"], "text/plain", INCOMPLETE => 0;
}

//! Invalid settings files are rejected with file, line and what would be valid.

use std::path::Path;

use apricothall_kernel::Settings;
use apricothall_kernel::settings::DEFAULT_FILE;
use apricothall_types::Role;

const PATH: &str = "vm.toml";

fn parse(text: &str, role: Role) -> Result<Settings, String> {
    Settings::parse(text, Path::new(PATH), Some(role)).map_err(|e| e.to_string())
}

/// The default file turned into an agent's: without callers, with `servers`.
fn agent(servers: &str) -> String {
    let callers = DEFAULT_FILE
        .find("# Entries only.")
        .expect("section is there");
    let log = DEFAULT_FILE
        .find("# Agents only")
        .expect("section is there");
    format!(
        "{}{}\n{servers}",
        &DEFAULT_FILE[..callers],
        &DEFAULT_FILE[log..]
    )
}

const ENGINE: &str = "[[servers]]\nkind = \"engine\"\naddress = \"127.0.0.1:7200\"\n";
const WEIGHTS: &str = "[weights]\nlisten = \"127.0.0.1:7003\"\n";

macro_rules! refused {
    ($($case:ident: $role:ident, $text:expr => $line:expr, $message:expr;)*) => {
        $(#[test] fn $case() {
            let text: String = $text;
            let error = parse(&text, Role::$role).expect_err("must be refused");
            let place = match text.lines().position(|l| l.trim().starts_with($line)) {
                Some(index) => format!("{PATH}:{}:", index + 1),
                None => format!("{PATH}:1:"),
            };
            assert!(error.starts_with(&place), "{error} is not at {place}");
            assert!(error.contains($message), "{error}");
        })*
    };
}

fn entry(from: &str, to: &str) -> String {
    assert!(DEFAULT_FILE.contains(from), "{from} is in the default file");
    DEFAULT_FILE.replacen(from, to, 1)
}

refused! {
    unknown_key: Entry, entry("connect = ", "conect = ") => "conect", "unknown field `conect`";
    unknown_section: Entry, format!("{DEFAULT_FILE}\n[colour]\n") => "[colour]", "unknown field `colour`";
    missing_key: Entry, entry("id = \"lima-entry-1\"", "") => "[daemon]", "missing field `id`";
    size_with_wrong_unit: Entry, entry("\"1 MiB\"", "\"1 MB/s\"") => "body", "B, KiB, MiB, GiB";
    time_without_unit: Entry, entry("connect = \"1s\"", "connect = \"1\"") => "connect", "length of time";
    time_as_number: Entry, entry("connect = \"1s\"", "connect = 1") => "connect", "invalid type: integer";
    bad_address: Entry, entry("\"127.0.0.1:7000\"", "\"localhost\"") => "listen", "invalid socket address";
    bad_id: Entry, entry("lima-entry-1", "lima entry") => "id", "permitted are letters";
    not_toml: Entry, entry("[peers]", "[peers") => "[peers", "";
    entry_without_callers: Entry, agent("") => "none", "an entry needs this section";
    agent_with_callers: Agent, DEFAULT_FILE.to_owned() => "[callers]", "no port for callers";
    agent_without_servers: Agent, agent("") => "none", "at least one backend server";
    engine_without_weights: Agent, agent(ENGINE) => "none", "needs this section";
    engine_with_name: Agent, agent(&format!("{ENGINE}name = \"x\"\n{WEIGHTS}")) => "name =", "has no name";
    service_without_name: Agent, agent(&ENGINE.replace("engine", "service")) => "[[servers]]", "needs the name";
    peers_on_another_address: Entry, entry("\"127.0.0.1:7000\"", "\"127.0.0.2:7000\"") => "listen", "the VM's own address";
    register_expires_before_claims: Entry, entry("horizon = \"1h 1m\"", "horizon = \"1h 1s\"") => "horizon = \"1h 1s\"", "claims.horizon + claims.skew";
    register_expires_before_retries: Entry, entry("opaque_horizon = \"2m\"", "opaque_horizon = \"21m\"") => "horizon = \"1h 1m\"", "claims.opaque_horizon";
    callers_keep_longer_than_entries_stay: Entry, entry("keep = \"1500ms\"", "keep = \"31s\"") => "keep = \"31s\"", "callers.keep: must not exceed `drain.keep`";
    drain_ends_before_deadlines: Entry, entry("limit = \"1h\"", "limit = \"59s\"") => "limit = \"59s\"", "drain.limit: must be at least `callers.deadline`";
    same_port_twice: Entry, entry("\"127.0.0.1:7002\"", "\"127.0.0.1:7000\" # same") => "listen = \"127.0.0.1:7000\" # same", "must differ";
}

#[test]
fn default_file_is_valid_and_states_the_defaults() {
    let settings = parse(DEFAULT_FILE, Role::Entry).expect("the default file is fine");
    let bare: String = DEFAULT_FILE
        .lines()
        .filter(|l| !is_optional(l))
        .collect::<Vec<_>>()
        .join("\n");
    let bare = parse(&bare, Role::Entry).expect("optional keys may be left out");
    assert_eq!(settings, bare);
}

/// Whether a line sets a key that has a default.
fn is_optional(line: &str) -> bool {
    let required = [
        "id",
        "region",
        "zone",
        "address",
        "listen",
        "configuration",
        "vms",
        "store",
        "origin",
    ];
    match line.split_once('=') {
        Some((key, _)) => !line.starts_with('#') && !required.contains(&key.trim()),
        None => false,
    }
}

#[test]
fn agent_file_is_valid() {
    let text = agent(&format!("{ENGINE}{WEIGHTS}"));
    parse(&text, Role::Agent).expect("an agent with an engine and weights is fine");
}
